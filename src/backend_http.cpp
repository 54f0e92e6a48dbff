#include "backend_http_p.h"

#include <map>
#include <mutex>

#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_client.h>

namespace toucanridge {
namespace {

namespace http = web::http;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// cpprestsdk reports every failed connect as this value, whatever the errno
// of the socket was.
constexpr int kConnectFailed = 113;

constexpr std::uint16_t kNoSnapshotStatus = 409;
constexpr std::uint16_t kUnavailableStatus = 503;

std::uint64_t
numberHeader(const http::http_headers& aHeaders, const char* aName)
{
  std::uint64_t value = 0;
  aHeaders.match(aName, value);
  return value;
}

http::http_request
makeRequest(const BackendCall& aCall)
{
  http::http_request request(http::methods::POST);
  request.set_request_uri("/v1/search?service=" + aCall.service);
  auto& headers = request.headers();
  const auto left = duration_cast<milliseconds>(aCall.timeLeft);
  headers.add("Request-Id", aCall.requestId);
  headers.add("Attempt", aCall.attempt);
  headers.add("Snapshot", aCall.snapshot);
  headers.add("Deadline-Ms", left.count());
  headers.add("Deadline-At", (unixTime() + left).count());
  request.set_body(aCall.body);
  return request;
}

/// Reads status and headers; the body follows.
BackendReply
readReply(const http::http_response& aResponse, const BackendCall& aCall)
{
  BackendReply reply;
  const auto& headers = aResponse.headers();
  reply.incarnation = numberHeader(headers, "Incarnation");
  reply.snapshot = numberHeader(headers, "Snapshot");
  reply.draining = headers.has("Draining");
  const auto status = aResponse.status_code();
  if (status == http::status_codes::OK) {
    const auto id = headers.find("Request-Id");
    const bool own = id != headers.end() && id->second == aCall.requestId &&
                     numberHeader(headers, "Attempt") == aCall.attempt;
    reply.status = own ? SubStatus::Done : SubStatus::Lost;
    reply.error = own ? Errc::Ok : Errc::BadMessage;
  } else if (status == kNoSnapshotStatus) {
    reply.status = SubStatus::NoSnapshot;
    reply.error = Errc::NoSnapshot;
  } else if (status == kUnavailableStatus && headers.has("Not-Run")) {
    reply.status = SubStatus::NotRun;
    reply.error = Errc::Overloaded;
  } else {
    reply.status = SubStatus::Lost;
    reply.error = Errc::BadMessage;
  }
  return reply;
}

} // namespace

struct BackendHttp::State
{
  /// One request in flight.
  struct Running
  {
    explicit Running(boost::asio::io_context& aContext)
      : timer(aContext)
    {
    }
    pplx::cancellation_token_source cancel;
    boost::asio::steady_timer timer;
    std::atomic<bool> timedOut{ false };
  };
  using RunningPtr = std::shared_ptr<Running>;
  using ClientPtr = std::shared_ptr<http::client::http_client>;

  explicit State(boost::asio::io_context& aContext)
    : context(aContext)
  {
  }

  boost::asio::io_context& context;
  std::mutex mutex; ///< guards what follows
  std::map<SlotKey, ClientPtr> clients;
  std::map<std::uint64_t, RunningPtr> running;
  std::uint64_t nextHandle = 1;

  ClientPtr client(const SlotKey& aKey)
  {
    ClientPtr& found = clients[aKey];
    if (!found) {
      found = std::make_shared<http::client::http_client>(
        web::uri("http://" + aKey.server));
    }
    return found;
  }

  /// Ends the bookkeeping of a request. After a failure the slot's client is
  /// dropped, which closes its connections: one of them may be silent.
  void ended(std::uint64_t aHandle, const SlotKey& aKey, SubStatus aStatus)
  {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = running.find(aHandle);
    if (found != running.end()) {
      found->second->timer.cancel();
      running.erase(found);
    }
    if (aStatus == SubStatus::Lost || aStatus == SubStatus::TimedOut) {
      clients.erase(aKey);
    }
  }
};

BackendHttp::BackendHttp(boost::asio::io_context& aContext)
  : m_state(std::make_shared<State>(aContext))
{
}

BackendHttp::~BackendHttp() = default;

std::uint64_t
BackendHttp::send(BackendCall aCall, Done aDone)
{
  const auto state = m_state;
  auto running = std::make_shared<State::Running>(state->context);
  State::ClientPtr client;
  std::uint64_t handle = 0;
  {
    const std::lock_guard<std::mutex> lock(state->mutex);
    handle = state->nextHandle++;
    state->running[handle] = running;
    client = state->client(aCall.key);
  }
  running->timer.expires_after(aCall.timeLeft);
  running->timer.async_wait([running](const boost::system::error_code& aError) {
    if (!aError) {
      running->timedOut = true;
      running->cancel.cancel();
    }
  });
  const auto call = std::make_shared<BackendCall>(std::move(aCall));
  const auto reply = std::make_shared<BackendReply>();
  const auto started = SystemClock().now();
  client->request(makeRequest(*call), running->cancel.get_token())
    .then([call, reply](const http::http_response& aResponse) {
      *reply = readReply(aResponse, *call);
      return aResponse.extract_utf8string(true);
    })
    .then([state, running, client, handle, call, reply, started, aDone](
            const pplx::task<std::string>& aBody) {
      try {
        reply->body = aBody.get();
      } catch (const http::http_exception& error) {
        const bool unconnected = error.error_code().value() == kConnectFailed;
        reply->status = unconnected ? SubStatus::NotRun : SubStatus::Lost;
        reply->error = Errc::Unreachable;
      } catch (const std::exception&) {
        reply->status = SubStatus::Lost;
        reply->error = Errc::BadMessage;
      }
      if (running->timedOut && reply->status == SubStatus::Lost) {
        reply->status = SubStatus::TimedOut;
        reply->error = Errc::TimedOut;
      }
      reply->latency = SystemClock().now() - started;
      state->ended(handle, call->key, reply->status);
      aDone(std::move(*reply));
    });
  return handle;
}

void
BackendHttp::cancel(std::uint64_t aHandle)
{
  State::RunningPtr running;
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    const auto found = m_state->running.find(aHandle);
    if (found == m_state->running.end()) {
      return;
    }
    running = found->second;
  }
  running->cancel.cancel();
}

} // namespace toucanridge
