#include "backend_http_p.h"

#include <algorithm>
#include <charconv>
#include <map>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <xxhash.h>

#include "http_client_p.h"
#include "http_thread_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A connection that was idle for longer is replaced instead of reused. The
/// server may have closed it, and the request would be reported as one that may
/// have run although it didn't. Common keep-alive limits start at 5 s.
constexpr std::chrono::seconds kMaxIdle{ 2 };

/// Limit of the unfinished responses on the connections of all threads
/// together: a faulty server may send one without end.
constexpr std::size_t kUnfinishedBytes = 32 << 20;

constexpr unsigned kNoSnapshotStatus = 409;
constexpr unsigned kUnavailableStatus = 503;

/// @param[in] aThreads that share the limit of unfinished responses
HttpClientSettings
slotSettings(std::size_t aThreads)
{
  HttpClientSettings settings;
  settings.connections = 1;
  settings.idleTime = kMaxIdle;
  // A thread's share has room for a response of the largest size.
  settings.budget = std::make_shared<BufferBudget>(
    std::max(2 * settings.bodyBytes, kUnfinishedBytes / aThreads));
  return settings;
}

/// @returns the number in a header, 0 when it is absent or no number
std::uint64_t
numberHeader(const HttpFields& aFields, const char* aName)
{
  const std::string_view text = headerValue(aFields, aName);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

HttpCall
makeCall(const BackendCall& aCall, TimePoint aNow)
{
  const auto left = duration_cast<milliseconds>(aCall.timeLeft);
  HttpCall call;
  call.head =
    "POST /v1/search?service=" + percentEncode(aCall.service) + " HTTP/1.1\r\n";
  const auto add = [&call](const char* aName, const std::string& aValue) {
    appendHeader(call.head, aName, aValue);
  };
  add("Host", aCall.key.server);
  add("Request-Id", aCall.requestId);
  add("Attempt", std::to_string(aCall.attempt));
  add("Snapshot", std::to_string(aCall.snapshot));
  add("Deadline-At", std::to_string((unixTime() + left).count()));
  add("Content-Type", "text/plain; charset=utf-8");
  add("Content-Length", std::to_string(aCall.body ? aCall.body->size() : 0));
  call.head += "\r\n";
  call.body = aCall.body;
  call.deadlineHeader = "Deadline-Ms";
  call.deadline = aNow + aCall.timeLeft;
  return call;
}

/// @returns the outcome that a response stands for
BackendReply
readReply(HttpResponse aResponse, const BackendCall& aCall)
{
  BackendReply reply;
  const HttpFields& fields = aResponse.base();
  reply.incarnation = numberHeader(fields, "Incarnation");
  reply.snapshot = numberHeader(fields, "Snapshot");
  reply.draining = fields.find("Draining") != fields.end();
  const unsigned status = aResponse.result_int();
  if (status == 200) {
    // Requests don't accept a content encoding.
    const bool matchesRequest =
      fields.find("Content-Encoding") == fields.end() &&
      headerValue(fields, "Request-Id") == aCall.requestId &&
      fields.find("Attempt") != fields.end() &&
      numberHeader(fields, "Attempt") == aCall.attempt;
    reply.status = matchesRequest ? SubStatus::Done : SubStatus::Lost;
    reply.error = matchesRequest ? Errc::Ok : Errc::BadMessage;
  } else if (status == kNoSnapshotStatus) {
    reply.status = SubStatus::NoSnapshot;
    reply.error = Errc::NoSnapshot;
  } else if (status == kUnavailableStatus &&
             fields.find("Not-Run") != fields.end()) {
    reply.status = SubStatus::NotRun;
    reply.error = Errc::Overloaded;
  } else {
    reply.status = SubStatus::Lost;
    reply.error = Errc::BadMessage;
  }
  if (reply.status != SubStatus::Lost) {
    reply.body = std::move(aResponse.body());
  }
  return reply;
}

/// @returns the outcome of an exchange without a response
BackendReply
failedReply(ExchangeEnd aEnd)
{
  BackendReply reply;
  const bool unsent =
    aEnd == ExchangeEnd::ConnectFailed || aEnd == ExchangeEnd::NotSent;
  reply.status = unsent ? SubStatus::NotRun : SubStatus::Lost;
  reply.error =
    aEnd == ExchangeEnd::Malformed ? Errc::BadMessage : Errc::Unreachable;
  return reply;
}

} // namespace

/// The connections that one thread serves. All members but the constructor, the
/// destructor and context() run on that thread.
class BackendHttp::Worker
{
public:
  explicit Worker(std::size_t aThreads)
    : m_settings(slotSettings(aThreads))
  {
  }

  asio::io_context& context() { return m_thread.context(); }

  ~Worker() { m_thread.shutdown(); }

  void send(std::uint64_t aHandle, BackendCall aCall, Done aDone)
  {
    const auto pool = poolOf(aCall.key);
    if (!pool) {
      aDone(failedReply(ExchangeEnd::ConnectFailed));
      return;
    }
    InFlight& request =
      m_inFlight.try_emplace(aHandle, context()).first->second;
    request.call = std::move(aCall);
    request.done = std::move(aDone);
    request.startedAt = m_clock.now();
    request.timer.expires_after(request.call.timeLeft);
    request.timer.async_wait(
      [this, aHandle](const boost::system::error_code& aError) {
        if (!aError) {
          abort(aHandle, SubStatus::TimedOut, Errc::TimedOut);
        }
      });
    request.pendingCall = pool->send(makeCall(request.call, request.startedAt),
                                     [this, aHandle](ExchangeResult aResult) {
                                       onResult(aHandle, std::move(aResult));
                                     });
  }

  /// Closes the connection of a request in flight and reports the request as
  /// ended.
  void abort(std::uint64_t aHandle, SubStatus aStatus, Errc aError)
  {
    const auto found = m_inFlight.find(aHandle);
    if (found == m_inFlight.end()) {
      return;
    }
    found->second.pendingCall->cancel();
    BackendReply reply;
    reply.status = aStatus;
    reply.error = aError;
    finish(found, std::move(reply));
  }

private:
  struct InFlight
  {
    explicit InFlight(asio::io_context& aContext)
      : timer(aContext)
    {
    }
    BackendCall call;
    Done done;
    TimePoint startedAt;
    HttpPendingCallPtr pendingCall;
    asio::steady_timer timer;
  };
  using InFlightMap = std::map<std::uint64_t, InFlight>;

  /// @returns the slot's pool, null when the server's address is malformed
  std::shared_ptr<HttpPool> poolOf(const SlotKey& aKey)
  {
    auto& pool = m_pools[aKey];
    const auto endpoint = pool ? std::nullopt : parseEndpoint(aKey.server);
    if (endpoint) {
      pool =
        std::make_shared<HttpPool>(context(), m_clock, *endpoint, m_settings);
    }
    return pool;
  }

  void onResult(std::uint64_t aHandle, ExchangeResult aResult)
  {
    const auto found = m_inFlight.find(aHandle);
    if (found == m_inFlight.end()) {
      return;
    }
    const BackendCall& call = found->second.call;
    BackendReply reply = aResult.end == ExchangeEnd::Answered
                           ? readReply(std::move(aResult.response), call)
                           : failedReply(aResult.end);
    if (reply.status == SubStatus::Lost) {
      // A connection that delivered another request's response may deliver
      // more of them.
      const auto pool = m_pools.find(call.key);
      if (pool != m_pools.end()) {
        pool->second->retire();
        m_pools.erase(pool);
      }
    }
    finish(found, std::move(reply));
  }

  void finish(InFlightMap::iterator aRequest, BackendReply aReply)
  {
    const InFlight& request = aRequest->second;
    aReply.latency = m_clock.now() - request.startedAt;
    const Done done = request.done;
    m_inFlight.erase(aRequest);
    done(std::move(aReply));
  }

  SystemClock m_clock;
  const HttpClientSettings m_settings;
  HttpThread m_thread;
  std::map<SlotKey, std::shared_ptr<HttpPool>> m_pools;
  InFlightMap m_inFlight;
};

BackendHttp::BackendHttp(std::uint32_t aThreads)
{
  const std::uint32_t threads = std::max(1U, aThreads);
  for (std::uint32_t i = 0; i < threads; ++i) {
    m_workers.push_back(std::make_unique<Worker>(threads));
  }
}

BackendHttp::~BackendHttp() = default;

std::uint64_t
BackendHttp::send(BackendCall aCall, Done aDone)
{
  // cancel() finds the worker as the handle modulo the number of workers.
  const std::uint64_t index =
    XXH3_64bits(aCall.key.server.data(), aCall.key.server.size()) %
    m_workers.size();
  const std::uint64_t handle = ++m_sendCount * m_workers.size() + index;
  Worker* const worker = m_workers[index].get();
  asio::post(worker->context(),
             [worker,
              handle,
              call = std::move(aCall),
              done = std::move(aDone)]() mutable {
               worker->send(handle, std::move(call), std::move(done));
             });
  return handle;
}

void
BackendHttp::cancel(std::uint64_t aHandle)
{
  Worker* const worker = m_workers[aHandle % m_workers.size()].get();
  asio::post(worker->context(), [worker, aHandle] {
    worker->abort(aHandle, SubStatus::Lost, Errc::Unreachable);
  });
}

} // namespace toucanridge
