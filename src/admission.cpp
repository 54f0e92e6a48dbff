#include "admission_p.h"

#include <algorithm>
#include <chrono>

namespace toucanridge {
namespace {

/// The level settles where kRise / (kRise + kFall) of the queries are late.
constexpr double kFall = 0.04;
constexpr double kRise = 0.01;
/// The level also rises by this in a second, so that a host with few queries
/// doesn't refuse long after the load has gone.
constexpr double kRisePerSecond = 0.1;
constexpr double kLeastLevel = 0.3;
/// Ten late queries in a row use up the reserve: faults of a few servers and
/// starts of hosts make single ones late.
constexpr double kMostLevel = 1.4;

} // namespace

Admission::Admission(const ClockI& aClock)
  : m_clock(aClock)
  , m_level(kMostLevel)
  , m_learnt(aClock.now())
{
}

double
Admission::level() const
{
  const double passed =
    std::chrono::duration<double>(m_clock.now() - m_learnt).count();
  return std::min(kMostLevel, m_level + kRisePerSecond * passed);
}

void
Admission::onQuery(bool aLate)
{
  m_level =
    std::clamp(level() + (aLate ? -kFall : kRise), kLeastLevel, kMostLevel);
  m_learnt = m_clock.now();
}

} // namespace toucanridge
