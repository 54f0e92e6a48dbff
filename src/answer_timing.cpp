#include "answer_timing_p.h"

#include <algorithm>
#include <cmath>

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// One-way delay between a caller and a host: the upper end of the expected
/// 1 to 3 ms.
constexpr milliseconds kCallerOneWayDelay{ 3 };
/// Least time reserved for merging, writing, and timers that fire late on a
/// shared core.
constexpr milliseconds kMinAnswerOverhead{ 5 };
/// Most time reserved for them, as a share of the target latency: parts that
/// arrive in this time are left out.
constexpr double kMaxAnswerOverheadShare = 0.15;
/// Weight of a delay that is shorter than the recent maximum.
constexpr double kAnswerDelayWeight = 0.1;
/// The final answer is sent this long before the caller's deadline.
constexpr milliseconds kDeadlineMargin{ 25 };
/// Percentile of the latencies that is used as the hedge delay. Each hedge is
/// an extra attempt, and a service's budget of these (SharedBudget) allows
/// about one for five requests when `bounds.retry_budget_ratio` is 0.2.
constexpr double kHedgePercentile = 0.9;
constexpr milliseconds kMinHedgeDelay{ 8 };
/// Upper bound of the hedge delay, and its value while latencies are unknown,
/// as a share of the target latency: a later hedge has little time left.
constexpr double kMaxHedgeDelayShare = 0.35;
/// A part is hedged when it takes this many times as long as the median of the
/// query's parts. The comparison is within the query because an expensive query
/// is slow on all servers, and hedging all its parts would only add load.
constexpr double kPartHedgeFactor = 1.7;
/// Added to the scaled median.
constexpr milliseconds kPartHedgeMargin{ 3 };
/// While the median is unknown, a part is hedged after this share of the target
/// latency.
constexpr double kDefaultPartHedgeShare = 0.5;
/// Weight of one observation in the moving average of the latency.
constexpr double kTypicalWeight = 0.02;
/// An observation counts as at most this many times the average.
constexpr double kMaxOutlierRatio = 3.0;

Duration
scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aTime) * aFactor);
}

} // namespace

void
QuerySchedule::limitTo(TimePoint aTime)
{
  targetAt = std::min(targetAt, aTime);
  giveUpAt = std::min(giveUpAt, aTime);
}

RouteTiming::RouteTiming(const ClockI& aClock)
  : m_hedgeLatency(aClock, kHedgePercentile)
{
}

QuerySchedule
RouteTiming::schedule(const Route& aRoute,
                      TimePoint aReceived,
                      Duration aDeadline,
                      bool aFirstOnConnection)
{
  m_longestDeadline = std::max(m_longestDeadline, aDeadline);
  // A caller's retry has less time left than its first attempt; the difference
  // was spent on the earlier attempts.
  const Duration spent = m_longestDeadline - aDeadline;
  const Duration networkDelay =
    kCallerOneWayDelay * (aFirstOnConnection ? 4 : 2);
  const Duration overhead = std::clamp<Duration>(
    m_answerDelay,
    kMinAnswerOverhead,
    std::max<Duration>(kMinAnswerOverhead,
                       scaled(aRoute.targetLatency, kMaxAnswerOverheadShare)));
  const Duration untilTarget =
    Duration(aRoute.targetLatency) - spent - networkDelay - overhead;
  const Duration limit =
    std::min<Duration>(aDeadline - kCallerOneWayDelay, aRoute.timeLimit) -
    kDeadlineMargin;
  QuerySchedule schedule;
  schedule.giveUpAt = aReceived + std::max<Duration>(limit, milliseconds(1));
  schedule.targetAt =
    std::min(schedule.giveUpAt,
             aReceived + std::max<Duration>(untilTarget, Duration(0)));
  return schedule;
}

void
RouteTiming::onAnswerDelay(Duration aDelay)
{
  m_answerDelay =
    aDelay >= m_answerDelay
      ? aDelay
      : m_answerDelay - scaled(m_answerDelay - aDelay, kAnswerDelayWeight);
}

void
RouteTiming::onLatency(Duration aLatency)
{
  m_hedgeLatency.add(aLatency);
  const double seconds = std::chrono::duration<double>(aLatency).count();
  if (m_typicalSeconds == 0.0) {
    m_typicalSeconds = seconds;
  } else {
    m_typicalSeconds +=
      kTypicalWeight * (std::min(seconds, kMaxOutlierRatio * m_typicalSeconds) -
                        m_typicalSeconds);
  }
}

double
RouteTiming::latencyRatio(Duration aLatency) const
{
  if (m_typicalSeconds == 0.0) {
    return 1.0;
  }
  return std::chrono::duration<double>(aLatency).count() / m_typicalSeconds;
}

Duration
RouteTiming::hedgeDelay(const Route& aRoute) const
{
  const auto maxDelay = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aRoute.targetLatency) * kMaxHedgeDelayShare);
  const auto measured = m_hedgeLatency.value();
  return measured
           ? std::clamp<Duration>(*measured,
                                  kMinHedgeDelay,
                                  std::max<Duration>(maxDelay, kMinHedgeDelay))
           : maxDelay;
}

std::size_t
partsNeeded(const Route& aRoute)
{
  const double needed = std::ceil(
    aRoute.minCoverage * static_cast<double>(aRoute.shards.size()) - 1e-9);
  return std::max<std::size_t>(1, static_cast<std::size_t>(needed));
}

AnswerStep
decideAnswer(const PartCounts& aParts,
             const QuerySchedule& aSchedule,
             TimePoint aNow)
{
  const bool enough = aParts.received >= aParts.needed;
  if (aParts.received == aParts.total || !aParts.mayArrive ||
      aNow >= aSchedule.giveUpAt) {
    return enough ? AnswerStep::Answer : AnswerStep::Fail;
  }
  // From the target on, enough parts are better than all parts later: the last
  // ones mostly wait for a server that doesn't answer in time at all.
  return enough && aNow >= aSchedule.targetAt ? AnswerStep::Answer
                                              : AnswerStep::Wait;
}

Duration
partHedgeDelay(const Route& aRoute, Duration aMedian)
{
  return aMedian > Duration(0)
           ? scaled(aMedian, kPartHedgeFactor) + Duration(kPartHedgeMargin)
           : scaled(aRoute.targetLatency, kDefaultPartHedgeShare);
}

} // namespace toucanridge
