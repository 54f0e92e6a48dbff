#ifndef TOUCANRIDGE_SERVER_HEALTH_P_H
#define TOUCANRIDGE_SERVER_HEALTH_P_H

/// What this host has seen of one backend server, and which of several to use.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "clock_p.h"

namespace toucanridge {

/// Learns how slow a server is, and how often it fails. What was learnt fades,
/// so that a server that recovered gets requests again.
class ServerHealth
{
public:
  /// Time in which what was learnt fades to a third when nothing new is seen.
  static constexpr std::chrono::milliseconds kFade{ 1500 };
  /// A server that couldn't be reached is left alone this long, then twice as
  /// long each time, up to kMaxAvoid.
  static constexpr std::chrono::milliseconds kAvoid{ 200 };
  static constexpr std::chrono::milliseconds kMaxAvoid{ 1600 };

  /// A server answered.
  /// @param[in] aRatio its latency, divided by what the route usually takes
  void onAnswer(TimePoint aNow, double aRatio);
  /// It had not answered when the attempt was given up.
  /// @param[in] aRatio the time waited, divided as above
  void onSilence(TimePoint aNow, double aRatio);
  /// It failed or refused a request.
  void onFailure(TimePoint aNow);
  /// No connection could be made.
  void onUnreachable(TimePoint aNow);

  /// @returns latency relative to others, 1 for a usual server
  double slowness(TimePoint aNow) const;
  /// @returns share of requests that fail, 0 to 1
  double failures(TimePoint aNow) const;
  bool isAvoided(TimePoint aNow) const { return aNow < m_avoidUntil; }

private:
  double faded(double aValue, double aRest, TimePoint aNow) const;
  void learn(TimePoint aNow, double aRatio, bool aFailed);

  double m_slowness = 1.0;
  double m_failures = 0.0;
  TimePoint m_learnt;
  TimePoint m_avoidUntil;
  std::chrono::milliseconds m_avoid{ 0 };
};

/// What the choice between servers rests on.
struct ServerOption
{
  std::size_t index = 0; ///< of the server, for the caller
  double slowness = 1.0;
  double failures = 0.0;
  bool avoided = false;
  bool near = false;         ///< in this host's data centre
  std::uint32_t running = 0; ///< requests of this host that it works on
  std::uint32_t slots = 1;
};

/// @param[in] aUniform 0 to 1; breaks ties
/// @returns the position of the best option, or aOptions.size() when empty
std::size_t
chooseServer(const std::vector<ServerOption>& aOptions, double aUniform);

} // namespace toucanridge

#endif // TOUCANRIDGE_SERVER_HEALTH_P_H
