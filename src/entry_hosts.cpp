#include "entry_hosts_p.h"

#include <algorithm>

#include <xxhash.h>

namespace toucanridge {
namespace {

/// Hosts of a data centre that serve however small the load: with one, its
/// loss would leave its data centre without.
constexpr std::size_t kMinInCentre = 2;
/// Queries that run on a host at once before more hosts are used. A host spends
/// most of a query waiting.
constexpr std::size_t kRunningOnHost = 30;
/// Hosts that must be left when only those near the shards are named: with
/// fewer, the loss of one would move too much load at once.
constexpr std::size_t kMinNearHosts = 3;

/// The largest hosts come first: a query's fan-out is a burst of work, and on a
/// small share of a core its last part is late.
bool
isBefore(const Host& aOne, const Host& aOther)
{
  const auto rank = [](const Host& aHost) {
    return XXH3_64bits(aHost.name.data(), aHost.name.size());
  };
  return aOne.capacity != aOther.capacity ? aOne.capacity > aOther.capacity
                                          : rank(aOne) < rank(aOther);
}

} // namespace

std::vector<Host>
chooseEntryHosts(const EntryChoice& aChoice)
{
  // A query sends one request to each shard and gets one answer back: most
  // bytes stay within a data centre when the query enters where shards are.
  std::map<std::string, std::vector<Host>> centres;
  std::size_t near = 0;
  for (const Host& host : aChoice.hosts) {
    const auto servers = aChoice.shardServers.find(host.dataCentre);
    if (servers != aChoice.shardServers.end() && servers->second > 0) {
      centres[host.dataCentre].push_back(host);
      ++near;
    }
  }
  if (near < kMinNearHosts) {
    centres.clear();
    for (const Host& host : aChoice.hosts) {
      centres[host.dataCentre].push_back(host);
    }
  }
  const std::size_t needed = aChoice.running / kRunningOnHost + 1;
  const std::size_t inCentre = std::max(
    kMinInCentre, needed / std::max<std::size_t>(1, centres.size()) + 1);
  std::vector<Host> chosen;
  for (auto& entry : centres) {
    std::vector<Host>& hosts = entry.second;
    std::sort(hosts.begin(), hosts.end(), isBefore);
    hosts.resize(std::min(hosts.size(), inCentre));
    chosen.insert(chosen.end(), hosts.begin(), hosts.end());
  }
  return chosen;
}

} // namespace toucanridge
