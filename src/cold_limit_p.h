#ifndef TOUCANRIDGE_COLD_LIMIT_P_H
#define TOUCANRIDGE_COLD_LIMIT_P_H

/// Limits the requests that this host sends to a server that is cold.

#include <chrono>
#include <cstddef>

#include "clock_p.h"

namespace toucanridge {

/// A host's share of what a cold server bears, one token a request.
class ColdLimit
{
public:
  /// The server is cold from now on, or warm when aLeft is not positive.
  void setCold(TimePoint aNow, Duration aLeft);
  /// @param[in] aPerSecond what the server bears from all hosts; 0: no limit
  void setRate(double aPerSecond, std::size_t aHosts);

  bool isCold(TimePoint aNow) const { return aNow < m_coldUntil; }
  /// @returns true when a request may be sent
  bool allows(TimePoint aNow) const;
  /// Counts a request.
  void onSend(TimePoint aNow);

private:
  double tokens(TimePoint aNow) const;

  TimePoint m_coldUntil;
  double m_rate = 0.0; ///< requests a second of this host; 0: no limit
  double m_tokens = 0.0;
  TimePoint m_counted;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_COLD_LIMIT_P_H
