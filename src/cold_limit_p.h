#ifndef TOUCANRIDGE_COLD_LIMIT_P_H
#define TOUCANRIDGE_COLD_LIMIT_P_H

/// Limits the rate of requests that this host sends to a cold server, one that
/// is still warming up after its start.

#include <chrono>
#include <cstddef>

#include "clock_p.h"

namespace toucanridge {

/// Token bucket with a host's share of the request rate that a cold server can
/// handle. It holds at most one token; a request takes one.
class ColdLimit
{
public:
  /// Treats the server as cold for aLeft, or as warm when aLeft isn't positive.
  void setCold(TimePoint aNow, Duration aLeft);
  /// @param[in] aPerSecond requests that the server can handle from all hosts
  ///            together; 0: no limit
  /// @param[in] aHosts hosts that share the limit equally
  void setRate(double aPerSecond, std::size_t aHosts);

  bool isCold(TimePoint aNow) const { return aNow < m_coldUntil; }
  /// @returns true when a request may be sent
  bool allows(TimePoint aNow) const;
  /// Takes a token for a request.
  void onSend(TimePoint aNow);

private:
  double tokens(TimePoint aNow) const;

  TimePoint m_coldUntil;
  double m_ratePerSecond = 0.0; ///< requests a second of this host; 0: no limit
  double m_tokens = 0.0;
  TimePoint m_tokensAt; ///< when m_tokens was last set
};

} // namespace toucanridge

#endif // TOUCANRIDGE_COLD_LIMIT_P_H
