#ifndef TOUCANRIDGE_LOG_LIMIT_P_H
#define TOUCANRIDGE_LOG_LIMIT_P_H

/// Bounds the lines of one event that may come in floods.

#include <cstdint>

#include "clock_p.h"

namespace toucanridge {

/// Lets a number of lines through each second and counts the rest. Not
/// thread-safe.
class LogLimit
{
public:
  LogLimit(const ClockI& aClock, std::uint32_t aPerSecond)
    : m_clock(aClock)
    , m_perSecond(aPerSecond)
  {
  }

  /// @returns true when a line may be written
  bool allows()
  {
    const TimePoint now = m_clock.now();
    if (now - m_second >= std::chrono::seconds(1)) {
      m_second = now;
      m_written = 0;
    }
    if (m_written < m_perSecond) {
      ++m_written;
      return true;
    }
    ++m_suppressed;
    return false;
  }

  /// @returns lines held back since the last call
  std::uint64_t takeSuppressed()
  {
    const std::uint64_t suppressed = m_suppressed;
    m_suppressed = 0;
    return suppressed;
  }

private:
  const ClockI& m_clock;
  const std::uint32_t m_perSecond;
  TimePoint m_second;
  std::uint32_t m_written = 0;
  std::uint64_t m_suppressed = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_LOG_LIMIT_P_H
