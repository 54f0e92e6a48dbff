#ifndef TOUCANRIDGE_STATED_LIMIT_P_H
#define TOUCANRIDGE_STATED_LIMIT_P_H

/// Keeps this host's requests to a backend server within the request rate that
/// the server states in its answers while it is in trouble.

#include <chrono>
#include <cstdint>
#include <optional>

#include "clock_p.h"
#include "request_rate_p.h"

namespace toucanridge {

/// A server's stated limit, requests a second that it accepts from all hosts
/// together, and this host's share of it. The limit ends with an answer that
/// doesn't state it.
class StatedLimit
{
public:
  /// Time after which a limit that no answer has confirmed is dropped. A host
  /// without a share sends nothing, so it doesn't see that the limit has ended.
  static constexpr std::chrono::seconds kMaxAge{ 20 };

  /// Records what an answer of the server states.
  /// @param[in] aPerSecond nothing when the answer states no limit
  /// @param[in] aGood the server answered with success
  /// @returns true when the limit began, changed or ended
  bool onAnswer(TimePoint aNow, std::optional<double> aPerSecond, bool aGood);
  /// @returns requests a second, nothing while the server states no limit
  std::optional<double> perSecond(TimePoint aNow) const;

  /// Sets this host's share of the limit.
  /// @param[in] aPerSecond requests a second, 0: none
  void setShare(TimePoint aNow, double aPerSecond);
  /// @returns true when this host may send a request
  bool allows(TimePoint aNow) const;
  /// Counts a request that this host sends.
  /// @param[in] aExtra it is a hedge or a retry
  void onSend(TimePoint aNow, bool aExtra);

  /// Requests that this host sent while the limit was in force.
  struct Sends
  {
    std::uint64_t first = 0;
    std::uint64_t extra = 0; ///< hedges and retries
  };
  /// @returns the requests since the last call
  Sends takeSends();

private:
  std::optional<double> m_perSecond;
  TimePoint m_statedAt; ///< when an answer last stated the limit
  RequestRate m_share;
  Sends m_sends;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_STATED_LIMIT_P_H
