#ifndef TOUCANRIDGE_ENTRY_HOSTS_P_H
#define TOUCANRIDGE_ENTRY_HOSTS_P_H

/// Chooses the entry hosts, which accept callers' queries. A query opens
/// connections to many servers, each of which allows only a few: a large fleet
/// uses as many entry hosts as its load needs and keeps the others on standby.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "view_p.h"

namespace toucanridge {

/// Input of chooseEntryHosts().
struct EntryChoiceInput
{
  std::vector<Host> hosts; ///< alive, serving and not leaving
  /// Servers of sharded services, by data centre.
  std::map<std::string, std::size_t> shardServerCounts;
  std::size_t runningQueries = 0; ///< on all hosts together
};

/// Chooses the entry hosts. The choice is deterministic: every host that has
/// the same input computes the same result. The loss of a host usually changes
/// it by one host; it may change it by more when too few hosts remain in the
/// data centres with shard servers, or none in the lost host's data centre.
/// @returns hosts to which callers are directed, grouped by data centre; empty
///          when none is alive
std::vector<Host>
chooseEntryHosts(const EntryChoiceInput& aInput);

} // namespace toucanridge

#endif // TOUCANRIDGE_ENTRY_HOSTS_P_H
