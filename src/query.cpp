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
/// Attempts at one part, the first included.
constexpr std::size_t kMaxAttempts = 4;

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
  , m_deadlineTimer(aEngine.m_context)
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
  m_deadlineTimer.expires_after(m_deadline - m_start);
  auto self = shared_from_this();
  m_deadlineTimer.async_wait([self](const boost::system::error_code& aError) {
    if (!aError) {
      self->onDeadline();
    }
  });
  for (std::uint32_t part = 0; part < m_parts.size(); ++part) {
    if (attempt(part, batches)) {
      ++m_engine.m_counters.firstAttempts;
    }
  }
  if (isSettled()) {
    finish(lock);
    return;
  }
  lock.unlock();
  sendAll(batches);
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
Query::attempt(std::uint32_t aPart, Batches& aBatches)
{
  Part& part = m_parts[aPart];
  std::vector<Target> tried;
  for (const Attempt& earlier : part.attempts) {
    tried.push_back(earlier.target);
  }
  const auto target = m_engine.m_chooser.choose(*m_view, part.service, tried);
  if (!target) {
    m_error = m_error == Errc::Ok ? Errc::Unreachable : m_error;
    return false;
  }
  Attempt next;
  next.number = static_cast<std::uint32_t>(part.attempts.size());
  next.target = *target;
  part.attempts.push_back(next);

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

/// A retry is safe when the attempt can't have run, or may run twice.
bool
Query::mayRetry(const Part& aPart, SubStatus aStatus) const
{
  const bool ran = aStatus == SubStatus::Lost || aStatus == SubStatus::TimedOut;
  return aPart.attempts.size() < kMaxAttempts && (!ran || m_class.idempotent) &&
         m_error != Errc::Quarantined && m_engine.m_clock.now() < m_deadline;
}

void
Query::fail(std::uint32_t aPart,
            Attempt& aAttempt,
            SubStatus aStatus,
            Errc aError,
            Batches& aBatches)
{
  Part& part = m_parts[aPart];
  aAttempt.running = false;
  m_error = aError;
  if (aStatus == SubStatus::Lost || aStatus == SubStatus::TimedOut) {
    part.mayHaveRun = true;
  }
  if (mayRetry(part, aStatus) && attempt(aPart, aBatches)) {
    ++m_engine.m_counters.retries;
  }
}

void
Query::onReply(const std::string& aHost, const SubReply& aReply)
{
  Batches batches;
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_finished || aReply.part >= m_parts.size() ||
      aReply.attempt >= m_parts[aReply.part].attempts.size()) {
    ++m_engine.m_counters.droppedReplies;
    return;
  }
  Part& part = m_parts[aReply.part];
  Attempt& attempt = part.attempts[aReply.attempt];
  const ServiceRule& service = m_view->rules->services[part.service];
  const std::string& host = m_view->hosts.hosts[attempt.target.host].name;
  if (!attempt.running || host != aHost) {
    ++m_engine.m_counters.droppedReplies;
    return;
  }
  m_engine.m_chooser.onEnded(
    service.servers[attempt.target.server].name, host, aReply.queued);
  if (aReply.status == SubStatus::Done && aReply.snapshot == m_snapshot) {
    attempt.running = false;
    if (m_engine.m_quarantine != nullptr) {
      m_engine.m_quarantine->answered(m_fingerprint, service.name);
    }
    if (!part.answered) {
      part.answered = true;
      part.body = aReply.body;
    }
  } else if (aReply.status == SubStatus::Done) {
    // A reply of another snapshot isn't merged; the request did run.
    fail(aReply.part, attempt, SubStatus::Lost, Errc::NoSnapshot, batches);
  } else if (aReply.status == SubStatus::Lost &&
             strike(part, attempt, static_cast<Errc>(aReply.error))) {
    stop(Errc::Quarantined, lock);
    return;
  } else {
    fail(aReply.part,
         attempt,
         aReply.status,
         static_cast<Errc>(aReply.error),
         batches);
  }
  if (isSettled()) {
    finish(lock);
    return;
  }
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
  const SubStatus status = aUnsent ? SubStatus::NotRun : SubStatus::Lost;
  for (std::uint32_t p = 0; p < m_parts.size(); ++p) {
    // Retries add attempts at other hosts while this loop runs.
    const std::size_t count = m_parts[p].attempts.size();
    for (std::size_t a = 0; a < count; ++a) {
      const Attempt earlier = m_parts[p].attempts[a];
      const Host& host = m_view->hosts.hosts[earlier.target.host];
      if (earlier.running && host.name == aHost) {
        const ServiceRule& service =
          m_view->rules->services[m_parts[p].service];
        m_engine.m_chooser.onEnded(
          service.servers[earlier.target.server].name, aHost, 0);
        fail(p, m_parts[p].attempts[a], status, Errc::Unreachable, batches);
      }
    }
  }
  if (isSettled()) {
    finish(lock);
    return;
  }
  lock.unlock();
  sendAll(batches);
}

/// @returns true when no part can get an answer any more, or all have one
bool
Query::isSettled() const
{
  return std::all_of(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
    return aPart.answered ||
           std::none_of(aPart.attempts.begin(),
                        aPart.attempts.end(),
                        [](const Attempt& a_) { return a_.running; });
  });
}

void
Query::onDeadline()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  if (!m_finished) {
    stop(Errc::TimedOut, lock);
  }
}

void
Query::stop(Errc aReason, std::unique_lock<std::mutex>& aLock)
{
  m_error = aReason;
  for (Part& part : m_parts) {
    for (const Attempt& attempt : part.attempts) {
      // Its request may still be on the way to the server.
      part.mayHaveRun = part.mayHaveRun || attempt.running;
    }
  }
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
    answer.reason = make_error_code(m_error).message();
  }
  return answer;
}

void
Query::finish(std::unique_lock<std::mutex>& aLock)
{
  m_finished = true;
  m_deadlineTimer.cancel();
  std::map<std::uint32_t, bool> cancelAt;
  for (const Part& part : m_parts) {
    for (const Attempt& attempt : part.attempts) {
      if (attempt.running) {
        cancelAt[attempt.target.host] = true;
        const ServiceRule& service = m_view->rules->services[part.service];
        m_engine.m_chooser.onEnded(
          service.servers[attempt.target.server].name,
          m_view->hosts.hosts[attempt.target.host].name,
          0);
      }
    }
  }
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
  for (const auto& entry : cancelAt) {
    m_engine.m_sender.cancel(m_view->hosts.hosts[entry.first], m_id);
  }
  m_engine.ended(m_id, answer);
  done(answer);
}

} // namespace toucanridge
