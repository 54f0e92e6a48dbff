#include "rate_share_p.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace toucanridge {
namespace {

/// Share of a host in the server's data centre relative to that of another
/// host. Relays and the choice of servers send most requests through the
/// former.
constexpr double kLocalWeight = 8.0;
/// A server bears short bursts beyond its rate: this number of requests, and
/// those of kBurstSeconds. Every host with a share may save a request, so more
/// hosts than that don't get one.
constexpr double kBurstRequests = 5.0;
constexpr double kBurstSeconds = 0.25;

std::uint64_t
pairHash(const std::string& aServer, const std::string& aHost)
{
  const std::string pair = aServer + '/' + aHost;
  return XXH3_64bits(pair.data(), pair.size());
}

} // namespace

double
rateShare(const RateLimitedServer& aServer,
          const SharingHosts& aHosts,
          const std::string& aSelf)
{
  struct Candidate
  {
    bool isRemote = false;
    std::uint64_t hash = 0;
    const SharingHost* host = nullptr;

    bool operator<(const Candidate& aOther) const
    {
      return std::make_pair(isRemote, hash) <
             std::make_pair(aOther.isRemote, aOther.hash);
    }
  };
  std::vector<Candidate> candidates;
  candidates.reserve(aHosts.known.size());
  for (const SharingHost& host : aHosts.known) {
    candidates.push_back({ host.dataCentre != aServer.dataCentre,
                           pairHash(aServer.id, host.name),
                           &host });
  }
  std::sort(candidates.begin(), candidates.end());
  const std::size_t unknown =
    aHosts.count - std::min(aHosts.count, candidates.size());
  candidates.resize(static_cast<std::size_t>(
    std::min(static_cast<double>(candidates.size()),
             kBurstRequests + kBurstSeconds * aServer.perSecond)));
  // Hosts that this one doesn't know may be in the server's data centre.
  double total = kLocalWeight * static_cast<double>(unknown);
  double own = 0.0;
  for (const Candidate& candidate : candidates) {
    const double weight = candidate.isRemote ? 1.0 : kLocalWeight;
    total += weight;
    if (candidate.host->name == aSelf) {
      own = weight;
    }
  }
  return own > 0.0 ? aServer.perSecond * own / total : 0.0;
}

} // namespace toucanridge
