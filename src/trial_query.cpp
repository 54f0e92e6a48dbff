#include "trial_query_p.h"

#include <algorithm>

namespace toucanridge {

TrialQuery::TrialQuery(const QueryDependencies& aDeps,
                       QueryContext aQuery,
                       OnAnswered aOnAnswered)
  : m_deps(aDeps)
  , m_query(std::move(aQuery))
  , m_onAnswered(std::move(aOnAnswered))
  , m_timer(aDeps.context)
{
}

void
TrialQuery::start()
{
  m_query.exchange->setOnAbandoned([weak = weak_from_this()](unsigned aStatus) {
    const auto self = weak.lock();
    if (self && !self->m_ended) {
      self->m_ended = true;
      self->m_timer.cancel();
      if (self->m_attempt) {
        self->m_attempt->cancel();
      }
      recordAnswer(
        self->m_deps, self->m_query, aStatus, abandonReason(aStatus), "trial");
    }
  });
  for (const std::string& shard : m_query.route->shards) {
    m_attempt = m_deps.dispatcher.send(
      m_query.attemptParams(),
      shard,
      {},
      AttemptKind::First,
      {},
      [self = shared_from_this()](const AttemptResult& aResult) {
        self->onResult(aResult);
      });
    if (m_attempt) {
      break;
    }
  }
  if (!m_attempt) {
    finish(m_deps.protocol.makeRefusal(kRetryAfter, "no usable server"),
           "no usable server");
    return;
  }
  m_timer.expires_after(std::max(
    Duration(0), Duration(m_query.schedule.giveUpAt - m_deps.clock.now())));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->m_ended) {
        self->finish(makeResponse(504, "deadline passed\n"), "deadline passed");
      }
    });
}

void
TrialQuery::onResult(const AttemptResult& aResult)
{
  if (m_ended) {
    return;
  }
  m_attempt = nullptr;
  if (aResult.end == AttemptEnd::Good) {
    m_ended = true;
    m_timer.cancel();
    m_query.isTrial = false;
    m_onAnswered(std::move(m_query));
  } else if (mayHaveRun(aResult.end)) {
    finish(makeResponse(502, "answer lost\n"), "trial failed");
  } else {
    finish(m_deps.protocol.makeRefusal(kRetryAfter, "no server took it"),
           "no server took it");
  }
}

void
TrialQuery::finish(HttpResponse aResponse, const char* aReason)
{
  m_ended = true;
  m_timer.cancel();
  if (m_attempt) {
    m_attempt->cancel();
    m_attempt = nullptr;
  }
  const unsigned status = aResponse.result_int();
  m_query.exchange->reply(std::move(aResponse));
  recordAnswer(m_deps, m_query, status, aReason, "trial");
}

} // namespace toucanridge
