#ifndef TOUCANRIDGE_REQUEST_RATE_P_H
#define TOUCANRIDGE_REQUEST_RATE_P_H

/// A host's share of a request rate that several hosts keep together.

#include <chrono>

#include "clock_p.h"

namespace toucanridge {

/// Token bucket; a request takes one token. It starts empty and holds the
/// tokens of kBurstTime, but one at least.
class RequestRate
{
public:
  /// Time whose unused tokens are kept, so that requests that arrive at random
  /// intervals can use the rate.
  static constexpr std::chrono::milliseconds kBurstTime{ 250 };

  /// @param[in] aPerSecond requests a second; 0: none
  void setRate(TimePoint aNow, double aPerSecond);
  /// Drops all tokens.
  void clear(TimePoint aNow);
  /// @returns true when a request may be sent
  bool allows(TimePoint aNow) const;
  /// Takes a token for a request.
  void onSend(TimePoint aNow);

private:
  double tokens(TimePoint aNow) const;

  double m_perSecond = 0.0;
  double m_tokens = 0.0;
  TimePoint m_tokensAt; ///< when m_tokens was last set
};

} // namespace toucanridge

#endif // TOUCANRIDGE_REQUEST_RATE_P_H
