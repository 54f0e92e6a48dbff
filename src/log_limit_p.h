#ifndef TOUCANRIDGE_LOG_LIMIT_P_H
#define TOUCANRIDGE_LOG_LIMIT_P_H

/// Rate limit for log events that may occur very often.

#include <cstdint>

#include "clock_p.h"

namespace toucanridge {

/// Allows a number of lines per second and counts those it suppresses. Not
/// thread-safe.
class LogRateLimiter
{
public:
  LogRateLimiter(const ClockI& aClock, std::uint32_t aPerSecond)
    : m_clock(aClock)
    , m_perSecond(aPerSecond)
  {
  }

  /// Counts one line.
  /// @returns true when it may be written
  bool allows()
  {
    const TimePoint now = m_clock.now();
    if (now - m_windowStart >= std::chrono::seconds(1)) {
      m_windowStart = now;
      m_written = 0;
    }
    if (m_written < m_perSecond) {
      ++m_written;
      return true;
    }
    ++m_suppressed;
    return false;
  }

  /// Resets the count of suppressed lines.
  /// @returns lines suppressed since the last call
  std::uint64_t takeSuppressed()
  {
    const std::uint64_t suppressed = m_suppressed;
    m_suppressed = 0;
    return suppressed;
  }

private:
  const ClockI& m_clock;
  const std::uint32_t m_perSecond;
  TimePoint m_windowStart;
  std::uint32_t m_written = 0;
  std::uint64_t m_suppressed = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_LOG_LIMIT_P_H
