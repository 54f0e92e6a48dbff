#include "request_rate_p.h"

#include <algorithm>

namespace toucanridge {

double
RequestRate::tokens(TimePoint aNow) const
{
  const double elapsed =
    std::chrono::duration<double>(aNow - m_tokensAt).count();
  const double capacity = std::max(
    1.0, m_perSecond * std::chrono::duration<double>(kBurstTime).count());
  return std::min(capacity, m_tokens + m_perSecond * elapsed);
}

void
RequestRate::setRate(TimePoint aNow, double aPerSecond)
{
  // A host that loses its share also loses the tokens that it has saved.
  m_tokens = aPerSecond > 0.0 ? tokens(aNow) : 0.0;
  m_tokensAt = aNow;
  m_perSecond = aPerSecond;
}

void
RequestRate::clear(TimePoint aNow)
{
  m_tokens = 0.0;
  m_tokensAt = aNow;
}

bool
RequestRate::allows(TimePoint aNow) const
{
  return tokens(aNow) >= 1.0;
}

void
RequestRate::onSend(TimePoint aNow)
{
  m_tokens = tokens(aNow) - 1.0;
  m_tokensAt = aNow;
}

} // namespace toucanridge
