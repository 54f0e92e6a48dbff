#include "entry_hosts_p.h"

#include <algorithm>

#include <xxhash.h>

namespace toucanridge {
namespace {

/// Entry hosts of each data centre at any load: with only one, its loss would
/// leave the data centre without an entry host.
constexpr std::size_t kMinHostsPerDataCentre = 2;
/// Concurrent queries on each host above which more hosts are chosen. A host
/// spends most of a query's time waiting for servers.
constexpr std::size_t kQueriesPerHost = 30;
/// With at least this many hosts in the data centres that have shard servers,
/// entry hosts are chosen only from those; with fewer, the loss of one host
/// would move too much load at once.
constexpr std::size_t kMinHostsInShardDataCentres = 3;

/// Orders hosts by descending capacity, because a query's fan-out is a burst of
/// work whose last parts are late on a small share of a core; hosts of equal
/// capacity by a hash of the name.
bool
hasPrecedence(const Host& aOne, const Host& aOther)
{
  const auto rank = [](const Host& aHost) {
    return XXH3_64bits(aHost.name.data(), aHost.name.size());
  };
  return aOne.capacity != aOther.capacity ? aOne.capacity > aOther.capacity
                                          : rank(aOne) < rank(aOther);
}

} // namespace

std::vector<Host>
chooseEntryHosts(const EntryChoiceInput& aInput)
{
  // A query sends one request to each shard and returns one merged answer: most
  // bytes stay within a data centre when the entry host is where the shards
  // are.
  std::map<std::string, std::vector<Host>> hostsByDataCentre;
  std::size_t hostsInShardDataCentres = 0;
  for (const Host& host : aInput.hosts) {
    const auto servers = aInput.shardServerCounts.find(host.dataCentre);
    if (servers != aInput.shardServerCounts.end() && servers->second > 0) {
      hostsByDataCentre[host.dataCentre].push_back(host);
      ++hostsInShardDataCentres;
    }
  }
  if (hostsInShardDataCentres < kMinHostsInShardDataCentres) {
    hostsByDataCentre.clear();
    for (const Host& host : aInput.hosts) {
      hostsByDataCentre[host.dataCentre].push_back(host);
    }
  }
  const std::size_t needed = aInput.runningQueries / kQueriesPerHost + 1;
  const std::size_t perDataCentre =
    std::max(kMinHostsPerDataCentre,
             needed / std::max<std::size_t>(1, hostsByDataCentre.size()) + 1);
  std::vector<Host> chosen;
  for (auto& entry : hostsByDataCentre) {
    std::vector<Host>& hosts = entry.second;
    std::sort(hosts.begin(), hosts.end(), hasPrecedence);
    hosts.resize(std::min(hosts.size(), perDataCentre));
    chosen.insert(chosen.end(), hosts.begin(), hosts.end());
  }
  return chosen;
}

} // namespace toucanridge
