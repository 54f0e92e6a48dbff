#include "relay_worker_p.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "log_p.h"
#include "record_merge_p.h"
#include "shard_fan_out_p.h"

namespace toucanridge {
namespace {

using std::chrono::microseconds;

/// A relayed query that isn't finished after 1/kProgressDivisor of the time
/// until its reply is due sends a Running reply, which tells the asking host
/// that this host is working on it.
constexpr int kProgressDivisor = 2;

HttpRequestPtr
makeRequest(RelayQuery& aQuery)
{
  auto request = std::make_shared<HttpRequest>();
  request->method_string(aQuery.method);
  request->target(aQuery.target);
  for (const RelayHeader& header : aQuery.headers) {
    request->insert(header.name, header.value);
  }
  request->body() = std::move(aQuery.body);
  return request;
}

} // namespace

/// A peer's query on the shards that the peer relayed to this host.
class RelayedQuery : public std::enable_shared_from_this<RelayedQuery>
{
public:
  RelayedQuery(RelayWorker& aWorker,
               RelayWorker::Key aKey,
               RelayQuery& aQuery,
               RelayWorker::FoundRoute aFoundRoute,
               PeerLinks::Reply aReply)
    : m_worker(aWorker)
    , m_key(std::move(aKey))
    , m_request(makeRequest(aQuery))
    , m_callerHeaders(aWorker.m_deps.protocol.readCallerHeaders(*m_request))
    , m_foundRoute(std::move(aFoundRoute))
    , m_reply(std::move(aReply))
    , m_shards(readBits(aQuery.shards, m_foundRoute.route->shards.size()))
    , m_startedAt(aWorker.m_deps.clock.now())
    , m_replyAt(m_startedAt + microseconds(aQuery.replyInUs))
    , m_deadline(m_startedAt + microseconds(aQuery.remainingUs))
    , m_timer(aWorker.m_deps.context)
    , m_held(aWorker.m_budget, [this] { onEvicted(); })
  {
  }

  /// @returns false when there is no room for the request and the heads of its
  ///          attempts
  bool reserve()
  {
    std::size_t bytes = m_request->target().size();
    for (const auto& field : m_request->base()) {
      bytes += field.name_string().size() + field.value().size();
    }
    const std::size_t head = heldBytes(bytes, m_request->base());
    return m_held.trySet(BufferUse::Message, head + m_request->body().size()) &&
           m_held.trySet(BufferUse::Copies, head * m_shards.size());
  }

  void start()
  {
    m_fanOut = std::make_shared<ShardFanOut>(
      m_worker.m_deps,
      AttemptParams{
        m_request,
        m_callerHeaders,
        *m_foundRoute.route,
        *m_foundRoute.timing,
        m_deadline,
        makeLosses(m_worker.m_deps.quarantine, *m_request, m_callerHeaders) },
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->finishIfDone();
        }
      });
    m_fanOut->add(m_shards, AttemptKind::First, { m_worker.m_deps.dataCentre });
    setTimer(m_startedAt + (m_replyAt - m_startedAt) / kProgressDivisor);
    finishIfDone();
  }

  /// The asking host no longer needs the reply.
  void cancel()
  {
    logOutcome("cancelled");
    end();
  }

private:
  /// Replies with the parts received so far, later: what evicts the query may
  /// be on another thread.
  void onEvicted()
  {
    boost::asio::post(m_worker.m_deps.context, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->m_ended) {
        self->finish();
      }
    });
  }

  void end()
  {
    m_ended = true;
    m_timer.cancel();
    m_fanOut->recordLatencies();
    m_fanOut->cancel();
  }

  void finishIfDone()
  {
    if (!m_ended && m_fanOut->isDone()) {
      finish();
    }
  }

  void setTimer(TimePoint aTime)
  {
    m_timer.expires_after(
      std::max(Duration(0), Duration(aTime - m_worker.m_deps.clock.now())));
    m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (!aError && !self->m_ended) {
          self->onTimer();
        }
      });
  }

  void onTimer()
  {
    const TimePoint now = m_worker.m_deps.clock.now();
    if (now >= m_deadline) {
      finish();
    } else if (now >= m_replyAt) {
      sendReply(RelayState::Partial);
      setTimer(m_deadline);
    } else {
      sendReply(RelayState::Running);
      setTimer(m_replyAt);
    }
  }

  void sendReply(RelayState aState)
  {
    RelayReply reply;
    reply.relayId = m_key.second;
    reply.state = aState;
    if (aState != RelayState::Running) {
      std::vector<std::size_t> received;
      std::vector<std::string_view> bodies;
      for (const std::size_t shard : m_shards) {
        if (m_fanOut->isReceived(shard)) {
          received.push_back(shard);
          bodies.push_back(m_fanOut->body(shard));
          reply.signatures.push_back(m_fanOut->signature(shard));
        }
      }
      reply.shards = makeBits(received, m_foundRoute.route->shards.size());
      reply.records = mergeRecords(bodies, m_foundRoute.route->topRecords);
      reply.medianLatencyUs = static_cast<std::uint32_t>(
        std::chrono::duration_cast<microseconds>(m_fanOut->medianLatency())
          .count());
    }
    m_reply(MessageType::RelayReply, encode(std::move(reply)));
  }

  void finish()
  {
    const auto self = shared_from_this();
    sendReply(RelayState::Final);
    logOutcome("replied");
    end();
    m_worker.remove(m_key);
  }

  void logOutcome(const char* aOutcome) const
  {
    if (!logEnabled(LogLevel::Info)) {
      return;
    }
    const auto took = std::chrono::duration_cast<microseconds>(
      m_worker.m_deps.clock.now() - m_startedAt);
    std::string lacking;
    for (const std::size_t shard : m_shards) {
      if (!m_fanOut->isReceived(shard)) {
        lacking += (lacking.empty() ? "" : " ") + m_fanOut->trace(shard);
      }
    }
    logWrite(LogLevel::Info,
             LogLine("relay")
               .add("id", m_callerHeaders.requestId)
               .add("peer", m_key.first)
               .add("outcome", aOutcome)
               .add("route", m_foundRoute.route->name)
               .add("version", m_foundRoute.routing->version())
               .add("us", took.count())
               .add("in", m_fanOut->receivedCount())
               .add("asked", m_shards.size())
               .add("hedges", m_fanOut->hedges())
               .add("retries", m_fanOut->retries())
               .addText("lacking", lacking));
  }

  RelayWorker& m_worker;
  const RelayWorker::Key m_key;
  const HttpRequestPtr m_request;
  const CallerHeaders m_callerHeaders;
  const RelayWorker::FoundRoute m_foundRoute;
  const PeerLinks::Reply m_reply;
  const std::vector<std::size_t> m_shards;
  const TimePoint m_startedAt;
  const TimePoint m_replyAt;
  const TimePoint m_deadline;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<ShardFanOut> m_fanOut;
  BufferShare m_held;
  bool m_ended = false;
};

RelayWorker::RelayWorker(const QueryDependencies& aDeps,
                         FindRoute aFindRoute,
                         std::shared_ptr<BufferBudget> aBudget)
  : m_deps(aDeps)
  , m_findRoute(std::move(aFindRoute))
  , m_budget(std::move(aBudget))
{
}

RelayWorker::~RelayWorker() = default;

/// Replies that this host asks no server.
void
RelayWorker::refuse(const std::string& aHost,
                    const RelayQuery& aQuery,
                    const char* aReason,
                    const PeerLinks::Reply& aReply)
{
  logWrite(LogLevel::Info,
           LogLine("relay-refused")
             .add("peer", aHost)
             .add("route", aQuery.route)
             .addText("reason", aReason));
  RelayReply reply;
  reply.relayId = aQuery.relayId;
  reply.state = RelayState::Refused;
  aReply(MessageType::RelayReply, encode(std::move(reply)));
}

void
RelayWorker::onQuery(const std::string& aHost,
                     const std::string& aPayload,
                     const PeerLinks::Reply& aReply)
{
  auto query = decode<RelayQuery>(aPayload);
  if (!query) {
    logWrite(LogLevel::Warn,
             LogLine("relay-query-malformed").add("peer", aHost));
    return;
  }
  FoundRoute found = m_findRoute(query->route, query->gatherHash);
  const char* refusal =
    found.route == nullptr ? "no such route in any held configuration version"
    : !m_deps.dispatcher.canReach(*found.route, {}) ? "no path to servers"
                                                    : nullptr;
  if (refusal != nullptr) {
    refuse(aHost, *query, refusal, aReply);
    return;
  }
  const Key key{ aHost, query->relayId };
  auto relayed = std::make_shared<RelayedQuery>(
    *this, key, *query, std::move(found), aReply);
  if (!relayed->reserve()) {
    refuse(aHost, *query, "out of memory", aReply);
    return;
  }
  m_running[key] = relayed;
  relayed->start();
}

void
RelayWorker::onCancel(const std::string& aHost, const std::string& aPayload)
{
  const auto cancel = decode<RelayCancel>(aPayload);
  const auto found =
    cancel ? m_running.find({ aHost, cancel->relayId }) : m_running.end();
  if (found != m_running.end()) {
    found->second->cancel();
    m_running.erase(found);
  }
}

void
RelayWorker::remove(const Key& aKey)
{
  m_running.erase(aKey);
}

} // namespace toucanridge
