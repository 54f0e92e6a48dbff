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

SharedBudget::SharedBudget(const ClockI& aClock, const BudgetLimit& aLimit)
  : m_clock(aClock)
  , m_limit(aLimit)
  , m_refilled(aClock.now())
{
}

void
SharedBudget::setHosts(std::size_t aHosts)
{
  refill();
  m_hosts = static_cast<double>(std::max<std::size_t>(1, aHosts));
}

void
SharedBudget::refill()
{
  const TimePoint now = m_clock.now();
  const double share = kUsable * m_limit.slack / m_hosts;
  const double windows =
    std::chrono::duration<double>(now - m_refilled).count() /
    std::chrono::duration<double>(m_limit.window).count();
  m_refilled = now;
  m_tokens = std::min(m_tokens + share * (1.0 - kBurst) * windows,
                      std::max(1.0, share * kBurst));
}

void
SharedBudget::onRequest()
{
  refill();
  const double share = kUsable * m_limit.slack / m_hosts;
  m_tokens =
    std::min(m_tokens + kUsable * m_limit.ratio, std::max(1.0, share * kBurst));
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
