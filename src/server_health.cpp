#include "server_health_p.h"

#include <algorithm>
#include <cmath>

namespace toucanridge {
namespace {

/// Weight of one observation.
constexpr double kLearn = 0.25;
/// A single pause or outlier must not look like a server that is slow for good.
constexpr double kMaxRatio = 8.0;
/// A failed attempt costs a retry: about the time of this many requests.
constexpr double kFailureCost = 6.0;
/// A far server must be better by this much before it is used instead of a
/// near one: it costs bytes between data centres and the way there.
constexpr double kFarCost = 1.6;
constexpr double kAvoidedCost = 1000.0;
/// Spread of the tie break, so that hosts don't all pick the same server.
constexpr double kTieBreak = 0.1;

double
costOf(const ServerOption& aOption, double aTieBreak)
{
  const double queued = static_cast<double>(aOption.running) /
                        std::max<std::uint32_t>(1, aOption.slots);
  double cost =
    aOption.slowness * (1.0 + queued) + kFailureCost * aOption.failures;
  cost *= aOption.near ? 1.0 : kFarCost;
  return cost + (aOption.avoided ? kAvoidedCost : 0.0) + aTieBreak;
}

} // namespace

double
ServerHealth::faded(double aValue, double aRest, TimePoint aNow) const
{
  const double age = std::chrono::duration<double>(aNow - m_learnt).count() /
                     std::chrono::duration<double>(kFade).count();
  return aRest + (aValue - aRest) * std::exp(-std::max(0.0, age));
}

double
ServerHealth::slowness(TimePoint aNow) const
{
  return faded(m_slowness, 1.0, aNow);
}

double
ServerHealth::failures(TimePoint aNow) const
{
  return faded(m_failures, 0.0, aNow);
}

void
ServerHealth::learn(TimePoint aNow, double aRatio, bool aFailed)
{
  const double slow = slowness(aNow);
  const double failed = failures(aNow);
  m_slowness = slow + kLearn * (std::min(aRatio, kMaxRatio) - slow);
  m_failures = failed + kLearn * ((aFailed ? 1.0 : 0.0) - failed);
  m_learnt = aNow;
}

void
ServerHealth::onAnswer(TimePoint aNow, double aRatio)
{
  learn(aNow, aRatio, false);
  m_avoid = std::chrono::milliseconds(0);
  m_avoidUntil = TimePoint();
}

void
ServerHealth::onSilence(TimePoint aNow, double aRatio)
{
  if (aRatio > slowness(aNow)) {
    learn(aNow, aRatio, false);
  }
}

void
ServerHealth::onFailure(TimePoint aNow)
{
  learn(aNow, slowness(aNow), true);
}

void
ServerHealth::onUnreachable(TimePoint aNow)
{
  m_avoid = std::clamp(m_avoid * 2, kAvoid, kMaxAvoid);
  m_avoidUntil = aNow + m_avoid;
}

std::size_t
chooseServer(const std::vector<ServerOption>& aOptions, double aUniform)
{
  std::size_t best = aOptions.size();
  double lowest = 0.0;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    // A different share of the tie break for each position.
    const double turn =
      std::fmod(aUniform + 0.618 * static_cast<double>(i), 1.0);
    const double cost = costOf(aOptions[i], kTieBreak * turn);
    if (best == aOptions.size() || cost < lowest) {
      best = i;
      lowest = cost;
    }
  }
  return best;
}

} // namespace toucanridge
