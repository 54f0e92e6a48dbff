#include "stated_limit_p.h"

#include <utility>

namespace toucanridge {

bool
StatedLimit::onAnswer(std::optional<double> aPerSecond, bool aGood)
{
  // A failure may come from a part of the server that doesn't know the limit.
  if (aPerSecond == m_perSecond || (!aPerSecond && !aGood)) {
    return false;
  }
  m_perSecond = aPerSecond;
  return true;
}

void
StatedLimit::onSend(bool aExtra)
{
  if (m_perSecond) {
    ++(aExtra ? m_sends.extra : m_sends.first);
  }
}

StatedLimit::Sends
StatedLimit::takeSends()
{
  return std::exchange(m_sends, {});
}

} // namespace toucanridge
