#include "cold_limit_p.h"

#include <algorithm>

namespace toucanridge {

void
ColdLimit::setCold(TimePoint aNow, Duration aLeft)
{
  if (!isCold(aNow)) {
    m_tokens = 0.0;
    m_tokensAt = aNow;
  }
  m_coldUntil = aNow + aLeft;
}

void
ColdLimit::setRate(double aPerSecond, std::size_t aHosts)
{
  m_ratePerSecond =
    aPerSecond / static_cast<double>(std::max<std::size_t>(1, aHosts));
}

double
ColdLimit::tokens(TimePoint aNow) const
{
  const double seconds =
    std::chrono::duration<double>(aNow - m_tokensAt).count();
  return std::min(1.0, m_tokens + m_ratePerSecond * seconds);
}

bool
ColdLimit::allows(TimePoint aNow) const
{
  return !isCold(aNow) || m_ratePerSecond <= 0.0 || tokens(aNow) >= 1.0;
}

void
ColdLimit::onSend(TimePoint aNow)
{
  if (isCold(aNow) && m_ratePerSecond > 0.0) {
    m_tokens = tokens(aNow) - 1.0;
    m_tokensAt = aNow;
  }
}

} // namespace toucanridge
