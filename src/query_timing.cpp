#include "query_p.h"

#include <algorithm>

#include "log_p.h"

/// Decisions of a query that depend on time: hedges, early answers, starting
/// over on a new snapshot.

namespace toucanridge {
namespace {

/// An early answer is due at this multiple of the learnt p95 latency of a part,
/// in classes with `wait latency`. A hedge sent at p95 then has had as long
/// again. Answering at p95 itself would leave out a part in two thirds of the
/// queries with a fan-out of 20, and the latencies recorded at that point would
/// lower the estimate.
constexpr int kTailFactor = 2;
/// Largest share of the parts that may be missing from an early answer.
constexpr double kMaxMissingShare = 0.05;
/// Smallest fan-out whose early answer may miss a part; in a smaller one a part
/// is over a tenth of the answer.
constexpr std::size_t kMinPartsForEarlyAnswer = 10;
/// Until a part latency is known, a query starts over only if at least the
/// class's deadline divided by this is left.
constexpr int kStartOverDivisor = 4;

/// @returns how many of aParts parts may be missing from an early answer
std::size_t
maxMissingParts(std::size_t aParts)
{
  if (aParts < kMinPartsForEarlyAnswer) {
    return 0;
  }
  const auto share = static_cast<double>(aParts) * kMaxMissingShare;
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

} // namespace

/// @returns when a hedge of the part is due; nothing when it needs none
std::optional<TimePoint>
Query::hedgeDue(const Part& aPart) const
{
  if (!m_hedgeDelay || aPart.answered || aPart.hedged) {
    return std::nullopt;
  }
  const auto running = [](const Attempt& aAttempt) { return aAttempt.running; };
  const auto found =
    std::find_if(aPart.attempts.begin(), aPart.attempts.end(), running);
  if (found == aPart.attempts.end()) {
    return std::nullopt;
  }
  return found->sent + *m_hedgeDelay;
}

/// @returns when an early answer is due; nothing when the class allows none, or
/// while no latency is learnt or too many parts are missing
std::optional<TimePoint>
Query::earlyDue() const
{
  if (m_class.wait != WaitFor::Latency || !m_classState) {
    return std::nullopt;
  }
  const auto missing = static_cast<std::size_t>(
    std::count_if(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
      return !aPart.answered;
    }));
  const auto tail = m_classState->tailLatency();
  if (!tail || missing > maxMissingParts(m_parts.size())) {
    return std::nullopt;
  }
  TimePoint due = m_start;
  for (const Part& part : m_parts) {
    if (!part.answered && !part.attempts.empty()) {
      due = std::max(due, part.attempts.front().sent + *tail * kTailFactor);
    }
  }
  return due;
}

/// @returns when the query next has work to do, at the latest its deadline
TimePoint
Query::nextDue() const
{
  TimePoint due = m_deadline;
  if (const auto early = earlyDue()) {
    due = std::min(due, *early);
  }
  for (const Part& part : m_parts) {
    if (const auto hedge = hedgeDue(part)) {
      due = std::min(due, *hedge);
    }
    if (part.retryAt) {
      due = std::min(due, *part.retryAt);
    }
  }
  return due;
}

/// Sends the hedges and retries that are due.
void
Query::sendDueAttempts(TimePoint aNow, Batches& aBatches)
{
  EngineCounters& counters = m_engine.m_counters;
  for (std::uint32_t p = 0; p < m_parts.size(); ++p) {
    const auto hedge = hedgeDue(m_parts[p]);
    if (hedge && *hedge <= aNow) {
      // Each part asks the budget once. A denied part isn't hedged later, so
      // that the next token goes to a part that became slow after it.
      m_parts[p].hedged = true;
      if (!m_classState->takeHedgeToken()) {
        ++counters.hedgesDenied;
      } else if (startAttempt(p, AttemptKind::Hedge, aBatches)) {
        ++counters.hedges;
      }
    }
    Part& part = m_parts[p];
    if (part.retryAt && *part.retryAt <= aNow) {
      part.retryAt.reset();
      if (m_error == Errc::NoSnapshot && startOver(aBatches)) {
        return;
      }
      // The retry is charged if a server refused the snapshot or replied from
      // another one.
      const bool lackedSnapshot = !part.constraints.barredServers.empty();
      if (lackedSnapshot && !m_classState->takeRetryToken()) {
        scheduleBackoff(part);
        continue;
      }
      part.constraints = {};
      part.constraints.preferOwner = m_error == Errc::NotHolder;
      if (startAttempt(p, AttemptKind::Retry, aBatches)) {
        ++(lackedSnapshot ? counters.retries : counters.freeRetries);
      } else {
        scheduleBackoff(part);
      }
    }
  }
}

/// Starts the query over when the current rules name another snapshot.
/// @returns false when they don't, when the query has started over before, when
/// too little time is left, or when a request that isn't idempotent may have
/// run
bool
Query::startOver(Batches& aBatches)
{
  const ViewPtr view = m_engine.m_views.get();
  const auto found = view->rules->snapshots.find(m_class.application);
  if (m_startedOver || found == view->rules->snapshots.end() ||
      found->second.id == m_snapshot) {
    return false;
  }
  const bool mayHaveRun =
    std::any_of(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
      return aPart.mayHaveRun || aPart.answered ||
             std::any_of(
               aPart.attempts.begin(),
               aPart.attempts.end(),
               [](const Attempt& aAttempt) { return aAttempt.running; });
    });
  const auto tail = m_classState->tailLatency();
  const Duration needed =
    tail ? *tail * kTailFactor : Duration(m_class.deadline) / kStartOverDivisor;
  if ((mayHaveRun && !m_class.idempotent) ||
      m_deadline - m_engine.m_clock.now() < needed) {
    return false;
  }
  std::size_t maxAttempts = 0;
  for (const Part& part : m_parts) {
    maxAttempts = std::max(maxAttempts, part.attempts.size());
  }
  for (const std::uint32_t host : releaseAllAttempts()) {
    m_engine.m_sender.cancel(m_view->hosts.hosts[host], { m_id });
  }
  m_firstNumber += static_cast<std::uint32_t>(maxAttempts);
  m_startedOver = true;
  m_parts.clear();
  aBatches.clear();
  const TimePoint deadline = m_deadline;
  const std::uint64_t oldSnapshot = m_snapshot;
  m_view = view;
  if (!plan()) {
    return true;
  }
  m_deadline = std::min(m_deadline, deadline);
  ++m_engine.m_counters.restarts;
  sendFirstAttempts(aBatches);
  logWrite(LogLevel::Info,
           LogLine("start-over")
             .add("request", m_requestId)
             .add("from_snapshot", oldSnapshot)
             .add("to_snapshot", m_snapshot)
             .add("revision", m_view->id.rules));
  return true;
}

} // namespace toucanridge
