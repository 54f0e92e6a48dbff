#include "answer_timing_p.h"

#include <algorithm>
#include <cmath>

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// One way between a caller and a host; the users' sheets give 1 to 3 ms.
constexpr milliseconds kCallerWay{ 3 };
/// Merging, writing, and timers that fire late on a shared core.
constexpr milliseconds kAnswerWork{ 5 };
/// The final answer leaves this long before the caller's deadline.
constexpr milliseconds kDeadlineMargin{ 25 };
/// Part of the latencies below which no second server is asked. Each hedge is
/// an extra request, and the budgets allow about one in five.
constexpr double kHedgePercentile = 0.9;
constexpr milliseconds kMinHedgeDelay{ 8 };
/// While latencies are unknown, and at most: a hedge later than this share of
/// the aim has little time left.
constexpr double kMaxHedgeShare = 0.35;
constexpr double kLearnUsual = 0.02;
constexpr double kOutlier = 3.0;

} // namespace

void
QuerySchedule::endBy(TimePoint aTime)
{
  aimAt = std::min(aimAt, aTime);
  completeBy = std::min(completeBy, aTime);
  giveUpAt = std::min(giveUpAt, aTime);
}

RouteTiming::RouteTiming(const ClockI& aClock)
  : m_slow(aClock, kHedgePercentile)
{
}

QuerySchedule
RouteTiming::schedule(const Route& aRoute,
                      TimePoint aReceived,
                      Duration aDeadline,
                      bool aFirst)
{
  m_longestDeadline = std::max(m_longestDeadline, aDeadline);
  // A caller's next try has less time left than its first: the difference was
  // spent on the tries before.
  const Duration spent = m_longestDeadline - aDeadline;
  const Duration way = kCallerWay * (aFirst ? 4 : 2);
  const Duration aim = Duration(aRoute.aim) - spent - way - kAnswerWork;
  const Duration limit =
    std::min<Duration>(aDeadline - kCallerWay, aRoute.timeLimit) -
    kDeadlineMargin;
  QuerySchedule schedule;
  schedule.giveUpAt = aReceived + std::max<Duration>(limit, milliseconds(1));
  schedule.aimAt = std::min(schedule.giveUpAt,
                            aReceived + std::max<Duration>(aim, Duration(0)));
  schedule.completeBy =
    std::min(schedule.giveUpAt, schedule.aimAt + Duration(aRoute.aim));
  return schedule;
}

void
RouteTiming::onLatency(Duration aLatency)
{
  m_slow.add(aLatency);
  const double seconds = std::chrono::duration<double>(aLatency).count();
  if (m_usual == 0.0) {
    m_usual = seconds;
  } else {
    m_usual += kLearnUsual * (std::min(seconds, kOutlier * m_usual) - m_usual);
  }
}

double
RouteTiming::ratio(Duration aLatency) const
{
  if (m_usual == 0.0) {
    return 1.0;
  }
  return std::chrono::duration<double>(aLatency).count() / m_usual;
}

Duration
RouteTiming::hedgeDelay(const Route& aRoute) const
{
  const auto most = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aRoute.aim) * kMaxHedgeShare);
  const auto learnt = m_slow.value();
  return learnt ? std::clamp<Duration>(*learnt,
                                       kMinHedgeDelay,
                                       std::max<Duration>(most, kMinHedgeDelay))
                : most;
}

std::size_t
partsNeeded(const Route& aRoute)
{
  const double needed = std::ceil(
    aRoute.minCoverage * static_cast<double>(aRoute.shards.size()) - 1e-9);
  return std::max<std::size_t>(1, static_cast<std::size_t>(needed));
}

} // namespace toucanridge
