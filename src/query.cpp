#include "query_p.h"

#include <algorithm>

#include <xxhash.h>

#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time reserved before the deadline to merge and write the answer.
constexpr milliseconds kAnswerReserve{ 2 };
/// Most attempts at one part that may cost a server work, the first included.
constexpr std::uint32_t kMaxServerAttempts = 4;
/// Most attempts at one part in total; bounds memory, not load.
constexpr std::size_t kMaxAttemptsPerPart = 64;
/// First delay before all targets of a part are tried again; each further one
/// is twice as long, up to kMaxBackoff. A grant for a cold server or a new view
/// takes some tens of milliseconds.
constexpr milliseconds kInitialBackoff{ 20 };
constexpr milliseconds kMaxBackoff{ 160 };
/// Most services without an answer that are named in the reason of an answer.
constexpr std::size_t kMaxListedServices = 5;

/// @returns true when a server may have run the request
bool
mayHaveExecuted(SubStatus aStatus)
{
  return aStatus == SubStatus::Lost || aStatus == SubStatus::TimedOut;
}

std::uint64_t
fingerprintOf(const QueryRequest& aRequest)
{
  const std::uint64_t seed =
    XXH3_64bits(aRequest.queryClass.data(), aRequest.queryClass.size());
  return XXH3_64bits_withSeed(aRequest.body.data(), aRequest.body.size(), seed);
}

} // namespace

Query::Query(QueryEngine& aEngine,
             std::uint64_t aId,
             std::string aRequestId,
             QueryRequest aRequest,
             QueryEngine::DoneCallback aDone)
  : m_engine(aEngine)
  , m_id(aId)
  , m_requestId(std::move(aRequestId))
  , m_request(std::move(aRequest))
  , m_done(std::move(aDone))
  , m_timer(aEngine.m_context)
{
}

void
Query::start()
{
  Batches batches;
  std::unique_lock<std::mutex> lock(m_mutex);
  m_start = m_engine.m_clock.now();
  m_view = m_engine.m_views.get();
  m_fingerprint = fingerprintOf(m_request);
  if (!plan()) {
    finish(lock);
    return;
  }
  sendFirstAttempts(batches);
  if (isComplete()) {
    finish(lock);
    return;
  }
  armTimer();
  lock.unlock();
  sendBatches(batches);
}

void
Query::sendFirstAttempts(Batches& aBatches)
{
  std::size_t sent = 0;
  for (std::uint32_t part = 0; part < m_parts.size(); ++part) {
    sent += startAttempt(part, AttemptKind::First, aBatches) ? 1 : 0;
  }
  m_engine.m_counters.firstAttempts += sent;
  const RuleSet& rules = *m_view->rules;
  const HedgeRule& hedge = rules.hedgeOf(m_class.name);
  m_classState->onFirstAttempts(sent, rules.retryOf(m_class.name), hedge);
  if (m_class.idempotent) {
    m_hedgeDelay = m_classState->hedgeDelay(hedge);
  }
}

/// Sets class, deadline, snapshot and parts from the view and the request.
/// @returns false when the query is refused; m_error is the reason
bool
Query::plan()
{
  if (!m_view) {
    m_error = Errc::NotReady;
    return false;
  }
  const Host* self = m_view->findHost(m_engine.m_self);
  if (self != nullptr && !m_view->inService(*self)) {
    m_error = Errc::OutOfService;
    return false;
  }
  const RuleSet& rules = *m_view->rules;
  const auto found = rules.classes.find(m_request.queryClass);
  if (found == rules.classes.end()) {
    m_error = Errc::UnknownClass;
    return false;
  }
  m_class = found->second;
  if (!m_class.idempotent && m_request.ticket.empty()) {
    m_error = Errc::TicketRequired;
    return false;
  }
  Quarantine* const quarantine = m_engine.m_quarantine;
  if (quarantine != nullptr &&
      quarantine->admit(m_fingerprint) == QuarantineVerdict::Refuse) {
    m_error = Errc::Quarantined;
    return false;
  }
  m_classState = m_engine.classState(m_class.name);
  milliseconds allowed = m_class.deadline;
  if (m_request.deadline.count() > 0) {
    allowed = std::min(allowed, m_request.deadline);
  }
  m_deadline = m_start + std::max(allowed - kAnswerReserve, milliseconds(1));
  const auto snapshot = rules.snapshots.find(m_class.application);
  if (snapshot == rules.snapshots.end()) {
    m_error = Errc::NoSnapshot;
    return false;
  }
  m_snapshot = snapshot->second.id;
  std::vector<std::string> services = snapshot->second.services;
  if (m_class.fanOut == FanOut::One && services.size() > 1) {
    services = { services[m_fingerprint % services.size()] };
  }
  for (const std::string& name : services) {
    Part part;
    part.service = rules.serviceIndex.at(name);
    m_parts.push_back(std::move(part));
  }
  return true;
}

/// Chooses a target for one attempt at a part and adds the attempt to the batch
/// of the chosen holder.
/// @returns false when no target is left
bool
Query::startAttempt(std::uint32_t aPart, AttemptKind aKind, Batches& aBatches)
{
  Part& part = m_parts[aPart];
  SlotChooser::Constraints constraints = part.constraints;
  for (const Attempt& earlier : part.attempts) {
    if (earlier.running) {
      constraints.tried.push_back(earlier.target);
      if (aKind == AttemptKind::Hedge) {
        constraints.barredServers.push_back(earlier.target.server);
      }
    }
  }
  const auto target =
    m_engine.m_chooser.choose(*m_view, part.service, constraints);
  if (!target) {
    m_error = m_error == Errc::Ok ? Errc::Unreachable : m_error;
    return false;
  }
  Attempt next;
  next.number =
    m_firstNumber + static_cast<std::uint32_t>(part.attempts.size());
  next.target = *target;
  next.kind = aKind;
  next.sent = m_engine.m_clock.now();
  part.attempts.push_back(next);
  part.retryAt.reset();

  const ServiceRule& service = m_view->rules->services[part.service];
  const std::string& server = service.servers[target->server].name;
  const Host& host = m_view->hosts.hosts[target->host];
  m_engine.m_chooser.onSent(server, host.name);
  if (logEnabled(LogLevel::Info)) {
    logWrite(LogLevel::Info,
             LogLine("route")
               .add("request", m_requestId)
               .add("service", service.name)
               .add("server", server)
               .add("holder", host.name)
               .add("attempt", next.number)
               .add("revision", m_view->id.rules)
               .add("rules",
                    std::to_string(service.from.line) + "," +
                      std::to_string(m_class.from.line)));
  }
  SubBatch& batch = aBatches[target->host];
  batch.items.push_back({ aPart, next.number, service.name, server });
  return true;
}

void
Query::sendBatches(Batches& aBatches)
{
  for (auto& [index, batch] : aBatches) {
    batch.query = m_id;
    batch.snapshot = m_snapshot;
    batch.requestId = m_requestId;
    batch.queryClass = m_request.queryClass;
    batch.priority = static_cast<std::uint8_t>(m_class.priority);
    batch.idempotent = m_class.idempotent;
    batch.fingerprint = m_fingerprint;
    batch.body = m_request.body;
    batch.remainingUs = std::chrono::duration_cast<microseconds>(
                          m_deadline - m_engine.m_clock.now())
                          .count();
    m_engine.m_sender.send(m_view->hosts.hosts[index], std::move(batch));
  }
}

/// Marks an attempt as ended and reports it to the slot chooser.
/// @param[in] aQueued queue length that the holder reported, 0 without a reply
void
Query::releaseAttempt(const Part& aPart,
                      Attempt& aAttempt,
                      std::uint32_t aQueued)
{
  aAttempt.running = false;
  const ServiceRule& service = m_view->rules->services[aPart.service];
  m_engine.m_chooser.onEnded(service.servers[aAttempt.target.server].name,
                             m_view->hosts.hosts[aAttempt.target.host].name,
                             aQueued);
}

void
Query::onAttemptFailed(std::uint32_t aPart,
                       std::size_t aIndex,
                       const Failure& aFailure,
                       Batches& aBatches)
{
  Part& part = m_parts[aPart];
  const Target target = part.attempts[aIndex].target;
  m_error = aFailure.error;
  part.constraints.tried.push_back(target);
  if (mayHaveExecuted(aFailure.status)) {
    part.mayHaveRun = true;
  }
  if (aFailure.status == SubStatus::NoSnapshot) {
    part.constraints.barredServers.push_back(target.server);
  } else if (aFailure.reachedServer) {
    ++part.serverAttempts;
  }
  part.constraints.preferOwner =
    part.constraints.preferOwner || aFailure.error == Errc::NotHolder;
  const bool anotherRuns =
    std::any_of(part.attempts.begin(),
                part.attempts.end(),
                [](const Attempt& aAttempt) { return aAttempt.running; });
  if (!part.answered && !anotherRuns) {
    retry(aPart, aFailure, aBatches);
  }
}

/// Sends a retry, or schedules one after a backoff. What the failed attempt
/// cost decides whether the retry is charged to the class's retry budget:
/// - no server received the attempt (wrong holder, no grant, shed or expired in
///   a holder's queue, unsent): not charged;
/// - a server refused it with 409 (no such snapshot) before any work: not
///   charged while each server is asked for the first time. After a backoff one
///   attempt at a time is sent and charged, while the query waits for rules
///   that name the new snapshot;
/// - a server worked on it, or shed it: charged.
void
Query::retry(std::uint32_t aPart, const Failure& aFailure, Batches& aBatches)
{
  Part& part = m_parts[aPart];
  if (m_engine.m_clock.now() >= m_deadline ||
      (mayHaveExecuted(aFailure.status) && !m_class.idempotent) ||
      part.serverAttempts >= kMaxServerAttempts ||
      part.attempts.size() >= kMaxAttemptsPerPart) {
    return;
  }
  if (aFailure.status == SubStatus::NoSnapshot && part.backoffs > 0) {
    scheduleBackoff(part);
    return;
  }
  const bool charged =
    aFailure.reachedServer && aFailure.status != SubStatus::NoSnapshot;
  if (charged && !m_classState->takeRetryToken()) {
    ++m_engine.m_counters.retriesDenied;
    return;
  }
  EngineCounters& counters = m_engine.m_counters;
  if (startAttempt(aPart, AttemptKind::Retry, aBatches)) {
    ++(charged ? counters.retries : counters.freeRetries);
  } else {
    scheduleBackoff(part);
  }
}

/// Schedules a retry at any target after a backoff, unless the deadline comes
/// first.
void
Query::scheduleBackoff(Part& aPart)
{
  const TimePoint due =
    m_engine.m_clock.now() +
    std::min(kInitialBackoff * (1U << std::min(aPart.backoffs, 8U)),
             kMaxBackoff);
  if (due < m_deadline) {
    ++aPart.backoffs;
    aPart.retryAt = due;
  }
}

/// Accepts the first good reply for a part and cancels the part's other
/// attempts.
void
Query::acceptReply(std::uint32_t aPart, std::size_t aIndex, std::string aBody)
{
  Part& part = m_parts[aPart];
  part.answered = true;
  part.retryAt.reset();
  part.body = std::move(aBody);
  const TimePoint now = m_engine.m_clock.now();
  const Attempt& winner = part.attempts[aIndex];
  if (winner.kind == AttemptKind::First) {
    m_classState->recordAttemptLatency(now - winner.sent);
  } else if (winner.kind == AttemptKind::Hedge) {
    ++m_engine.m_counters.hedgesWon;
  }
  m_classState->recordPartLatency(now - part.attempts.front().sent);
  for (Attempt& loser : part.attempts) {
    if (!loser.running) {
      continue;
    }
    if (loser.kind == AttemptKind::First) {
      m_classState->recordAttemptLatency(now - loser.sent);
    }
    releaseAttempt(part, loser, 0);
    m_engine.m_sender.cancel(m_view->hosts.hosts[loser.target.host],
                             { m_id, aPart, loser.number });
  }
}

void
Query::onReply(const std::string& aHost, const SubReply& aReply)
{
  Batches batches;
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::size_t index = aReply.attempt - m_firstNumber;
  if (m_finished || aReply.part >= m_parts.size() ||
      aReply.attempt < m_firstNumber ||
      index >= m_parts[aReply.part].attempts.size()) {
    ++m_engine.m_counters.droppedReplies;
    return;
  }
  Part& part = m_parts[aReply.part];
  Attempt& attempt = part.attempts[index];
  if (!attempt.running ||
      m_view->hosts.hosts[attempt.target.host].name != aHost) {
    ++m_engine.m_counters.droppedReplies;
    return;
  }
  releaseAttempt(part, attempt, aReply.queued);
  if (aReply.status == SubStatus::Done && aReply.snapshot == m_snapshot) {
    if (m_engine.m_quarantine != nullptr) {
      m_engine.m_quarantine->clearStrikes(
        m_fingerprint, m_view->rules->services[part.service].name);
    }
    acceptReply(aReply.part, index, aReply.body);
  } else if (aReply.status == SubStatus::Lost &&
             recordStrike(part, attempt, static_cast<Errc>(aReply.error))) {
    part.mayHaveRun = true;
    stop(Errc::Quarantined, lock);
    return;
  } else {
    Failure failure{ aReply.status,
                     static_cast<Errc>(aReply.error),
                     aReply.reachedServer };
    if (aReply.status == SubStatus::Done) {
      // A reply from another snapshot isn't merged, but the request did run.
      failure = { SubStatus::Lost, Errc::NoSnapshot, true };
      part.constraints.barredServers.push_back(attempt.target.server);
    }
    if (failure.error == Errc::NoSnapshot && startOver(batches)) {
      part.retryAt.reset();
    } else {
      onAttemptFailed(aReply.part, index, failure, batches);
    }
  }
  if (isComplete()) {
    finish(lock);
    return;
  }
  armTimer();
  lock.unlock();
  sendBatches(batches);
}

void
Query::onLinkLost(const std::string& aHost, bool aUnsent)
{
  Batches batches;
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_finished || !m_view) {
    return;
  }
  const Failure failure{ aUnsent ? SubStatus::NotRun : SubStatus::Lost,
                         Errc::Unreachable,
                         !aUnsent };
  for (std::uint32_t p = 0; p < m_parts.size(); ++p) {
    // Retries append attempts at other hosts while the loop below runs, so the
    // count is read first.
    const std::size_t count = m_parts[p].attempts.size();
    for (std::size_t a = 0; a < count; ++a) {
      Attempt& earlier = m_parts[p].attempts[a];
      if (earlier.running &&
          m_view->hosts.hosts[earlier.target.host].name == aHost) {
        releaseAttempt(m_parts[p], earlier, 0);
        onAttemptFailed(p, a, failure, batches);
      }
    }
  }
  if (isComplete()) {
    finish(lock);
    return;
  }
  armTimer();
  lock.unlock();
  sendBatches(batches);
}

/// @returns true when every part is answered or has neither a running attempt
/// nor a scheduled retry
bool
Query::isComplete() const
{
  return std::all_of(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
    return aPart.answered ||
           (!aPart.retryAt && std::none_of(aPart.attempts.begin(),
                                           aPart.attempts.end(),
                                           [](const Attempt& aAttempt) {
                                             return aAttempt.running;
                                           }));
  });
}

/// Sets the reason of a query that ends while attempts run, and marks the parts
/// of these attempts as possibly run.
void
Query::markUnfinished(Errc aReason)
{
  m_error = aReason;
  for (Part& part : m_parts) {
    for (const Attempt& attempt : part.attempts) {
      // Its request may still be on the way to the server.
      part.mayHaveRun = part.mayHaveRun || attempt.running;
    }
  }
}

void
Query::stop(Errc aReason, std::unique_lock<std::mutex>& aLock)
{
  markUnfinished(aReason);
  finish(aLock);
}

bool
Query::recordStrike(const Part& aPart, const Attempt& aAttempt, Errc aError)
{
  // Only Unreachable means that the server was lost. Other errors stand for a
  // response that is malformed or belongs to another request.
  if (m_engine.m_quarantine == nullptr || aError != Errc::Unreachable) {
    return false;
  }
  const ServiceRule& service = m_view->rules->services[aPart.service];
  return m_engine.m_quarantine->recordStrike(
    { m_fingerprint,
      strikeHash(service.servers[aAttempt.target.server].name),
      strikeHash(service.name),
      unixTime().count() });
}

void
Query::onTimer()
{
  Batches batches;
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_finished || !m_view) {
    return;
  }
  const TimePoint now = m_engine.m_clock.now();
  const auto early = earlyDue();
  if (now >= m_deadline || (early && now >= *early)) {
    m_answeredEarly = now < m_deadline;
    m_engine.m_counters.earlyAnswers += m_answeredEarly ? 1 : 0;
    markUnfinished(Errc::TimedOut);
    finish(lock);
    return;
  }
  sendDueAttempts(now, batches);
  if (isComplete()) {
    finish(lock);
    return;
  }
  m_timerDue = TimePoint::max();
  armTimer();
  lock.unlock();
  sendBatches(batches);
}

/// Sets the timer to the next due time when that is before its current one.
void
Query::armTimer()
{
  const TimePoint due = nextDue();
  if (due >= m_timerDue) {
    return;
  }
  m_timerDue = due;
  m_timer.expires_after(
    std::max(due - m_engine.m_clock.now(), Duration::zero()));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->onTimer();
      }
    });
}

Outcome
Query::outcome(const Coverage& aCoverage) const
{
  if (aCoverage.total > 0 && aCoverage.answered == aCoverage.total) {
    return Outcome::Whole;
  }
  if (aCoverage.answered > 0) {
    return Outcome::Partial;
  }
  const bool mayHaveRun =
    std::any_of(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
      return aPart.mayHaveRun;
    });
  return mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

/// @returns text for the reason that names the services without an answer
std::string
Query::missingServices() const
{
  std::string text;
  std::size_t count = 0;
  for (const Part& part : m_parts) {
    if (!part.answered && ++count <= kMaxListedServices) {
      text += text.empty() ? "; lacking " : ", ";
      text += m_view->rules->services[part.service].name;
    }
  }
  if (count > kMaxListedServices) {
    text += " and " + std::to_string(count - kMaxListedServices) + " more";
  }
  return text;
}

QueryAnswer
Query::makeAnswer() const
{
  QueryAnswer answer;
  answer.requestId = m_requestId;
  answer.snapshot = m_snapshot;
  answer.coverage.total = static_cast<std::uint32_t>(m_parts.size());
  if (m_view) {
    answer.revision = m_view->id.rules;
    answer.rules = governingRules(*m_view->rules, m_request.queryClass);
    for (const Part& part : m_parts) {
      if (part.answered) {
        ++answer.coverage.answered;
        answer.parts.push_back(
          { m_view->rules->services[part.service].name, part.body });
      }
    }
  }
  answer.outcome = outcome(answer.coverage);
  if (answer.outcome != Outcome::Whole) {
    answer.reason = m_answeredEarly ? "answered early, past the learnt latency"
                                    : make_error_code(m_error).message();
    answer.reason += missingServices();
  }
  return answer;
}

/// Ends every running attempt and records the latency so far of parts without
/// an answer.
/// @returns indexes of the hosts at which to cancel the query
std::set<std::uint32_t>
Query::releaseAllAttempts()
{
  std::set<std::uint32_t> hosts;
  const TimePoint now = m_engine.m_clock.now();
  for (Part& part : m_parts) {
    if (!part.answered && !part.attempts.empty()) {
      m_classState->recordPartLatency(now - part.attempts.front().sent);
    }
    for (Attempt& attempt : part.attempts) {
      if (attempt.running) {
        if (attempt.kind == AttemptKind::First) {
          m_classState->recordAttemptLatency(now - attempt.sent);
        }
        hosts.insert(attempt.target.host);
        releaseAttempt(part, attempt, 0);
      }
    }
  }
  return hosts;
}

void
Query::finish(std::unique_lock<std::mutex>& aLock)
{
  m_finished = true;
  m_timer.cancel();
  const std::set<std::uint32_t> cancelAt = releaseAllAttempts();
  const QueryAnswer answer = makeAnswer();
  const QueryEngine::DoneCallback done = std::move(m_done);
  const auto took =
    std::chrono::duration_cast<microseconds>(m_engine.m_clock.now() - m_start);
  aLock.unlock();
  logWrite(LogLevel::Info,
           LogLine("answer")
             .add("request", m_requestId)
             .add("class", m_request.queryClass)
             .add("outcome", toString(answer.outcome))
             .add("answered", answer.coverage.answered)
             .add("total", answer.coverage.total)
             .add("snapshot", answer.snapshot)
             .add("revision", answer.revision)
             .add("took_us", took.count())
             .addText("reason", answer.reason));
  for (const std::uint32_t host : cancelAt) {
    m_engine.m_sender.cancel(m_view->hosts.hosts[host], { m_id });
  }
  m_engine.onQueryEnded(m_id, answer);
  done(answer);
}

} // namespace toucanridge
