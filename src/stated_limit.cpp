#include "stated_limit_p.h"

#include <utility>

namespace toucanridge {

bool
StatedLimit::onAnswer(TimePoint aNow,
                      std::optional<double> aPerSecond,
                      bool aGood)
{
  // A failure may come from a part of the server that doesn't know the limit.
  if (!aPerSecond && !aGood) {
    return false;
  }
  const std::optional<double> before = perSecond(aNow);
  m_perSecond = aPerSecond;
  m_statedAt = aNow;
  if (!before && aPerSecond) {
    m_share.clear(aNow); // the server has just got this host's usual load
  }
  return before != aPerSecond;
}

std::optional<double>
StatedLimit::perSecond(TimePoint aNow) const
{
  return aNow - m_statedAt < kMaxAge ? m_perSecond : std::nullopt;
}

void
StatedLimit::setShare(TimePoint aNow, double aPerSecond)
{
  m_share.setRate(aNow, aPerSecond);
}

bool
StatedLimit::allows(TimePoint aNow) const
{
  return !perSecond(aNow) || m_share.allows(aNow);
}

void
StatedLimit::onSend(TimePoint aNow, bool aExtra)
{
  if (perSecond(aNow)) {
    ++(aExtra ? m_sends.extra : m_sends.first);
    m_share.onSend(aNow);
  }
}

StatedLimit::Sends
StatedLimit::takeSends()
{
  return std::exchange(m_sends, {});
}

} // namespace toucanridge
