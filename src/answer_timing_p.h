#ifndef TOUCANRIDGE_ANSWER_TIMING_P_H
#define TOUCANRIDGE_ANSWER_TIMING_P_H

/// When a query is answered with the parts received so far, and when a slow
/// request is hedged. Answers the load of many shards of which a few are slow,
/// paused or gone at any time.

#include <chrono>
#include <cstddef>
#include <cstdint>
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

  /// Records how long after its planned time a query was answered: the time for
  /// which the timer was late, and that for merging and writing.
  void onAnswerDelay(Duration aDelay);
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
  /// Recent maximum of the answers' delay, which falls slowly.
  Duration m_answerDelay{ 0 };
};

/// @returns the number of parts that a successful answer needs at least
std::size_t
partsNeeded(const Route& aRoute);

/// The parts of a query at one moment.
struct PartCounts
{
  std::size_t received = 0;
  std::size_t needed = 0; ///< for a successful answer
  std::size_t total = 0;  ///< shards of the route
  bool mayArrive = true;  ///< more parts may still be received
};

enum class AnswerStep : std::uint8_t
{
  Wait,   ///< for more parts
  Answer, ///< with the parts received
  Fail,   ///< too few parts
};

/// Decides whether a query is answered now.
AnswerStep
decideAnswer(const PartCounts& aParts,
             const QuerySchedule& aSchedule,
             TimePoint aNow);

/// @param[in] aMedian median latency of the query's parts received so far, zero
///            while too few are
/// @returns time after an attempt at which its part is hedged
Duration
partHedgeDelay(const Route& aRoute, Duration aMedian);

} // namespace toucanridge

#endif // TOUCANRIDGE_ANSWER_TIMING_P_H
