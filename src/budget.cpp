#include "budget_p.h"

#include <algorithm>

namespace toucanridge {

TokenBudget::TokenBudget(double aBurst)
  : m_burst(aBurst)
  , m_tokens(aBurst)
{
}

void
TokenBudget::deposit(std::size_t aCount, double aShare)
{
  m_tokens = std::min(m_burst, m_tokens + static_cast<double>(aCount) * aShare);
}

bool
TokenBudget::tryTake()
{
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

} // namespace toucanridge
