#ifndef TOUCANRIDGE_ANSWER_TIMING_P_H
#define TOUCANRIDGE_ANSWER_TIMING_P_H

/// When a query is answered with the parts that are in, and when a slow part
/// is asked for once more.

#include <chrono>
#include <cstddef>
#include <optional>

#include "clock_p.h"
#include "latency_p.h"
#include "routing_p.h"

namespace toucanridge {

/// The points in time of one query.
struct QuerySchedule
{
  TimePoint aimAt;      ///< enough parts are answered from now on
  TimePoint completeBy; ///< after aimAt, more parts are waited for until here
  TimePoint giveUpAt;   ///< the final answer, whatever is in

  /// Moves all times before a moment.
  void endBy(TimePoint aTime);
};

/// What is learnt of one route's requests.
class RouteTiming
{
public:
  explicit RouteTiming(const ClockI& aClock);

  /// @param[in] aDeadline time that the caller still waits
  /// @param[in] aFirst the request is the first on its connection
  QuerySchedule schedule(const Route& aRoute,
                         TimePoint aReceived,
                         Duration aDeadline,
                         bool aFirst);

  /// Records how long a server took, or had taken when it was given up.
  void onLatency(Duration aLatency);
  /// @returns an attempt's latency divided by the usual one
  double ratio(Duration aLatency) const;
  /// @returns time after which a second server is asked
  Duration hedgeDelay(const Route& aRoute) const;

private:
  LatencyTracker m_slow;
  double m_usual = 0.0; ///< seconds, 0 while unknown
  Duration m_longestDeadline{ 0 };
};

/// @returns parts that must be in before a query counts as answered
std::size_t
partsNeeded(const Route& aRoute);

} // namespace toucanridge

#endif // TOUCANRIDGE_ANSWER_TIMING_P_H
