#include "backend_http_p.h"

#include <cstring>
#include <deque>
#include <map>
#include <mutex>

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>

#include "log_p.h"

namespace toucanridge {
namespace {

namespace http = web::http;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using BodyBuffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

// The text, not the code, of cpprestsdk's error tells a failed connect from a
// failure of an open connection: it maps a refused connect to EHOSTUNREACH,
// which reading from an open connection can also report. Any other text counts
// as "may have run".
constexpr const char* kConnectFailed =
  "Failed to connect to any resolved endpoint";

/// A connection that was idle for longer is replaced instead of reused. A
/// server may have closed it, and the request would end as "may have run"
/// without having run. Common keep-alive limits start at 5 s.
constexpr std::chrono::seconds kMaxIdle{ 2 };

/// A slot's share of a server's connections: one in use and one being closed.
constexpr std::size_t kSlotConnections = 2;

/// Longer than any deadline of a class, so that the deadline ends a request
/// and not cpprestsdk's default of 30 s.
constexpr std::chrono::seconds kLibraryTimeout{ 120 };

constexpr std::uint16_t kNoSnapshotStatus = 409;
constexpr std::uint16_t kUnavailableStatus = 503;

std::uint64_t
numberHeader(const http::http_headers& aHeaders, const char* aName)
{
  std::uint64_t value = 0;
  aHeaders.match(aName, value);
  return value;
}

/// Sets a body that can be read only once. When a server closes a reused
/// connection after it has read the request, cpprestsdk rewinds the body and
/// sends the request again on a new connection. It can't do so with a stream
/// that has no seek, and reports the error instead.
///
/// The body is written by a task that nothing waits for: sends come from
/// threads of the library's pool, and the task needs one of those threads.
BodyBuffer
setBody(http::http_request& aRequest,
        const std::shared_ptr<const BackendCall>& aCall)
{
  BodyBuffer writable;
  aRequest.set_body(
    writable.create_istream(), aCall->body.size(), "text/plain; charset=utf-8");
  if (aCall->body.empty()) {
    writable.close(std::ios_base::out);
    return writable;
  }
  writable
    .putn_nocopy(reinterpret_cast<const std::uint8_t*>(aCall->body.data()),
                 aCall->body.size())
    .then([writable, aCall](const pplx::task<std::size_t>& aWritten) mutable {
      try {
        aWritten.get();
      } catch (const std::exception& error) {
        logWrite(LogLevel::Warn,
                 LogLine("body-not-written")
                   .add("request", aCall->requestId)
                   .addText("reason", error.what()));
      }
      writable.close(std::ios_base::out);
    });
  return writable;
}

http::http_request
makeRequest(const std::shared_ptr<const BackendCall>& aCall, BodyBuffer& aBody)
{
  http::http_request request(http::methods::POST);
  request.set_request_uri("/v1/search?service=" + aCall->service);
  auto& headers = request.headers();
  const auto left = duration_cast<milliseconds>(aCall->timeLeft);
  headers.add("Request-Id", aCall->requestId);
  headers.add("Attempt", aCall->attempt);
  headers.add("Snapshot", aCall->snapshot);
  headers.add("Deadline-Ms", left.count());
  headers.add("Deadline-At", (unixTime() + left).count());
  aBody = setBody(request, aCall);
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

/// Duplicates of the descriptors of a client's connections. cpprestsdk has no
/// call to close a client's connections, and after a cancel it may keep them
/// open; shutting the duplicates down closes them at once.
class ClientSockets
{
public:
  ~ClientSockets() { shutdownAll(); }

  /// cpprestsdk calls this before each request with the socket it will use,
  /// which isn't open yet when it is new.
  void add(boost::asio::ip::tcp::socket& aSocket)
  {
    if (aSocket.is_open()) {
      return;
    }
    boost::system::error_code error;
    aSocket.open(boost::asio::ip::tcp::v4(), error);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (error || m_ended) {
      return;
    }
    m_descriptors.push_back(::dup(aSocket.native_handle()));
    if (m_descriptors.size() > kSlotConnections) {
      shutdownOne(m_descriptors.front());
      m_descriptors.pop_front();
    }
  }

  void shutdownAll()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_ended = true;
    for (const int descriptor : m_descriptors) {
      shutdownOne(descriptor);
    }
    m_descriptors.clear();
  }

private:
  static void shutdownOne(int aDescriptor)
  {
    ::shutdown(aDescriptor, SHUT_RDWR);
    ::close(aDescriptor);
  }

  std::mutex m_mutex; ///< guards what follows
  std::deque<int> m_descriptors;
  bool m_ended = false;
};

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
    /// Cancels the request. cpprestsdk still connects and sends a request that
    /// is cancelled before it connects, and then keeps the connection; with
    /// the body gone it gives up instead, and no server runs it.
    void stop()
    {
      body.close(std::ios_base::in);
      cancel.cancel();
    }

    BodyBuffer body;
    pplx::cancellation_token_source cancel;
    boost::asio::steady_timer timer;
    std::atomic<bool> timedOut{ false };
  };
  using RunningPtr = std::shared_ptr<Running>;
  using ClientPtr = std::shared_ptr<http::client::http_client>;
  /// The client of a slot, and when its last request ended.
  struct Pooled
  {
    ClientPtr client;
    std::shared_ptr<ClientSockets> sockets;
    TimePoint lastUsed;
  };

  explicit State(boost::asio::io_context& aContext)
    : context(aContext)
  {
  }

  boost::asio::io_context& context;
  std::mutex mutex; ///< guards what follows
  std::map<SlotKey, Pooled> clients;
  std::map<std::uint64_t, RunningPtr> running;
  std::uint64_t nextHandle = 1;

  ClientPtr client(const SlotKey& aKey)
  {
    Pooled& found = clients[aKey];
    const TimePoint now = SystemClock().now();
    if (!found.client || now - found.lastUsed > kMaxIdle) {
      http::client::http_client_config config;
      config.set_timeout(kLibraryTimeout);
      if (found.sockets) {
        found.sockets->shutdownAll();
      }
      found.sockets = std::make_shared<ClientSockets>();
      config.set_nativehandle_options(
        [sockets = found.sockets](http::client::native_handle aHandle) {
          sockets->add(*static_cast<boost::asio::ip::tcp::socket*>(aHandle));
        });
      found.client = std::make_shared<http::client::http_client>(
        web::uri("http://" + aKey.server), config);
      found.lastUsed = now;
    }
    return found.client;
  }

  /// Ends the bookkeeping of a request. After a failure its connection is
  /// closed and the slot's client is dropped, so that neither a silent
  /// connection nor one with a stray reply is used again.
  /// @param[in] aFailed the library reported an error, or the reply is void
  void ended(std::uint64_t aHandle, const SlotKey& aKey, bool aFailed)
  {
    RunningPtr ending;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      const auto found = running.find(aHandle);
      if (found != running.end()) {
        ending = found->second;
        ending->timer.cancel();
        running.erase(found);
      }
      const auto pooled = clients.find(aKey);
      if (pooled != clients.end() && aFailed) {
        pooled->second.sockets->shutdownAll();
        clients.erase(pooled);
      } else if (pooled != clients.end()) {
        pooled->second.lastUsed = SystemClock().now();
      }
    }
    if (aFailed && ending) {
      ending->stop();
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
  const auto call = std::make_shared<BackendCall>(std::move(aCall));
  const auto reply = std::make_shared<BackendReply>();
  const auto started = SystemClock().now();
  const http::http_request request = makeRequest(call, running->body);
  running->timer.expires_after(call->timeLeft);
  running->timer.async_wait([running](const boost::system::error_code& aError) {
    if (!aError) {
      running->timedOut = true;
      running->stop();
    }
  });
  client->request(request, running->cancel.get_token())
    .then([call, reply, running](const http::http_response& aResponse) {
      *reply = readReply(aResponse, *call);
      if (reply->status == SubStatus::Lost) {
        // Closes the connection before the library can pool it.
        running->stop();
        return pplx::task_from_result(std::string());
      }
      return aResponse.extract_utf8string(true);
    })
    .then([state, running, handle, call, reply, started, aDone](
            const pplx::task<std::string>& aBody) {
      bool failed = true;
      try {
        reply->body = aBody.get();
        failed = reply->status == SubStatus::Lost || running->timedOut;
      } catch (const http::http_exception& error) {
        const bool unconnected = std::strcmp(error.what(), kConnectFailed) == 0;
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
      state->ended(handle, call->key, failed);
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
  running->stop();
}

} // namespace toucanridge
