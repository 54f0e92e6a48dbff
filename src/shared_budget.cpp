#include "shared_budget_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

/// Share of the limit that is used. An attempt counts when it arrives, which
/// may be in the next window; the rest of the limit covers such attempts.
constexpr double kUsableShare = 0.9;
/// Half of the slack may be spent in one burst; the other half is refilled over
/// a window.
constexpr double kBurstShare = 0.5;

} // namespace

SharedBudget::SharedBudget(const ClockI& aClock,
                           const BudgetLimit& aLimit,
                           TimePoint aSince)
  : m_clock(aClock)
  , m_limit(aLimit)
  , m_refilled(aSince)
{
}

void
SharedBudget::setSharingHosts(std::size_t aSharingHosts)
{
  // Without a share so far, the next refill credits the time since the last
  // refill, or since the host's start, at the new share.
  const bool hadNoShare = m_slackShare == 0.0;
  if (!hadNoShare) {
    refill();
  }
  m_slackShare = aSharingHosts == 0 ? 0.0
                                    : kUsableShare * m_limit.slack /
                                        static_cast<double>(aSharingHosts);
}

/// @returns tokens in a full bucket
double
SharedBudget::capacity() const
{
  return std::max(1.0, m_slackShare * kBurstShare);
}

void
SharedBudget::refill()
{
  const TimePoint now = m_clock.now();
  const double windows =
    std::chrono::duration<double>(now - m_refilled).count() /
    std::chrono::duration<double>(m_limit.window).count();
  m_refilled = now;
  m_tokens = std::min(m_tokens + m_slackShare * (1.0 - kBurstShare) * windows,
                      capacity());
}

void
SharedBudget::onRequest()
{
  refill();
  m_tokens = std::min(m_tokens + kUsableShare * m_limit.ratio, capacity());
}

bool
SharedBudget::trySpend()
{
  refill();
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

} // namespace toucanridge
