#include "server_health_p.h"

#include <algorithm>
#include <cmath>

namespace toucanridge {
namespace {

/// Weight of one observation in the moving averages.
constexpr double kObservationWeight = 0.25;
/// Bounds an observed ratio, so that a single pause or outlier doesn't make the
/// server look permanently slow.
constexpr double kMaxRatio = 8.0;
/// A failed attempt leads to a retry, which takes about as long as this many
/// requests.
constexpr double kFailureCost = 6.0;
/// Cost factor of a server in another data centre, for the traffic and latency
/// between data centres. It must be better by this factor to be preferred to a
/// server in this host's data centre.
constexpr double kRemoteCostFactor = 1.6;
/// Least slowness of a stalled server: above kRemoteCostFactor, so that a
/// replica in another data centre is preferred.
constexpr double kStalledSlowness = 3.0;
/// An avoided server is used only when no other is left.
constexpr double kAvoidedCost = 1000.0;
/// Upper bound of the random cost that breaks ties, so that hosts don't all
/// choose the same server.
constexpr double kMaxTieBreak = 0.1;

double
costOf(const ServerOption& aOption, double aTieBreak)
{
  const double queued = static_cast<double>(aOption.running) /
                        std::max<std::uint32_t>(1, aOption.slots);
  double cost =
    aOption.slowness * (1.0 + queued) + kFailureCost * aOption.failures;
  cost *= aOption.sameDataCentre ? 1.0 : kRemoteCostFactor;
  return cost + (aOption.avoided ? kAvoidedCost : 0.0) + aTieBreak;
}

} // namespace

double
ServerHealth::decayed(double aValue, double aBaseline, TimePoint aNow) const
{
  const double age = std::chrono::duration<double>(aNow - m_updatedAt).count() /
                     std::chrono::duration<double>(kDecayTime).count();
  return aBaseline + (aValue - aBaseline) * std::exp(-std::max(0.0, age));
}

double
ServerHealth::averageSlowness(TimePoint aNow) const
{
  return decayed(m_slowness, 1.0, aNow);
}

double
ServerHealth::slowness(TimePoint aNow) const
{
  const double average = averageSlowness(aNow);
  return aNow < m_stalledUntil ? std::max(average, kStalledSlowness) : average;
}

double
ServerHealth::failures(TimePoint aNow) const
{
  return decayed(m_failures, 0.0, aNow);
}

void
ServerHealth::update(TimePoint aNow, double aRatio, bool aFailed)
{
  const double slow = averageSlowness(aNow);
  const double failed = failures(aNow);
  m_slowness = slow + kObservationWeight * (std::min(aRatio, kMaxRatio) - slow);
  m_failures = failed + kObservationWeight * ((aFailed ? 1.0 : 0.0) - failed);
  m_updatedAt = aNow;
}

void
ServerHealth::onResponse()
{
  m_stalledUntil = TimePoint();
  onConnected();
}

void
ServerHealth::onAnswer(TimePoint aNow, double aRatio)
{
  update(aNow, aRatio, false);
  onConnected();
}

void
ServerHealth::onConnected()
{
  m_avoidFor = std::chrono::milliseconds(0);
  m_avoidUntil = TimePoint();
}

void
ServerHealth::onCancelled(TimePoint aNow, double aRatio)
{
  if (aRatio > averageSlowness(aNow)) {
    update(aNow, aRatio, false);
  }
}

void
ServerHealth::onFailure(TimePoint aNow)
{
  update(aNow, slowness(aNow), true);
}

void
ServerHealth::onUnreachable(TimePoint aNow)
{
  m_avoidFor = std::clamp(m_avoidFor * 2, kMinAvoid, kMaxAvoid);
  m_avoidUntil = aNow + m_avoidFor;
  m_unreachableAt = aNow;
}

std::size_t
chooseServer(const std::vector<ServerOption>& aOptions, double aUniform)
{
  std::size_t best = aOptions.size();
  double lowestCost = 0.0;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    // Spreads the tie break over the positions: multiples of the golden ratio's
    // fractional part.
    const double tieBreak =
      std::fmod(aUniform + 0.618 * static_cast<double>(i), 1.0);
    const double cost = costOf(aOptions[i], kMaxTieBreak * tieBreak);
    if (best == aOptions.size() || cost < lowestCost) {
      best = i;
      lowestCost = cost;
    }
  }
  return best;
}

} // namespace toucanridge
