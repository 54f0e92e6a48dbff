#include "relay_plan_p.h"

namespace toucanridge {
namespace {

/// A relay of fewer shards transfers about as many bytes as direct requests,
/// and adds a hop.
constexpr std::size_t kMinShardsPerRelay = 3;

} // namespace

RelayPlan
planRelays(const std::vector<std::set<std::string>>& aShardDataCentres,
           const std::string& aOwnDataCentre,
           const std::set<std::string>& aPeerDataCentres,
           std::size_t aRotation)
{
  RelayPlan plan;
  std::set<std::size_t> remote;
  for (std::size_t i = 0; i < aShardDataCentres.size(); ++i) {
    if (aShardDataCentres[i].empty() ||
        aShardDataCentres[i].count(aOwnDataCentre) != 0) {
      plan.direct.push_back(i);
    } else {
      remote.insert(i);
    }
  }
  const std::vector<std::string> dataCentres(aPeerDataCentres.begin(),
                                             aPeerDataCentres.end());
  while (!remote.empty() && !dataCentres.empty()) {
    std::vector<std::size_t> bestShards;
    const std::string* chosen = nullptr;
    for (std::size_t i = 0; i < dataCentres.size(); ++i) {
      const std::string& dataCentre =
        dataCentres[(i + aRotation) % dataCentres.size()];
      std::vector<std::size_t> covered;
      for (const std::size_t shard : remote) {
        if (dataCentre != aOwnDataCentre &&
            aShardDataCentres[shard].count(dataCentre) != 0) {
          covered.push_back(shard);
        }
      }
      if (covered.size() > bestShards.size()) {
        bestShards = std::move(covered);
        chosen = &dataCentre;
      }
    }
    if (bestShards.size() < kMinShardsPerRelay) {
      break;
    }
    for (const std::size_t shard : bestShards) {
      remote.erase(shard);
    }
    plan.relayed[*chosen] = std::move(bestShards);
  }
  plan.direct.insert(plan.direct.end(), remote.begin(), remote.end());
  return plan;
}

} // namespace toucanridge
