#include "slot_chooser_p.h"

#include <algorithm>
#include <limits>

namespace toucanridge {

SlotChooser::SlotChooser(std::uint64_t aSeed, IsAlive aIsAlive)
  : m_random(aSeed)
  , m_isAlive(std::move(aIsAlive))
{
}

std::optional<Target>
SlotChooser::choose(const View& aView,
                    std::size_t aService,
                    const Constraints& aConstraints)
{
  struct Candidate
  {
    Target target;
    std::uint32_t slots = 0;
    bool owner = false; ///< holds slot 0
  };
  std::vector<Candidate> candidates;
  const ServiceRule& service = aView.rules->services[aService];
  for (const SlotPlace& place : aView.placement[aService].slots) {
    if (place.host == SlotPlace::kNoHost ||
        service.servers[place.server].leaving) {
      continue;
    }
    const auto host = static_cast<std::uint32_t>(place.host);
    const auto same = [&](const Target& aTarget) {
      return aTarget.server == place.server && aTarget.host == host;
    };
    const auto& barred = aConstraints.barredServers;
    if (std::any_of(
          aConstraints.tried.begin(), aConstraints.tried.end(), same) ||
        std::find(barred.begin(), barred.end(), place.server) != barred.end() ||
        !m_isAlive(aView.hosts.hosts[host].name)) {
      continue;
    }
    const auto existing = std::find_if(
      candidates.begin(), candidates.end(), [&](const Candidate& aCandidate) {
        return same(aCandidate.target);
      });
    if (existing != candidates.end()) {
      ++existing->slots;
      existing->owner = existing->owner || place.slot == 0;
    } else {
      candidates.push_back({ { place.server, host }, 1, place.slot == 0 });
    }
  }
  // A server that was tried for this sub-request is the last choice.
  const auto isServerTried = [&](const Candidate& aCandidate) {
    return std::any_of(aConstraints.tried.begin(),
                       aConstraints.tried.end(),
                       [&](const Target& aTarget) {
                         return aTarget.server == aCandidate.target.server;
                       });
  };
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::shuffle(candidates.begin(), candidates.end(), m_random);
  std::optional<Target> best;
  double lowestCost = std::numeric_limits<double>::max();
  for (const Candidate& candidate : candidates) {
    const Key key{ service.servers[candidate.target.server].name,
                   aView.hosts.hosts[candidate.target.host].name };
    Load& load = m_loads[key];
    constexpr double kTriedPenalty = 1000.0;
    constexpr double kNotOwnerPenalty = 100.0;
    const double cost =
      (load.outstanding + load.queued) / candidate.slots +
      (isServerTried(candidate) ? kTriedPenalty : 0.0) +
      (aConstraints.preferOwner && !candidate.owner ? kNotOwnerPenalty : 0.0);
    // Only a reply renews the reported length, so without decay a target that
    // once reported a long queue would not be chosen again while others idle.
    constexpr double kDecay = 0.8;
    load.queued *= kDecay;
    if (cost < lowestCost) {
      lowestCost = cost;
      best = candidate.target;
    }
  }
  return best;
}

void
SlotChooser::onSent(const std::string& aServer, const std::string& aHost)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_loads[{ aServer, aHost }].outstanding;
}

void
SlotChooser::onEnded(const std::string& aServer,
                     const std::string& aHost,
                     std::uint32_t aQueued)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Load& load = m_loads[{ aServer, aHost }];
  if (load.outstanding > 0) {
    --load.outstanding;
  }
  load.queued = aQueued;
}

} // namespace toucanridge
