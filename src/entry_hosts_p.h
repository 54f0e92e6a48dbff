#ifndef TOUCANRIDGE_ENTRY_HOSTS_P_H
#define TOUCANRIDGE_ENTRY_HOSTS_P_H

/// Chooses the hosts that take callers' queries. A query opens connections to
/// many servers, which allow few: a large fleet serves from as many hosts as
/// its load needs, and the others stand by.

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
  std::size_t running = 0; ///< queries that run on all hosts
};

/// Every host comes to the same choice from the same knowledge, and the loss of
/// a host changes it by one.
/// @returns hosts that callers are told, of each data centre in turn; empty
///          when none is alive
std::vector<Host>
chooseEntryHosts(const EntryChoice& aChoice);

} // namespace toucanridge

#endif // TOUCANRIDGE_ENTRY_HOSTS_P_H
