#ifndef TOUCANRIDGE_ANSWER_TIMING_P_H
#define TOUCANRIDGE_ANSWER_TIMING_P_H

/// When a query is answered with the parts received so far, and when a slow
/// request is hedged.

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
  /// From here on, the query is answered as soon as enough parts are received.
  TimePoint targetAt;
  /// Once targetAt has passed without enough parts, the query waits for all
  /// parts until here.
  TimePoint completeBy;
  /// The final answer is sent here, whichever parts are received.
  TimePoint giveUpAt;

  /// Limits all times to aTime.
  void limitTo(TimePoint aTime);
};

/// Measured latencies of one route's requests, and the times derived from them.
class RouteTiming
{
public:
  explicit RouteTiming(const ClockI& aClock);

  /// @param[in] aDeadline how long the caller still waits
  /// @param[in] aFirstOnConnection the request is the first on its connection,
  ///            whose setup took a round trip as well
  QuerySchedule schedule(const Route& aRoute,
                         TimePoint aReceived,
                         Duration aDeadline,
                         bool aFirstOnConnection);

  /// Records the latency of a good answer, or the time that an attempt had
  /// taken when it was cancelled.
  void onLatency(Duration aLatency);
  /// @returns a latency divided by the route's typical one; 1 while unknown
  double latencyRatio(Duration aLatency) const;
  /// @returns time after which an attempt is hedged
  Duration hedgeDelay(const Route& aRoute) const;

private:
  LatencyTracker m_hedgeLatency;
  double m_typicalSeconds = 0.0;   ///< moving average, 0 while unknown
  Duration m_longestDeadline{ 0 }; ///< of the requests so far
};

/// @returns the number of parts that a successful answer needs at least
std::size_t
partsNeeded(const Route& aRoute);

} // namespace toucanridge

#endif // TOUCANRIDGE_ANSWER_TIMING_P_H
