#include "forward_query_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

/// Most peers that one request is sent to.
constexpr std::size_t kMaxPeers = 4;
/// The peer answers this long before this host's own limit.
constexpr std::chrono::milliseconds kPeerDelay{ 5 };

} // namespace

ForwardQuery::ForwardQuery(const QueryDependencies& aDeps, QueryContext aQuery)
  : m_deps(aDeps)
  , m_query(std::move(aQuery))
  , m_timer(aDeps.context)
{
}

void
ForwardQuery::start()
{
  m_query.exchange->setOnAbandoned([weak = weak_from_this()](unsigned aStatus) {
    const auto self = weak.lock();
    if (self && !self->m_ended) {
      self->m_ended = true;
      self->m_timer.cancel();
      if (self->m_pendingCall) {
        self->m_pendingCall->cancel();
      }
      recordAnswer(self->m_deps,
                   self->m_query,
                   aStatus,
                   abandonReason(aStatus),
                   "forwarded " + self->m_peer);
    }
  });
  m_timer.expires_after(std::max(
    Duration(0), Duration(m_query.schedule.giveUpAt - m_deps.clock.now())));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->m_ended) {
        self->finish(makeResponse(504, "deadline passed\n"), "deadline passed");
      }
    });
  send();
}

/// Sends the request to another peer, or ends the query when there is none.
void
ForwardQuery::send()
{
  if (m_tried.size() < kMaxPeers) {
    m_pendingCall = m_deps.forwards.send(
      m_deps.protocol.makeCall(m_query.exchange->sharedRequest(),
                               m_query.callerHeaders,
                               {},
                               m_query.deadline - kPeerDelay),
      m_tried,
      m_peer,
      [self = shared_from_this()](ExchangeResult aResult) {
        self->onResult(std::move(aResult));
      });
  } else {
    m_pendingCall = nullptr;
  }
  if (m_pendingCall) {
    m_tried.insert(m_peer);
  } else if (m_mayHaveRun) {
    finish(makeResponse(502, "answer lost\n"), "answer lost");
  } else {
    finish(m_deps.protocol.makeRefusal(kRetryAfter, "no path to servers"),
           "no path to servers");
  }
}

void
ForwardQuery::onResult(ExchangeResult aResult)
{
  if (m_ended) {
    return;
  }
  const bool isResponse = aResult.end == ExchangeEnd::Answered;
  const bool isAnswer =
    isResponse &&
    m_deps.protocol.isPeerAnswer(aResult.response, m_query.route->isGather());
  if (isAnswer && headerValue(aResult.response.base(), kNoPathHeader).empty()) {
    finish(m_deps.protocol.makeForwarded(std::move(aResult.response)),
           "forwarded");
    return;
  }
  m_deps.forwards.onUnavailable(m_peer);
  m_mayHaveRun |= aResult.end == ExchangeEnd::Broken ||
                  aResult.end == ExchangeEnd::Malformed ||
                  (isResponse && !isAnswer);
  if (m_mayHaveRun && !m_query.route->idempotent) {
    finish(makeResponse(502, "answer lost\n"), "answer lost");
    return;
  }
  send();
}

void
ForwardQuery::finish(HttpResponse aResponse, const char* aReason)
{
  m_ended = true;
  m_timer.cancel();
  if (m_pendingCall) {
    m_pendingCall->cancel();
  }
  const unsigned status = aResponse.result_int();
  m_query.exchange->reply(std::move(aResponse));
  recordAnswer(m_deps, m_query, status, aReason, "forwarded " + m_peer);
}

} // namespace toucanridge
