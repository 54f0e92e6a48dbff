#include "admission_p.h"

#include <algorithm>
#include <chrono>

namespace toucanridge {
namespace {

/// The level settles where this share of the queries is late:
/// kOnTimeIncrease / (kOnTimeIncrease + kLateDecrease).
constexpr double kLateDecrease = 0.04;
constexpr double kOnTimeIncrease = 0.01;
/// The level also increases with time, so that a host with few queries doesn't
/// keep refusing them long after the overload has ended.
constexpr double kIncreasePerSecond = 0.1;
constexpr double kMinLevel = 0.3;
/// Ten late queries in a row use up the reserve above 1. Single late queries,
/// caused by faults of a few servers or by starting hosts, must not lead to
/// refusals.
constexpr double kMaxLevel = 1.4;
/// A median latency above this share of the target latency means that parts
/// wait in queues: without load it is a fifth of the target.
constexpr double kOverloadShare = 0.45;

} // namespace

Admission::Admission(const ClockI& aClock)
  : m_clock(aClock)
  , m_level(kMaxLevel)
  , m_updatedAt(aClock.now())
{
}

double
Admission::level() const
{
  const double elapsed =
    std::chrono::duration<double>(m_clock.now() - m_updatedAt).count();
  return std::min(kMaxLevel, m_level + kIncreasePerSecond * elapsed);
}

void
Admission::onQuery(bool aLate)
{
  m_level = std::clamp(
    level() + (aLate ? -kLateDecrease : kOnTimeIncrease), kMinLevel, kMaxLevel);
  m_updatedAt = m_clock.now();
}

bool
isOverloadedMedian(Duration aMedian, Duration aTargetLatency)
{
  const std::chrono::duration<double> limit(aTargetLatency);
  return aMedian == Duration(0) || aMedian > limit * kOverloadShare;
}

} // namespace toucanridge
