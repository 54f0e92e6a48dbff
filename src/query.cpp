#include "query_p.h"

#include <algorithm>

#include <xxhash.h>

#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time kept back from the deadline to merge and write the answer.
constexpr milliseconds kAnswerReserve{ 2 };
/// Attempts at one part that cost a server work, the first included.
constexpr std::uint32_t kMaxServerAttempts = 4;
/// Attempts at one part in all; a bound on memory, not on load.
constexpr std::size_t kMaxAttempts = 64;
/// Pause before targets that refused without load are asked again; a grant
/// for a cold server or a new view takes some tens of milliseconds.
constexpr milliseconds kFirstPause{ 20 };
constexpr milliseconds kLongestPause{ 160 };
/// Services without an answer that a partial answer names in its reason.
constexpr std::size_t kMaxNamed = 5;

/// @returns true when a server may have run the request
bool
ran(SubStatus aStatus)
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
             QueryEngine::Done aDone)
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
  sendFirst(batches);
  if (isSettled()) {
    finish(lock);
    return;
  }
  arm();
  lock.unlock();
  sendAll(batches);
}

void
Query::sendFirst(Batches& aBatches)
{
  std::size_t sent = 0;
  for (std::uint32_t part = 0; part < m_parts.size(); ++part) {
    sent += attempt(part, Kind::First, aBatches) ? 1 : 0;
  }
  m_engine.m_counters.firstAttempts += sent;
  const RuleSet& rules = *m_view->rules;
  const HedgeRule& hedge = rules.hedgeOf(m_class.name);
  m_learnt->onFirstAttempts(sent, rules.retryOf(m_class.name), hedge);
  if (m_class.idempotent) {
    m_hedgeDelay = m_learnt->hedgeDelay(hedge);
  }
}

/// Reads class, snapshot and services from the view.
/// @returns false when the query is refused
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
  if (quarantine != nullptr && quarantine->blocks(m_fingerprint)) {
    m_error = Errc::Quarantined;
    return false;
  }
  m_learnt = m_engine.classState(m_class.name);
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

/// Adds one attempt at a part to the batch of the chosen holder.
/// @returns false when no target is left
bool
Query::attempt(std::uint32_t aPart, Kind aKind, Batches& aBatches)
{
  Part& part = m_parts[aPart];
  SlotChooser::Limits limits = part.limits;
  for (const Attempt& earlier : part.attempts) {
    if (earlier.running) {
      limits.tried.push_back(earlier.target);
      if (aKind == Kind::Hedge) {
        limits.barredServers.push_back(earlier.target.server);
      }
    }
  }
  const auto target = m_engine.m_chooser.choose(*m_view, part.service, limits);
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
Query::sendAll(Batches& aBatches)
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
    batch.deadlineUs = std::chrono::duration_cast<microseconds>(
                         m_deadline - m_engine.m_clock.now())
                         .count();
    m_engine.m_sender.send(m_view->hosts.hosts[index], std::move(batch));
  }
}

/// Ends the load bookkeeping of an attempt.
void
Query::release(const Part& aPart, Attempt& aAttempt, std::uint32_t aQueued)
{
  aAttempt.running = false;
  const ServiceRule& service = m_view->rules->services[aPart.service];
  m_engine.m_chooser.onEnded(service.servers[aAttempt.target.server].name,
                             m_view->hosts.hosts[aAttempt.target.host].name,
                             aQueued);
}

void
Query::fail(std::uint32_t aPart,
            std::size_t aIndex,
            const Failure& aFailure,
            Batches& aBatches)
{
  Part& part = m_parts[aPart];
  const Target target = part.attempts[aIndex].target;
  m_error = aFailure.error;
  part.limits.tried.push_back(target);
  if (ran(aFailure.status)) {
    part.mayHaveRun = true;
  }
  if (aFailure.status == SubStatus::NoSnapshot) {
    part.limits.barredServers.push_back(target.server);
  } else if (aFailure.reachedServer) {
    ++part.serverAttempts;
  }
  part.limits.preferOwner =
    part.limits.preferOwner || aFailure.error == Errc::NotHolder;
  const bool other = std::any_of(part.attempts.begin(),
                                 part.attempts.end(),
                                 [](const Attempt& a_) { return a_.running; });
  if (!part.answered && !other) {
    retry(aPart, aFailure, aBatches);
  }
}

/// Sends a retry, or plans one after a pause. Three kinds of failure differ in
/// what the first attempt cost:
/// - no server received it (wrong holder, no grant, shed or expired in a
///   queue, unsent): the retry takes its place and is not charged;
/// - a server refused it with 409 before any work: each server is asked once
///   for free; later, after a pause, one request at a time is charged, while
///   the query waits for rules that name the new snapshot;
/// - a server worked on it, or shed it: charged to the class's budget.
void
Query::retry(std::uint32_t aPart, const Failure& aFailure, Batches& aBatches)
{
  Part& part = m_parts[aPart];
  if (m_engine.m_clock.now() >= m_deadline ||
      (ran(aFailure.status) && !m_class.idempotent) ||
      part.serverAttempts >= kMaxServerAttempts ||
      part.attempts.size() >= kMaxAttempts) {
    return;
  }
  if (aFailure.status == SubStatus::NoSnapshot && part.waits > 0) {
    pause(part);
    return;
  }
  const bool charged =
    aFailure.reachedServer && aFailure.status != SubStatus::NoSnapshot;
  if (charged && !m_learnt->takeRetry()) {
    ++m_engine.m_counters.retriesDenied;
    return;
  }
  EngineCounters& counters = m_engine.m_counters;
  if (attempt(aPart, Kind::Retry, aBatches)) {
    ++(charged ? counters.retries : counters.freeRetries);
  } else {
    pause(part);
  }
}

/// Lets every target be tried again after a pause, while the deadline allows.
void
Query::pause(Part& aPart)
{
  const TimePoint due =
    m_engine.m_clock.now() +
    std::min(kFirstPause * (1U << std::min(aPart.waits, 8U)), kLongestPause);
  if (due < m_deadline) {
    ++aPart.waits;
    aPart.retryAt = due;
  }
}

/// Merges the first good reply of a part and cancels its other attempts.
void
Query::takeAnswer(std::uint32_t aPart, std::size_t aIndex, std::string aBody)
{
  Part& part = m_parts[aPart];
  part.answered = true;
  part.retryAt.reset();
  part.body = std::move(aBody);
  const TimePoint now = m_engine.m_clock.now();
  const Attempt& winner = part.attempts[aIndex];
  if (winner.kind == Kind::First) {
    m_learnt->onAttempt(now - winner.sent);
  } else if (winner.kind == Kind::Hedge) {
    ++m_engine.m_counters.hedgesWon;
  }
  m_learnt->onPart(now - part.attempts.front().sent);
  for (Attempt& loser : part.attempts) {
    if (!loser.running) {
      continue;
    }
    if (loser.kind == Kind::First) {
      m_learnt->onAttempt(now - loser.sent);
    }
    release(part, loser, 0);
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
  release(part, attempt, aReply.queued);
  if (aReply.status == SubStatus::Done && aReply.snapshot == m_snapshot) {
    if (m_engine.m_quarantine != nullptr) {
      m_engine.m_quarantine->answered(
        m_fingerprint, m_view->rules->services[part.service].name);
    }
    takeAnswer(aReply.part, index, aReply.body);
  } else if (aReply.status == SubStatus::Lost &&
             strike(part, attempt, static_cast<Errc>(aReply.error))) {
    part.mayHaveRun = true;
    stop(Errc::Quarantined, lock);
    return;
  } else {
    Failure failure{ aReply.status,
                     static_cast<Errc>(aReply.error),
                     aReply.reachedServer };
    if (aReply.status == SubStatus::Done) {
      // A reply of another snapshot isn't merged; the request did run.
      failure = { SubStatus::Lost, Errc::NoSnapshot, true };
      part.limits.barredServers.push_back(attempt.target.server);
    }
    if (failure.error == Errc::NoSnapshot && startOver(batches)) {
      part.retryAt.reset();
    } else {
      fail(aReply.part, index, failure, batches);
    }
  }
  if (isSettled()) {
    finish(lock);
    return;
  }
  arm();
  lock.unlock();
  sendAll(batches);
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
    // Retries add attempts at other hosts while this loop runs.
    const std::size_t count = m_parts[p].attempts.size();
    for (std::size_t a = 0; a < count; ++a) {
      Attempt& earlier = m_parts[p].attempts[a];
      if (earlier.running &&
          m_view->hosts.hosts[earlier.target.host].name == aHost) {
        release(m_parts[p], earlier, 0);
        fail(p, a, failure, batches);
      }
    }
  }
  if (isSettled()) {
    finish(lock);
    return;
  }
  arm();
  lock.unlock();
  sendAll(batches);
}

/// @returns true when no part can get an answer any more, or all have one
bool
Query::isSettled() const
{
  return std::all_of(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
    return aPart.answered ||
           (!aPart.retryAt &&
            std::none_of(aPart.attempts.begin(),
                         aPart.attempts.end(),
                         [](const Attempt& a_) { return a_.running; }));
  });
}

/// Marks what still runs when the query ends without it.
void
Query::expire(Errc aReason)
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
  expire(aReason);
  finish(aLock);
}

bool
Query::strike(const Part& aPart, const Attempt& aAttempt, Errc aError)
{
  // Any other error is a stray reply, not the loss of the server.
  if (m_engine.m_quarantine == nullptr || aError != Errc::Unreachable) {
    return false;
  }
  const ServiceRule& service = m_view->rules->services[aPart.service];
  return m_engine.m_quarantine->strike(
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
    m_early = now < m_deadline;
    m_engine.m_counters.earlyAnswers += m_early ? 1 : 0;
    expire(Errc::TimedOut);
    finish(lock);
    return;
  }
  runDue(now, batches);
  if (isSettled()) {
    finish(lock);
    return;
  }
  m_armed = TimePoint::max();
  arm();
  lock.unlock();
  sendAll(batches);
}

/// Sets the timer when something is due before it fires.
void
Query::arm()
{
  const TimePoint due = nextDue();
  if (due >= m_armed) {
    return;
  }
  m_armed = due;
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

/// @returns a list of services without an answer, for the reason
std::string
Query::lacking() const
{
  std::string text;
  std::size_t count = 0;
  for (const Part& part : m_parts) {
    if (!part.answered && ++count <= kMaxNamed) {
      text += text.empty() ? "; lacking " : ", ";
      text += m_view->rules->services[part.service].name;
    }
  }
  if (count > kMaxNamed) {
    text += " and " + std::to_string(count - kMaxNamed) + " more";
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
    answer.reason = m_early ? "answered early, past the learnt latency"
                            : make_error_code(m_error).message();
    answer.reason += lacking();
  }
  return answer;
}

/// Ends every running attempt.
/// @returns the hosts to cancel at
std::set<std::uint32_t>
Query::releaseAll()
{
  std::set<std::uint32_t> hosts;
  const TimePoint now = m_engine.m_clock.now();
  for (Part& part : m_parts) {
    if (!part.answered && !part.attempts.empty()) {
      m_learnt->onPart(now - part.attempts.front().sent);
    }
    for (Attempt& attempt : part.attempts) {
      if (attempt.running) {
        if (attempt.kind == Kind::First) {
          m_learnt->onAttempt(now - attempt.sent);
        }
        hosts.insert(attempt.target.host);
        release(part, attempt, 0);
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
  const std::set<std::uint32_t> cancelAt = releaseAll();
  const QueryAnswer answer = makeAnswer();
  const QueryEngine::Done done = std::move(m_done);
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
  m_engine.ended(m_id, answer);
  done(answer);
}

} // namespace toucanridge
