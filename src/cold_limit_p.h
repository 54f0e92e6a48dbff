#ifndef TOUCANRIDGE_COLD_LIMIT_P_H
#define TOUCANRIDGE_COLD_LIMIT_P_H

/// Limits the rate of requests that this host sends to a cold server, one that
/// is still warming up after its start.

#include <optional>

#include "clock_p.h"
#include "request_rate_p.h"

namespace toucanridge {

/// A host's share of the request rate that a cold server can handle.
class ColdLimit
{
public:
  /// Treats the server as cold for aLeft, or as warm when aLeft isn't positive.
  void setCold(TimePoint aNow, Duration aLeft);
  /// @param[in] aPerSecond this host's share in requests a second, 0: none;
  ///            nothing when the rate isn't limited
  void setShare(TimePoint aNow, std::optional<double> aPerSecond);

  bool isCold(TimePoint aNow) const { return aNow < m_coldUntil; }
  /// @returns true when a request may be sent
  bool allows(TimePoint aNow) const;
  /// Counts a request that this host sends.
  void onSend(TimePoint aNow);

private:
  TimePoint m_coldUntil;
  bool m_isLimited = false;
  RequestRate m_share;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_COLD_LIMIT_P_H
