#include "query_p.h"

#include <algorithm>

#include "log_p.h"

/// Decisions of a query that depend on time: hedges, early answers, starting
/// over on a new snapshot.

namespace toucanridge {
namespace {

/// A class that waits for latency leaves out parts that are this many times
/// past the learnt p95 of its parts. A hedge sent at p95 then had as long
/// again. Cutting at p95 itself would leave out a part of two thirds of the
/// queries with a fan-out of 20, and the samples cut there would pull the
/// estimate down.
constexpr int kTailFactor = 2;
/// Share of the parts that an early answer may lack.
constexpr double kEarlyShare = 0.05;
/// Smallest fan-out that may lack one part; below it one part is over a tenth
/// of the answer.
constexpr std::size_t kMinEarlyParts = 10;
/// Share of the class's deadline that must be left to start over while no
/// latency is learnt.
constexpr int kStartOverDivisor = 4;

std::size_t
mayLack(std::size_t aParts)
{
  if (aParts < kMinEarlyParts) {
    return 0;
  }
  const auto share = static_cast<double>(aParts) * kEarlyShare;
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
  const auto running = [](const Attempt& a_) { return a_.running; };
  const auto found =
    std::find_if(aPart.attempts.begin(), aPart.attempts.end(), running);
  if (found == aPart.attempts.end()) {
    return std::nullopt;
  }
  return found->sent + *m_hedgeDelay;
}

/// @returns when the query may be answered as it is; nothing while too many
/// parts lack
std::optional<TimePoint>
Query::earlyDue() const
{
  if (m_class.wait != WaitFor::Latency || !m_learnt) {
    return std::nullopt;
  }
  const auto lacking = static_cast<std::size_t>(
    std::count_if(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
      return !aPart.answered;
    }));
  const auto tail = m_learnt->tail();
  if (!tail || lacking > mayLack(m_parts.size())) {
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
Query::runDue(TimePoint aNow, Batches& aBatches)
{
  EngineCounters& counters = m_engine.m_counters;
  for (std::uint32_t p = 0; p < m_parts.size(); ++p) {
    const auto hedge = hedgeDue(m_parts[p]);
    if (hedge && *hedge <= aNow) {
      // One try per part: a part whose hedge the budget denied is not asked
      // for again, so that a later token goes to a part that became slow later.
      m_parts[p].hedged = true;
      if (!m_learnt->takeHedge()) {
        ++counters.hedgesDenied;
      } else if (attempt(p, Kind::Hedge, aBatches)) {
        ++counters.hedges;
      }
    }
    Part& part = m_parts[p];
    if (part.retryAt && *part.retryAt <= aNow) {
      part.retryAt.reset();
      if (m_error == Errc::NoSnapshot && startOver(aBatches)) {
        return;
      }
      const bool refused = !part.limits.barredServers.empty();
      if (refused && !m_learnt->takeRetry()) {
        pause(part);
        continue;
      }
      part.limits = {};
      part.limits.preferOwner = m_error == Errc::NotHolder;
      if (attempt(p, Kind::Retry, aBatches)) {
        ++(refused ? counters.retries : counters.freeRetries);
      } else {
        pause(part);
      }
    }
  }
}

/// Begins the query again when the rules name a new snapshot by now.
/// @returns false when they don't, or when it is too late or was done before
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
             std::any_of(aPart.attempts.begin(),
                         aPart.attempts.end(),
                         [](const Attempt& a_) { return a_.running; });
    });
  const auto tail = m_learnt->tail();
  const Duration needed =
    tail ? *tail * kTailFactor : Duration(m_class.deadline) / kStartOverDivisor;
  if ((mayHaveRun && !m_class.idempotent) ||
      m_deadline - m_engine.m_clock.now() < needed) {
    return false;
  }
  std::size_t used = 0;
  for (const Part& part : m_parts) {
    used = std::max(used, part.attempts.size());
  }
  for (const std::uint32_t host : releaseAll()) {
    m_engine.m_sender.cancel(m_view->hosts.hosts[host], { m_id });
  }
  m_firstNumber += static_cast<std::uint32_t>(used);
  m_startedOver = true;
  m_parts.clear();
  aBatches.clear();
  const TimePoint deadline = m_deadline;
  const std::uint64_t before = m_snapshot;
  m_view = view;
  if (!plan()) {
    return true;
  }
  m_deadline = std::min(m_deadline, deadline);
  ++m_engine.m_counters.restarts;
  sendFirst(aBatches);
  logWrite(LogLevel::Info,
           LogLine("start-over")
             .add("request", m_requestId)
             .add("from_snapshot", before)
             .add("to_snapshot", m_snapshot)
             .add("revision", m_view->id.rules));
  return true;
}

} // namespace toucanridge
