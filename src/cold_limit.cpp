#include "cold_limit_p.h"

namespace toucanridge {

void
ColdLimit::setCold(TimePoint aNow, Duration aLeft)
{
  if (!isCold(aNow)) {
    m_share.clear(aNow);
  }
  m_coldUntil = aNow + aLeft;
}

void
ColdLimit::setShare(TimePoint aNow, std::optional<double> aPerSecond)
{
  m_isLimited = aPerSecond.has_value();
  m_share.setRate(aNow, aPerSecond.value_or(0.0));
}

bool
ColdLimit::allows(TimePoint aNow) const
{
  return !isCold(aNow) || !m_isLimited || m_share.allows(aNow);
}

void
ColdLimit::onSend(TimePoint aNow)
{
  if (isCold(aNow) && m_isLimited) {
    m_share.onSend(aNow);
  }
}

} // namespace toucanridge
