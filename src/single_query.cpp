#include "single_query_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

/// Most attempts for one request, including those that no server ran.
constexpr std::uint32_t kMaxAttempts = 4;

} // namespace

SingleQuery::SingleQuery(const QueryDependencies& aDeps,
                         QueryContext aQuery,
                         std::string aService)
  : m_deps(aDeps)
  , m_query(std::move(aQuery))
  , m_service(std::move(aService))
  , m_timer(aDeps.context)
{
}

void
SingleQuery::start()
{
  m_query.exchange->setOnAbandoned([weak = weak_from_this()](unsigned aStatus) {
    const auto self = weak.lock();
    if (self && !self->m_ended) {
      self->m_ended = true;
      self->cancelAll();
      recordAnswer(
        self->m_deps, self->m_query, aStatus, abandonReason(aStatus), "");
    }
  });
  m_deps.dispatcher.onRequest(m_service);
  if (!send()) {
    finish(m_deps.protocol.makeRefusal(kRetryAfter, "no usable server"),
           "no usable server");
    return;
  }
  scheduleTimer();
}

/// @returns true when another attempt is allowed; for a request that isn't
///          idempotent, only while no server may have run it
bool
SingleQuery::maySend() const
{
  const std::uint32_t maxRuns = m_query.route->idempotent && !m_query.isTrial
                                  ? m_query.route->maxAttempts
                                  : 1;
  return m_sends < kMaxAttempts && m_possibleRuns < maxRuns;
}

/// @returns false when no attempt was sent
bool
SingleQuery::send()
{
  if (!maySend()) {
    return false;
  }
  AttemptPtr attempt = m_deps.dispatcher.send(
    m_query.attemptParams(),
    m_service,
    m_tried,
    m_sends == 0 ? AttemptKind::First : AttemptKind::Extra,
    {},
    [self = shared_from_this()](AttemptResult aResult) {
      self->onResult(std::move(aResult));
    });
  if (!attempt) {
    return false;
  }
  m_tried.push_back(attempt->server());
  m_attempts.push_back(std::move(attempt));
  ++m_sends;
  ++m_possibleRuns; // undone if the server didn't run it
  m_hedgeAt = m_deps.clock.now() + m_query.timing->hedgeDelay(*m_query.route);
  return true;
}

void
SingleQuery::onResult(AttemptResult aResult)
{
  if (m_ended) {
    return;
  }
  const auto ended = std::find_if(m_attempts.begin(),
                                  m_attempts.end(),
                                  [&aResult](const AttemptPtr& aAttempt) {
                                    return aAttempt->server() == aResult.server;
                                  });
  if (ended != m_attempts.end()) {
    if (aResult.end == AttemptEnd::Good) {
      (*ended)->recordLatency(
        m_query.timing->latencyRatio((*ended)->latency()));
    }
    m_attempts.erase(ended);
  }
  if (!mayHaveRun(aResult.end)) {
    --m_possibleRuns;
  }
  if (aResult.end == AttemptEnd::Good) {
    finish(m_deps.protocol.makeForwarded(std::move(aResult.response)),
           "answered");
    return;
  }
  if (!m_attempts.empty()) {
    return; // another attempt is still running
  }
  if (send()) {
    scheduleTimer();
    return;
  }
  finishFailed(std::move(aResult));
}

/// Answers the caller with the failure of the last attempt.
void
SingleQuery::finishFailed(AttemptResult aResult)
{
  if (aResult.end == AttemptEnd::Failed) {
    finish(m_deps.protocol.makeForwarded(std::move(aResult.response)),
           "server failed");
  } else if (m_possibleRuns == 0) {
    finish(m_deps.protocol.makeRefusal(kRetryAfter, "no server took it"),
           "no server took it");
  } else {
    finish(makeResponse(502, "answer lost\n"), aResult.reason);
  }
}

void
SingleQuery::onTimer()
{
  const TimePoint now = m_deps.clock.now();
  if (now >= m_query.schedule.giveUpAt) {
    finish(makeResponse(504, "deadline passed\n"), "deadline passed");
    return;
  }
  if (now >= m_hedgeAt) {
    for (const AttemptPtr& attempt : m_attempts) {
      attempt->reportSilent();
    }
  }
  if (m_query.route->idempotent && now >= m_hedgeAt && !send()) {
    m_hedgeAt = now + m_query.timing->hedgeDelay(*m_query.route);
  }
  scheduleTimer();
}

void
SingleQuery::scheduleTimer()
{
  const TimePoint now = m_deps.clock.now();
  TimePoint next = m_query.schedule.giveUpAt;
  if (m_query.route->idempotent && maySend()) {
    next = std::min(next, m_hedgeAt);
  }
  m_timer.expires_after(std::max(Duration(0), Duration(next - now)));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->m_ended) {
        self->onTimer();
      }
    });
}

void
SingleQuery::finish(HttpResponse aResponse, const char* aReason)
{
  m_ended = true;
  cancelAll();
  const unsigned status = aResponse.result_int();
  m_query.exchange->reply(std::move(aResponse));
  std::string details = m_service + " sends " + std::to_string(m_sends);
  for (const std::string& server : m_tried) {
    details += " " + server;
  }
  recordAnswer(m_deps, m_query, status, aReason, details);
}

void
SingleQuery::cancelAll()
{
  m_timer.cancel();
  for (const AttemptPtr& attempt : m_attempts) {
    attempt->cancel();
  }
  m_attempts.clear();
}

} // namespace toucanridge
