#include "entry_hosts_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

/// Hosts that must be left when only those near the shards are named: with
/// fewer, the loss of one would move too much load at once.
constexpr std::size_t kMinNearHosts = 3;

} // namespace

std::vector<Host>
chooseEntryHosts(const EntryChoice& aChoice, std::size_t aMost)
{
  // A query sends one request to each shard and gets one answer back: most
  // bytes stay within a data centre when the query enters where the shards are.
  std::vector<Host> chosen;
  for (const Host& host : aChoice.hosts) {
    const auto servers = aChoice.shardServers.find(host.dataCentre);
    if (servers != aChoice.shardServers.end() && servers->second > 0) {
      chosen.push_back(host);
    }
  }
  if (chosen.size() < kMinNearHosts) {
    chosen = aChoice.hosts;
  }
  chosen.resize(std::min(chosen.size(), aMost));
  return chosen;
}

} // namespace toucanridge
