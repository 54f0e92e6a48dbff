#ifndef TOUCANRIDGE_STATED_LIMIT_P_H
#define TOUCANRIDGE_STATED_LIMIT_P_H

/// The request rate that a backend server in trouble states in its answers.

#include <cstdint>
#include <optional>

#include "clock_p.h"

namespace toucanridge {

/// Holds a server's stated limit: requests a second that it accepts from all
/// hosts together, for as long as its answers state it.
class StatedLimit
{
public:
  /// Records what an answer of the server states.
  /// @param[in] aPerSecond nothing when the answer states no limit
  /// @param[in] aGood the server answered with success
  /// @returns true when the limit began, changed or ended
  bool onAnswer(std::optional<double> aPerSecond, bool aGood);
  /// @returns requests a second, nothing while the server states no limit
  std::optional<double> perSecond() const { return m_perSecond; }

  /// Counts a request that this host sends to the server.
  void onSend(bool aExtra);

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
  Sends m_sends;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_STATED_LIMIT_P_H
