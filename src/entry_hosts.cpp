#include "entry_hosts_p.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace toucanridge {
namespace {

/// Hosts of a data centre that serve however small the load: with fewer, the
/// loss of one would cost its data centre half of its hosts.
constexpr std::size_t kMinInCentre = 3;
/// Queries that run on a host at once before more hosts are used. A host spends
/// most of a query waiting.
constexpr std::size_t kRunningOnHost = 30;
/// Hosts that must be left when only those near the shards are named: with
/// fewer, the loss of one would move too much load at once.
constexpr std::size_t kMinNearHosts = 3;

/// Weighted rendezvous hashing: the host with the lowest value is used first,
/// a host with twice the capacity twice as often.
double
rankOf(const Host& aHost)
{
  constexpr double kRange = 18446744073709551616.0; // 2^64
  const double uniform =
    (static_cast<double>(XXH3_64bits(aHost.name.data(), aHost.name.size())) +
     1.0) /
    (kRange + 1.0);
  return -std::log(uniform) / std::max<std::uint32_t>(1, aHost.capacity);
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
    std::sort(
      hosts.begin(), hosts.end(), [](const Host& aOne, const Host& aTwo) {
        return rankOf(aOne) < rankOf(aTwo);
      });
    hosts.resize(std::min(hosts.size(), inCentre));
    chosen.insert(chosen.end(), hosts.begin(), hosts.end());
  }
  return chosen;
}

} // namespace toucanridge
