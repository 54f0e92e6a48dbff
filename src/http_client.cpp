#include "http_client_p.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <optional>

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "growing_body_p.h"
#include "response_check_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr std::size_t kReadBytes = 4096;
/// A connection is discarded this long before the server's announced keep-alive
/// timeout, so that no request is sent while the server closes the connection.
constexpr milliseconds kIdleMargin{ 1000 };
/// Responses to other requests that are skipped before a connection is closed.
/// A faulty server sends one surplus response at a time.
constexpr unsigned kMaxSkippedResponses = 2;
/// Informational responses (1xx) to one request; servers send one or two.
constexpr unsigned kMaxInformationalResponses = 8;
/// The read buffer of an idle connection is freed when it is larger; a long
/// head makes it grow.
constexpr std::size_t kMaxIdleBufferBytes = 4 * kReadBytes;
constexpr const char* kBudgetExceeded = "unfinished responses exceed the limit";

/// @returns the timeout in the Keep-Alive header, or nothing
std::optional<milliseconds>
keepAliveTimeout(const HttpFields& aFields)
{
  const std::string_view text = headerValue(aFields, "Keep-Alive");
  constexpr std::string_view kKey = "timeout=";
  const auto at = text.find(kKey);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const char* from = text.data() + at + kKey.size();
  unsigned seconds = 0;
  const auto parsed = std::from_chars(from, text.data() + text.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

} // namespace

std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aText.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* const last = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, last, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != last || port == 0) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, port);
}

std::string
headWithDeadline(const HttpCall& aCall, TimePoint aNow)
{
  if (aCall.deadlineHeader.empty()) {
    return aCall.head;
  }
  constexpr std::string_view kEnd = "\r\n";
  const auto left =
    std::chrono::duration_cast<milliseconds>(aCall.deadline - aNow).count();
  std::string head = aCall.head.substr(0, aCall.head.size() - kEnd.size());
  appendHeader(head,
               aCall.deadlineHeader,
               std::to_string(std::max<std::int64_t>(1, left)));
  return head.append(kEnd);
}

/// A request that was passed to HttpPool::send and has not ended.
class HttpPool::PendingCall final
  : public HttpPendingCallI
  , public std::enable_shared_from_this<PendingCall>
{
public:
  PendingCall(std::weak_ptr<HttpPool> aPool, HttpCall aCall, Done aDone)
    : pool(std::move(aPool))
    , call(std::move(aCall))
    , done(std::move(aDone))
  {
  }

  void cancel() override;

  std::weak_ptr<HttpPool> pool;
  HttpCall call;
  Done done;                                ///< empty once called or cancelled
  std::weak_ptr<HttpConnection> connection; ///< empty while queued
};

/// A connection of a pool; it has at most one request at a time.
class HttpConnection final : public std::enable_shared_from_this<HttpConnection>
{
public:
  using Socket = asio::ip::tcp::socket;

  explicit HttpConnection(const std::shared_ptr<HttpPool>& aPool)
    : m_pool(aPool)
    , m_clock(aPool->m_clock)
    , m_socket(aPool->m_context)
    , m_timer(aPool->m_context)
    , m_settings(aPool->m_settings)
    , m_maxIdle(aPool->m_settings.idleTime)
    , m_buffered(aPool->m_settings.budget, [this] { onEvicted(); })
  {
    if (m_settings.limit) {
      ++m_settings.limit->open;
    }
  }
  ~HttpConnection()
  {
    if (m_settings.limit) {
      --m_settings.limit->open;
    }
  }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  void connect(const asio::ip::tcp::endpoint& aEndpoint)
  {
    m_timer.expires_after(m_settings.connectTimeout);
    m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (!aError && !self->m_open) {
          self->close(ExchangeEnd::ConnectFailed, "connect timed out");
        }
      });
    m_socket.async_connect(
      aEndpoint,
      [self = shared_from_this()](const boost::system::error_code& aError) {
        self->onConnected(aError);
      });
  }

  /// Assigns a request. It is written at once, or when the connection opens.
  void assign(const HttpPool::PendingCallPtr& aPendingCall)
  {
    m_pendingCall = aPendingCall;
    aPendingCall->connection = weak_from_this();
    if (m_open) {
      write();
    }
  }

  /// Closes the connection and reports the end of its request, if it has one.
  void close(ExchangeEnd aEnd, const char* aReason)
  {
    if (m_closed) {
      return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_buffered.resize(0);
    m_timer.cancel();
    const auto pendingCall = std::move(m_pendingCall);
    m_pendingCall = nullptr;
    const auto pool = m_pool.lock();
    if (!pool) {
      return;
    }
    if (pendingCall) {
      ExchangeResult result;
      result.end = aEnd;
      result.reason = aReason;
      result.reused = m_responseCount > 0;
      result.closedByServer = m_closedByServer;
      pool->finish(pendingCall, std::move(result));
    }
    pool->onClosed(shared_from_this());
  }

  /// Closes the connection of a cancelled request; its response may still be on
  /// the way. The request's end isn't reported.
  void cancelRequest()
  {
    m_pendingCall = nullptr;
    close(ExchangeEnd::Broken, "cancelled");
  }

  /// @returns true when the connection may carry another request
  bool isReusable(TimePoint aNow) const
  {
    return m_open && !m_closed && aNow - m_idleSince < m_maxIdle;
  }

private:
  using Parser = http::response_parser<GrowingBody>;

  enum class Progress : std::uint8_t
  {
    Advanced, ///< bytes were used
    NeedMore, ///< a line or the head is incomplete
    Ended,    ///< the connection was closed
  };

  void onConnected(const boost::system::error_code& aError)
  {
    if (m_closed) {
      return;
    }
    if (aError) {
      close(ExchangeEnd::ConnectFailed, "connect failed");
      return;
    }
    m_timer.cancel();
    m_open = true;
    if (m_settings.onConnected) {
      m_settings.onConnected();
    }
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
        static_cast<int>(m_settings.unackedTimeout.count())),
      ignored);
    read();
    if (m_pendingCall) {
      write();
    } else {
      markIdle();
    }
  }

  void write()
  {
    resetParser();
    m_skippedResponses = 0;
    m_informationalResponses = 0;
    m_writtenCall = m_pendingCall;
    m_pendingCall->call.head =
      headWithDeadline(m_pendingCall->call, m_clock.now());
    const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(m_pendingCall->call.head),
      m_pendingCall->call.body ? asio::buffer(*m_pendingCall->call.body)
                               : asio::const_buffer()
    };
    m_wroteBytes = false;
    m_writing = true;
    asio::async_write(
      m_socket,
      buffers,
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t aBytes) {
        self->m_writing = false;
        self->m_writtenCall = nullptr;
        if (self->m_closed) {
          return;
        }
        if (aBytes > 0) {
          self->m_wroteBytes = true;
        }
        if (aError) {
          self->close(self->m_wroteBytes ? ExchangeEnd::Broken
                                         : ExchangeEnd::NotSent,
                      "write failed");
        }
      });
  }

  void resetParser()
  {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_settings.headerBytes));
    m_parser->body_limit(m_settings.bodyBytes);
    m_head.reset();
    m_headBytes = 0;
    m_headSearched = 0;
    if (m_pendingCall) {
      m_parser->skip(m_pendingCall->call.isHeadMethod);
    }
  }

  void read()
  {
    m_socket.async_read_some(
      m_buffer.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t aBytes) {
        self->onRead(aError, aBytes);
      });
  }

  void onRead(const boost::system::error_code& aError, std::size_t aBytes)
  {
    if (m_closed) {
      return;
    }
    if (aError) {
      onReadError(aError);
      return;
    }
    m_buffer.commit(aBytes);
    if (!m_pendingCall) {
      close(ExchangeEnd::Malformed, "bytes without a request");
      return;
    }
    if (parse()) {
      read();
    }
  }

  /// Handles a failed read. End of file completes a response that has no
  /// declared length; a reset never does.
  void onReadError(const boost::system::error_code& aError)
  {
    if (m_pendingCall && aError == asio::error::eof && m_parser->got_some() &&
        m_parser->need_eof()) {
      boost::system::error_code error;
      m_parser->put_eof(error);
      if (!error && m_parser->is_done()) {
        m_closeAfterResponse = true;
        finishResponse();
        return;
      }
    }
    // The request counts as sent: bytes may be in the socket's send buffer
    // although the write hasn't completed.
    m_closedByServer =
      aError == asio::error::eof || aError == asio::error::connection_reset;
    close(ExchangeEnd::Broken, "connection closed");
  }

  /// Counts what has been received of the response.
  /// @returns false when it is too much for the budget of all connections
  bool countBuffered()
  {
    return m_buffered.resize(m_buffer.capacity() + m_headBytes +
                             m_parser->get().body().capacity());
  }

  /// Frees what has been received of the response when another connection's
  /// response is received in its place.
  void onEvicted()
  {
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
      self->close(ExchangeEnd::Malformed, kBudgetExceeded);
    });
  }

  /// @returns false when the connection has ended
  bool parse()
  {
    while (m_pendingCall && m_buffer.size() > 0) {
      Progress progress =
        m_parser->is_header_done() ? parseBody() : parseHead();
      if (progress != Progress::Ended && !countBuffered()) {
        progress = malformed(kBudgetExceeded);
      }
      if (progress == Progress::NeedMore) {
        return true;
      }
      if (progress == Progress::Ended ||
          (m_parser->is_done() && !finishResponse())) {
        return false;
      }
    }
    if (!m_pendingCall && m_buffer.size() > 0) {
      close(ExchangeEnd::Malformed, "bytes after the response");
    }
    return !m_closed;
  }

  Progress malformed(const char* aReason)
  {
    close(ExchangeEnd::Malformed, aReason);
    return Progress::Ended;
  }

  /// Parses the status line and the header fields once they are complete.
  Progress parseHead()
  {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    const auto received = m_buffer.data();
    const std::string_view text(static_cast<const char*>(received.data()),
                                received.size());
    const auto end = text.find(kHeadEnd, m_headSearched);
    if (end == std::string_view::npos) {
      m_headSearched = text.size() - std::min(text.size(), kHeadEnd.size() - 1);
      return text.size() > m_settings.headerBytes
               ? malformed("head without end")
               : Progress::NeedMore;
    }
    const std::string_view head = text.substr(0, end + kHeadEnd.size());
    boost::system::error_code error;
    m_parser->put(asio::buffer(head.data(), head.size()), error);
    if (error || !m_parser->is_header_done()) {
      return malformed("no response");
    }
    const HttpResponse::header_type& parsed = m_parser->get().base();
    if (const char* fault = findHeadFault(head, parsed)) {
      return malformed(fault);
    }
    m_headBytes = heldBytes(head.size(), parsed);
    m_buffer.consume(head.size());
    if (m_parser->chunked()) {
      m_head = parsed;
      m_headBytes *= 2;
    }
    // Without a length it would last until the server closes the connection.
    if (m_parser->need_eof() && isForAnotherRequest(parsed)) {
      return malformed("response to another request");
    }
    return Progress::Advanced;
  }

  Progress parseBody()
  {
    boost::system::error_code error;
    m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error == http::error::need_more) {
      // The parser bounds neither a chunk's size line nor the trailer, which
      // both stay in the buffer until they are complete.
      return m_buffer.size() > m_settings.headerBytes
               ? malformed("line without end")
               : Progress::NeedMore;
    }
    return error ? malformed("no response") : Progress::Advanced;
  }

  bool isForAnotherRequest(const HttpFields& aFields) const
  {
    const HttpCall& call = m_pendingCall->call;
    if (call.idHeader.empty()) {
      return false;
    }
    const std::string_view id = headerValue(aFields, call.idHeader);
    return !id.empty() && id != call.id;
  }

  /// @returns false when the connection has ended
  bool finishResponse()
  {
    auto message = m_parser->release();
    // The parser adds the fields of the trailer to those of the head, where
    // they would pass for statements about the answer.
    HttpResponse response(m_head ? std::move(*m_head)
                                 : std::move(message.base()),
                          std::move(message.body()));
    m_head.reset();
    m_buffered.resize(0);
    if (response.result_int() / 100 == 1) {
      if (++m_informationalResponses > kMaxInformationalResponses) {
        close(ExchangeEnd::Malformed, "informational responses without end");
        return false;
      }
      resetParser();
      return true;
    }
    if (isForAnotherRequest(response.base())) {
      m_closeAfterResponse = true;
      if (++m_skippedResponses > kMaxSkippedResponses ||
          !response.keep_alive()) {
        close(ExchangeEnd::Malformed, "response to another request");
        return false;
      }
      resetParser();
      return true;
    }
    m_closeAfterResponse |=
      !response.keep_alive() || m_writing || m_buffer.size() > 0;
    if (const auto idle = keepAliveTimeout(response.base())) {
      m_maxIdle = *idle > kIdleMargin ? *idle - kIdleMargin : milliseconds(0);
    }
    ExchangeResult result;
    result.end = ExchangeEnd::Answered;
    result.response = std::move(response);
    result.reused = m_responseCount > 0;
    ++m_responseCount;
    const auto pendingCall = std::move(m_pendingCall);
    m_pendingCall = nullptr;
    const auto pool = m_pool.lock();
    const auto self = shared_from_this();
    if (m_closeAfterResponse) {
      close(ExchangeEnd::Broken, "last use");
    } else {
      markIdle();
    }
    if (pool) {
      pool->finish(pendingCall, std::move(result));
    }
    return !m_closed;
  }

  void markIdle()
  {
    m_idleSince = m_clock.now();
    if (m_buffer.size() == 0 && m_buffer.capacity() > kMaxIdleBufferBytes) {
      m_buffer.shrink_to_fit();
    }
    if (const auto pool = m_pool.lock()) {
      pool->onIdle(shared_from_this());
    }
  }

  std::weak_ptr<HttpPool> m_pool;
  const ClockI& m_clock;
  Socket m_socket;
  asio::steady_timer m_timer;
  HttpClientSettings m_settings;
  Duration m_maxIdle;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  /// Request in progress, null when idle.
  HttpPool::PendingCallPtr m_pendingCall;
  /// Owns the buffers of a write in progress.
  HttpPool::PendingCallPtr m_writtenCall;
  TimePoint m_idleSince;
  /// Head of a response in chunks, before its trailer is parsed.
  std::optional<HttpResponse::header_type> m_head;
  std::size_t m_headBytes = 0; ///< of the parsed head
  /// Bytes of the buffer that contain no end of the head.
  std::size_t m_headSearched = 0;
  std::uint64_t m_responseCount = 0;
  unsigned m_skippedResponses = 0;
  unsigned m_informationalResponses = 0;
  BufferShare m_buffered; ///< what has been received of a response
  bool m_open = false;
  bool m_closed = false;
  bool m_writing = false;
  bool m_wroteBytes = false;
  bool m_closedByServer = false;
  bool m_closeAfterResponse = false;
};

void
HttpPool::PendingCall::cancel()
{
  if (!done) {
    return;
  }
  done = nullptr;
  if (const auto activeConnection = connection.lock()) {
    activeConnection->cancelRequest();
    return;
  }
  if (const auto owner = pool.lock()) {
    auto& queue = owner->m_queue;
    queue.erase(std::remove(queue.begin(), queue.end(), shared_from_this()),
                queue.end());
  }
}

HttpPool::HttpPool(asio::io_context& aContext,
                   const ClockI& aClock,
                   asio::ip::tcp::endpoint aEndpoint,
                   HttpClientSettings aSettings)
  : m_context(aContext)
  , m_clock(aClock)
  , m_endpoint(std::move(aEndpoint))
  , m_settings(std::move(aSettings))
{
}

HttpPool::~HttpPool() = default;

HttpPendingCallPtr
HttpPool::send(HttpCall aCall, Done aDone)
{
  auto pendingCall = std::make_shared<PendingCall>(
    weak_from_this(), std::move(aCall), std::move(aDone));
  m_queue.push_back(pendingCall);
  dispatch();
  return pendingCall;
}

HttpPool::ConnectionPtr
HttpPool::takeIdle()
{
  const TimePoint now = m_clock.now();
  while (!m_idle.empty()) {
    ConnectionPtr connection = std::move(m_idle.back());
    m_idle.pop_back();
    if (connection->isReusable(now)) {
      return connection;
    }
    connection->close(ExchangeEnd::Broken, "idle too long");
  }
  return nullptr;
}

bool
HttpPool::mayOpen() const
{
  const auto& limit = m_settings.limit;
  return m_connections.empty() ||
         (m_connections.size() < m_settings.connections &&
          (!limit || limit->open < limit->most));
}

HttpPool::ConnectionPtr
HttpPool::open()
{
  auto connection = std::make_shared<HttpConnection>(shared_from_this());
  m_connections.push_back(connection);
  ++m_opened;
  connection->connect(m_endpoint);
  return connection;
}

void
HttpPool::preconnect()
{
  if (m_connections.empty() && !m_retired) {
    open();
  }
}

void
HttpPool::dispatch()
{
  if (m_dispatching) {
    return;
  }
  m_dispatching = true;
  while (!m_queue.empty()) {
    ConnectionPtr connection = takeIdle();
    if (!connection) {
      if (!mayOpen()) {
        break;
      }
      connection = open();
    }
    const PendingCallPtr pendingCall = m_queue.front();
    m_queue.pop_front();
    connection->assign(pendingCall);
  }
  m_dispatching = false;
}

void
HttpPool::onIdle(const ConnectionPtr& aConnection)
{
  if (m_retired) {
    aConnection->close(ExchangeEnd::Broken, "retired");
    return;
  }
  m_idle.push_back(aConnection);
  dispatch();
}

void
HttpPool::onClosed(const ConnectionPtr& aConnection)
{
  const auto forget = [&aConnection](auto& aList) {
    aList.erase(std::remove(aList.begin(), aList.end(), aConnection),
                aList.end());
  };
  forget(m_connections);
  forget(m_idle);
  if (!m_queue.empty()) {
    dispatch();
  }
}

void
HttpPool::finish(const PendingCallPtr& aPendingCall, ExchangeResult aResult)
{
  if (!aPendingCall->done) {
    return;
  }
  const Done done = std::move(aPendingCall->done);
  aPendingCall->done = nullptr;
  done(std::move(aResult));
}

void
HttpPool::closeIdle()
{
  const std::vector<ConnectionPtr> idle(m_idle);
  for (const ConnectionPtr& connection : idle) {
    connection->close(ExchangeEnd::Broken, "closed while idle");
  }
}

void
HttpPool::retire()
{
  m_retired = true;
  closeIdle();
}

} // namespace toucanridge
