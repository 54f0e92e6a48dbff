#ifndef TOUCANRIDGE_ENTRY_HOSTS_P_H
#define TOUCANRIDGE_ENTRY_HOSTS_P_H

/// Chooses the hosts whose addresses callers are given.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "view_p.h"

namespace toucanridge {

/// What the choice rests on.
struct EntryChoice
{
  std::vector<Host> hosts; ///< alive, serving and not leaving
  /// Servers of sharded services in each data centre.
  std::map<std::string, std::size_t> shardServers;
};

/// @param[in] aMost addresses in an answer
/// @returns hosts to name, most useful first; empty when none is alive
std::vector<Host>
chooseEntryHosts(const EntryChoice& aChoice, std::size_t aMost);

} // namespace toucanridge

#endif // TOUCANRIDGE_ENTRY_HOSTS_P_H
