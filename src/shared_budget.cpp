#include "shared_budget_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

/// Attempts on their way count when they arrive, which may fall into the next
/// window; the rest of the limit covers them.
constexpr double kUsable = 0.9;
/// Half of the slack may be spent at once, the other half is earned over a
/// window.
constexpr double kBurst = 0.5;

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
SharedBudget::setSharers(std::size_t aSharers)
{
  const bool first = m_share == 0.0;
  if (!first) {
    refill();
  }
  m_share = aSharers == 0
              ? 0.0
              : kUsable * m_limit.slack / static_cast<double>(aSharers);
}

/// @returns tokens in a full bucket
double
SharedBudget::most() const
{
  return std::max(1.0, m_share * kBurst);
}

void
SharedBudget::refill()
{
  const TimePoint now = m_clock.now();
  const double windows =
    std::chrono::duration<double>(now - m_refilled).count() /
    std::chrono::duration<double>(m_limit.window).count();
  m_refilled = now;
  m_tokens = std::min(m_tokens + m_share * (1.0 - kBurst) * windows, most());
}

void
SharedBudget::onRequest()
{
  refill();
  m_tokens = std::min(m_tokens + kUsable * m_limit.ratio, most());
}

bool
SharedBudget::take()
{
  refill();
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

} // namespace toucanridge
