#ifndef TOUCANRIDGE_BUFFER_BUDGET_P_H
#define TOUCANRIDGE_BUFFER_BUDGET_P_H

/// A limit on the memory that many connections may hold together.

#include <algorithm>
#include <cstddef>

namespace toucanridge {

/// Counts buffered bytes against a limit. Use it only on one thread.
class BufferBudget
{
public:
  /// @param[in] aLimit bytes
  explicit BufferBudget(std::size_t aLimit)
    : m_limit(aLimit)
  {
  }

  /// @returns false, and counts nothing, when the limit would be exceeded
  bool tryTake(std::size_t aBytes)
  {
    if (aBytes > m_limit - m_used) {
      return false;
    }
    m_used += aBytes;
    return true;
  }
  /// @param[in] aBytes taken before
  void giveBack(std::size_t aBytes) { m_used -= std::min(aBytes, m_used); }
  /// @returns bytes
  std::size_t used() const { return m_used; }

private:
  const std::size_t m_limit;
  std::size_t m_used = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BUFFER_BUDGET_P_H
