#include "relay_plan_p.h"

namespace toucanridge {
namespace {

/// A relay of fewer shards takes about as many bytes as asking them directly,
/// and one hop more.
constexpr std::size_t kMinRelayed = 3;

} // namespace

RelayPlan
planRelays(const std::vector<std::set<std::string>>& aCentres,
           const std::string& aOwn,
           const std::set<std::string>& aPeers,
           std::size_t aTurn)
{
  RelayPlan plan;
  std::set<std::size_t> far;
  for (std::size_t i = 0; i < aCentres.size(); ++i) {
    if (aCentres[i].empty() || aCentres[i].count(aOwn) != 0) {
      plan.direct.push_back(i);
    } else {
      far.insert(i);
    }
  }
  const std::vector<std::string> centres(aPeers.begin(), aPeers.end());
  while (!far.empty() && !centres.empty()) {
    std::vector<std::size_t> best;
    const std::string* chosen = nullptr;
    for (std::size_t i = 0; i < centres.size(); ++i) {
      const std::string& centre = centres[(i + aTurn) % centres.size()];
      std::vector<std::size_t> covered;
      for (const std::size_t shard : far) {
        if (centre != aOwn && aCentres[shard].count(centre) != 0) {
          covered.push_back(shard);
        }
      }
      if (covered.size() > best.size()) {
        best = std::move(covered);
        chosen = &centre;
      }
    }
    if (best.size() < kMinRelayed) {
      break;
    }
    for (const std::size_t shard : best) {
      far.erase(shard);
    }
    plan.relayed[*chosen] = std::move(best);
  }
  plan.direct.insert(plan.direct.end(), far.begin(), far.end());
  return plan;
}

} // namespace toucanridge
