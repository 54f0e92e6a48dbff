#ifndef TOUCANRIDGE_SERVER_HEALTH_P_H
#define TOUCANRIDGE_SERVER_HEALTH_P_H

/// The latency and failures of one backend server as this host measures them,
/// and the choice between several servers. Answers the load of servers that are
/// slow, paused, failing or gone for moments or seconds.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "clock_p.h"

namespace toucanridge {

/// Moving averages of a server's relative latency and failure rate. They decay
/// towards those of a normal server, so that a server that has recovered gets
/// requests again.
class ServerHealth
{
public:
  /// Time constant of the exponential decay: without new observations, the
  /// deviation from normal falls to about a third in this time.
  static constexpr std::chrono::milliseconds kDecayTime{ 1500 };
  /// A server that couldn't be reached is avoided for kMinAvoid. Each further
  /// failure to reach it doubles the time, up to kMaxAvoid.
  static constexpr std::chrono::milliseconds kMinAvoid{ 200 };
  static constexpr std::chrono::milliseconds kMaxAvoid{ 1600 };
  static constexpr std::chrono::milliseconds kUnreachableTime{ 1500 };

  /// A server with an overdue request counts as stalled for this time, or until
  /// it responds. A server that is still paused then gets one more request.
  static constexpr std::chrono::milliseconds kStallTime{ 100 };

  /// A request takes much longer than the same request at other servers. The
  /// averages would show a pause only after several such requests.
  void onOverdue(TimePoint aNow) { m_stalledUntil = aNow + kStallTime; }
  /// The server sent a response, successful or not.
  void onResponse();
  /// The server answered with success.
  /// @param[in] aRatio its latency divided by the typical one
  void onAnswer(TimePoint aNow, double aRatio);
  /// An attempt was cancelled before the server answered. Counts only if the
  /// wait was already longer than the server's average.
  /// @param[in] aRatio the time waited, divided by the typical latency
  void onCancelled(TimePoint aNow, double aRatio);
  /// The server failed or refused a request.
  void onFailure(TimePoint aNow);
  /// No connection to the server could be made, or nothing could be sent.
  void onUnreachable(TimePoint aNow);
  /// A connection to the server was made.
  void onConnected();
  /// @returns true when the server couldn't be reached lately and hasn't been
  ///          since. The next attempt after kUnreachableTime finds out anew.
  bool isUnreachable(TimePoint aNow) const
  {
    return m_avoidFor > std::chrono::milliseconds(0) &&
           aNow - m_unreachableAt < kUnreachableTime;
  }

  /// @returns latency relative to the typical one, 1 for a normal server;
  /// higher
  ///          than measured while the server is stalled
  double slowness(TimePoint aNow) const;
  /// @returns average share of requests that fail, 0 to 1
  double failures(TimePoint aNow) const;
  bool isAvoided(TimePoint aNow) const { return aNow < m_avoidUntil; }

private:
  /// @returns a value after its decay towards aBaseline since the last update
  double decayed(double aValue, double aBaseline, TimePoint aNow) const;
  double averageSlowness(TimePoint aNow) const;
  void update(TimePoint aNow, double aRatio, bool aFailed);

  double m_slowness = 1.0;
  double m_failures = 0.0;
  TimePoint m_updatedAt; ///< when the averages were last set
  TimePoint m_avoidUntil;
  TimePoint m_unreachableAt; ///< latest failure to reach it
  TimePoint m_stalledUntil;  ///< unless it responds before
  /// The latest avoidance time, 0 after an answer.
  std::chrono::milliseconds m_avoidFor{ 0 };
};

/// A server that can be chosen, and the state that the choice depends on.
struct ServerOption
{
  std::size_t index = 0; ///< of the server, set and used by the caller only
  double slowness = 1.0;
  double failures = 0.0;
  bool avoided = false;
  bool sameDataCentre = false; ///< in this host's data centre
  std::uint32_t running = 0;   ///< this host's running requests at the server
  std::uint32_t slots = 1;     ///< requests that the server can run at once
};

/// Chooses the server with the least expected cost.
/// @param[in] aUniform random number, uniform in [0, 1); breaks ties
/// @returns the position of the best option, or aOptions.size() when empty
std::size_t
chooseServer(const std::vector<ServerOption>& aOptions, double aUniform);

} // namespace toucanridge

#endif // TOUCANRIDGE_SERVER_HEALTH_P_H
