#include "http_server_p.h"

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "growing_body_p.h"
#include "log_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr std::size_t kReadBytes = 4096;
/// Bytes that are read ahead while a request runs; the rest stays in the
/// socket.
constexpr std::size_t kMaxPipelinedBytes = 2 * kReadBytes;
/// The read buffer of an idle connection is freed when it is larger; a long
/// head makes it grow.
constexpr std::size_t kMaxIdleBufferBytes = 4 * kReadBytes;
/// Bodies up to this length are read even when the memory is nearly used up.
constexpr std::size_t kShortBodyBytes = kReadBytes;
/// How long a connection is read after the refusal of a request whose body is
/// still on its way: closed at once, it would be reset before the client has
/// read the refusal.
constexpr milliseconds kDiscardTime{ 1000 };
/// Most refused and evicted connections logged in a second.
constexpr std::uint32_t kMaxLinesPerSecond = 10;
/// Interval at which time limits are checked; they are enforced late by this
/// much at most.
constexpr milliseconds kTimeLimitCheckInterval{ 250 };
constexpr milliseconds kAcceptRetryDelay{ 50 };

/// @returns the status for a request that can't be parsed
unsigned
statusFor(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return 431;
  }
  return aError == http::error::body_limit ? 413 : 400;
}

/// A transfer coding other than plain chunked leaves the length of the body
/// ambiguous, and so the start of the next request (request smuggling).
bool
hasAmbiguousLength(const HttpRequest& aRequest)
{
  const std::string_view coding =
    headerValue(aRequest.base(), "Transfer-Encoding");
  return !coding.empty() &&
         !boost::beast::iequals(
           boost::beast::string_view(coding.data(), coding.size()), "chunked");
}

} // namespace

/// One connection of a caller and its current request.
class HttpSession final
  : public HttpExchange
  , public std::enable_shared_from_this<HttpSession>
{
public:
  using Socket = asio::ip::tcp::socket;

  HttpSession(HttpServer& aServer, Socket aSocket)
    : m_server(aServer)
    , m_socket(std::move(aSocket))
    , m_request(std::make_shared<HttpRequest>())
    , m_stateSince(aServer.m_clock.now())
    , m_held(aServer.m_resources.budget, [this] { onEvicted(); })
  {
  }

  void start()
  {
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    beginRequest();
    read();
  }

  const HttpRequest& request() const override { return *m_request; }
  HttpRequestPtr sharedRequest() const override { return m_request; }
  bool reserveCopies(std::size_t aHeads, std::size_t aBodies) override
  {
    return m_held.trySet(BufferUse::Copies,
                         aHeads * m_headBytes +
                           aBodies * m_request->body().size());
  }
  TimePoint receivedAt() const override { return m_receivedAt; }
  bool isFirstOnConnection() const override { return m_requestCount == 1; }
  void setOnAbandoned(OnAbandoned aCall) override
  {
    m_onAbandoned = std::move(aCall);
  }

  void reply(HttpResponse aResponse) override
  {
    if (m_state != State::Running) {
      return;
    }
    m_onAbandoned = nullptr;
    m_state = State::Writing;
    m_stateSince = m_server.m_clock.now();
    const bool close = m_closeAfterReply || m_server.m_draining;
    m_closeAfterReply = close;
    m_head = serializeHead(aResponse, close);
    m_body = std::move(aResponse.body());
    const bool isHead = m_request->method() == http::verb::head;
    if (!m_held.set(BufferUse::Answer, m_head.size() + m_body.capacity())) {
      onEvicted();
      return;
    }
    const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(m_head), isHead ? asio::const_buffer() : asio::buffer(m_body)
    };
    asio::async_write(
      m_socket,
      buffers,
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t) { self->onWritten(aError); });
  }

  /// Ends the connection when a time limit has passed.
  void checkTimeLimits(TimePoint aNow)
  {
    const HttpLimits& limits = m_server.m_limits;
    const Duration age = aNow - m_stateSince;
    const bool expired = m_state == State::Idle      ? age > limits.idleTime
                         : m_state == State::Reading ? age > limits.requestTime
                         : m_state == State::Writing ? age > limits.writeTime
                         : m_state == State::Discarding ? age > kDiscardTime
                                                        : false;
    if (expired) {
      end();
    }
  }

  void answerIfRunning(const HttpResponse& aResponse)
  {
    if (m_state == State::Running) {
      const auto abandoned = std::move(m_onAbandoned);
      reply(aResponse);
      if (abandoned) {
        abandoned(aResponse.result_int());
      }
    }
  }

  /// @returns the time without a request, zero when it has one
  Duration idleTime(TimePoint aNow) const
  {
    return m_state == State::Idle ? aNow - m_stateSince : Duration(0);
  }

  void closeIfIdle()
  {
    if (m_state == State::Idle) {
      end();
    }
  }

  void end()
  {
    if (m_state == State::Ended) {
      return;
    }
    const bool running = m_state == State::Running;
    if (running || m_state == State::Writing) {
      --m_server.m_running;
    }
    m_state = State::Ended;
    boost::system::error_code ignored;
    m_socket.shutdown(Socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_server.m_sessions.erase(shared_from_this());
    if (running && m_onAbandoned) {
      const auto abandoned = std::move(m_onAbandoned);
      m_onAbandoned = nullptr;
      abandoned(0);
    }
  }

private:
  using Parser = http::request_parser<GrowingBody>;

  enum class State
  {
    Idle,    ///< waits for the first byte of a request
    Reading, ///< has part of a request
    Running, ///< the handler has the request
    Writing,
    Discarding, ///< a refusal is written; its request is still arriving
    Ended,
  };

  /// Ends the connection later: what evicts it may be reading another one, on
  /// another thread.
  void onEvicted()
  {
    asio::post(m_socket.get_executor(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->logEviction();
        self->end();
      }
    });
  }

  void logEviction()
  {
    if (m_server.m_logLimit.allows()) {
      logWrite(LogLevel::Warn,
               LogLine("connection-evicted")
                 .add("body", m_request->body().size())
                 .add("answer", m_body.size())
                 .add("buffered", m_buffer.size())
                 .add("suppressed", m_server.m_logLimit.takeSuppressed()));
    }
  }

  /// Counts what has been received and isn't answered.
  /// @returns false when the connection has been evicted
  bool countInput()
  {
    const auto& message = m_parser->get();
    return m_held.set(BufferUse::Input, m_buffer.capacity()) &&
           (!m_parser->is_header_done() ||
            m_held.set(BufferUse::Message,
                       m_headBytes + message.body().capacity()));
  }

  void beginRequest()
  {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(
      static_cast<std::uint32_t>(m_server.m_limits.headerBytes));
    m_parser->body_limit(m_server.m_limits.bodyBytes);
    m_state = State::Idle;
    m_stateSince = m_server.m_clock.now();
    m_headBytes = 0;
    m_isBodyAdmitted = false;
    for (const BufferUse use :
         { BufferUse::Message, BufferUse::Copies, BufferUse::Answer }) {
      m_held.set(use, 0);
    }
    m_held.set(BufferUse::Input, m_buffer.capacity());
  }

  /// Also reads while a request runs, to detect that the caller disconnects.
  void read()
  {
    // A header that is being read may be longer than what is read ahead.
    const std::size_t maxBuffered =
      m_state == State::Reading
        ? std::max(kMaxPipelinedBytes, m_server.m_limits.headerBytes)
        : kMaxPipelinedBytes;
    if (m_reading || m_state == State::Ended ||
        m_buffer.size() >= maxBuffered) {
      return;
    }
    // Not before: a read that is pending would write to freed memory.
    if (m_buffer.size() == 0 && m_buffer.capacity() > kMaxIdleBufferBytes) {
      m_buffer.shrink_to_fit();
    }
    m_reading = true;
    m_socket.async_read_some(
      m_buffer.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t aBytes) {
        self->m_reading = false;
        self->onRead(aError, aBytes);
      });
  }

  void onRead(const boost::system::error_code& aError, std::size_t aBytes)
  {
    if (m_state == State::Ended) {
      return;
    }
    if (aError) {
      if (m_state == State::Writing) {
        m_closeAfterReply = true; // the answer may still be delivered
      } else {
        end();
      }
      return;
    }
    if (m_state == State::Discarding) {
      read();
      return;
    }
    m_buffer.commit(aBytes);
    if (m_state == State::Idle || m_state == State::Reading) {
      parse();
    } else if (!m_held.set(BufferUse::Input, m_buffer.capacity())) {
      onEvicted();
      return;
    }
    read();
  }

  void parse()
  {
    if (m_state == State::Idle && m_buffer.size() > 0) {
      m_state = State::Reading;
      m_stateSince = m_server.m_clock.now();
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
      boost::system::error_code error;
      const bool hadHeader = m_parser->is_header_done();
      const std::size_t used = parseBuffer(error);
      m_buffer.consume(used);
      if (!hadHeader && m_parser->is_header_done()) {
        m_headBytes = heldBytes(used, m_parser->get().base());
      }
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        refuse(error);
        return;
      }
    }
    if (!countInput()) {
      onEvicted();
      return;
    }
    if (!m_parser->is_done()) {
      if (m_parser->is_header_done() && !admitBody()) {
        refuseUnread();
      } else {
        sendContinueIfExpected();
      }
      return;
    }
    auto message = m_parser->release();
    m_request = std::make_shared<HttpRequest>(std::move(message.base()),
                                              std::move(message.body()));
    if (hasAmbiguousLength(*m_request)) {
      refuse(http::error::bad_transfer_encoding);
      return;
    }
    m_closeAfterReply = !m_request->keep_alive();
    m_receivedAt = m_server.m_clock.now();
    m_state = State::Running;
    m_sentContinue = false;
    ++m_requestCount;
    ++m_server.m_running;
    m_server.m_handler(shared_from_this());
  }

  /// Decides once for each request whether its body is read. A body is refused
  /// while so much is held that it might evict another connection.
  bool admitBody()
  {
    const auto length = m_parser->content_length();
    const auto& budget = m_server.m_resources.budget;
    m_isBodyAdmitted = m_isBodyAdmitted || !budget || !budget->isNearLimit() ||
                       (length && *length <= kShortBodyBytes);
    return m_isBodyAdmitted;
  }

  /// Refuses a request whose body hasn't been read: it has not run.
  void refuseUnread()
  {
    ++m_server.m_refusedUnread;
    m_request = std::make_shared<HttpRequest>();
    m_parser.emplace();
    m_state = State::Running;
    ++m_server.m_running;
    m_closeAfterReply = true;
    m_discardsInput = true;
    m_held.set(BufferUse::Message, 0);
    reply(m_server.makeRefusal());
  }

  /// @returns the number of bytes used
  std::size_t parseBuffer(boost::system::error_code& aError)
  {
    try {
      return m_parser->put(m_buffer.data(), aError);
    } catch (const std::length_error&) { // a header value over 64 KiB
      aError = http::error::header_limit;
      return 0;
    }
  }

  /// Sends 100 Continue to a caller that waits for it before sending the body.
  void sendContinueIfExpected()
  {
    if (m_sentContinue || !m_parser->is_header_done() ||
        headerValue(m_parser->get().base(), "Expect").empty()) {
      return;
    }
    m_sentContinue = true;
    static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket,
                      asio::buffer(kContinue, sizeof(kContinue) - 1),
                      [self = shared_from_this()](
                        const boost::system::error_code&, std::size_t) {});
  }

  /// Answers a request that can't be parsed and ends the connection.
  void refuse(const boost::system::error_code& aError)
  {
    ++m_server.m_malformed;
    logWrite(LogLevel::Warn,
             LogLine("request-malformed").addText("reason", aError.message()));
    m_request = std::make_shared<HttpRequest>();
    m_state = State::Running;
    ++m_server.m_running;
    m_closeAfterReply = true;
    reply(makeResponse(statusFor(aError), "malformed request\n"));
  }

  void onWritten(const boost::system::error_code& aError)
  {
    if (m_state == State::Ended) {
      return;
    }
    if (!aError && m_discardsInput) {
      discardInput();
      return;
    }
    if (aError || m_closeAfterReply) {
      end();
      return;
    }
    --m_server.m_running;
    m_body = {};
    m_request = std::make_shared<HttpRequest>();
    beginRequest();
    parse();
    read();
  }

  /// Reads until the client has got the refusal and closes the connection, or
  /// for kDiscardTime.
  void discardInput()
  {
    --m_server.m_running;
    m_state = State::Discarding;
    m_stateSince = m_server.m_clock.now();
    m_buffer.clear();
    boost::system::error_code ignored;
    m_socket.shutdown(Socket::shutdown_send, ignored);
    read();
  }

  HttpServer& m_server;
  Socket m_socket;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  /// Replaced for each request: attempts that were cancelled may still be
  /// writing its body.
  std::shared_ptr<HttpRequest> m_request;
  State m_state = State::Idle;
  TimePoint m_stateSince; ///< start of the current state
  TimePoint m_receivedAt;
  std::uint64_t m_requestCount = 0;
  std::size_t m_headBytes = 0; ///< held for the parsed head
  bool m_reading = false;      ///< a read is pending
  bool m_closeAfterReply = false;
  bool m_sentContinue = false; ///< 100 Continue was sent
  bool m_isBodyAdmitted = false;
  bool m_discardsInput = false; ///< after the answer
  OnAbandoned m_onAbandoned;
  std::string m_head;
  std::string m_body;
  BufferShare m_held;
};

HttpLimits
pageLimits(std::size_t aConnections)
{
  HttpLimits limits;
  limits.bodyBytes = kShortBodyBytes;
  limits.connections = aConnections;
  return limits;
}

HttpServer::HttpServer(asio::io_context& aContext,
                       const ClockI& aClock,
                       Handler aHandler,
                       HttpServerResources aResources)
  : m_context(aContext)
  , m_clock(aClock)
  , m_handler(std::move(aHandler))
  , m_resources(std::move(aResources))
  , m_logLimit(aClock, kMaxLinesPerSecond)
  , m_acceptor(aContext)
  , m_timeLimitTimer(aContext)
  , m_acceptRetryTimer(aContext)
{
}

HttpServer::~HttpServer() = default;

std::error_code
HttpServer::init(const std::string& aAddress, std::uint16_t aPort)
{
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(aAddress, error), aPort);
  if (!error) {
    m_acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
  }
  if (!error) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return error;
  }
  accept();
  scheduleTimeLimitCheck();
  return {};
}

void
HttpServer::accept()
{
  m_acceptor.async_accept([this](const boost::system::error_code& aError,
                                 asio::ip::tcp::socket aSocket) {
    if (m_stopped) {
      return;
    }
    if (aError) {
      logWrite(LogLevel::Error,
               LogLine("accept-failed").addText("reason", aError.message()));
      m_acceptRetryTimer.expires_after(kAcceptRetryDelay);
      m_acceptRetryTimer.async_wait(
        [this](const boost::system::error_code& aStopped) {
          if (!aStopped) {
            accept();
          }
        });
      return;
    }
    accept();
    addSession(std::move(aSocket));
  });
}

/// Serves a new connection. At the limit it takes the place of the one that has
/// been without a request for longest.
void
HttpServer::addSession(asio::ip::tcp::socket aSocket)
{
  if (m_sessions.size() < m_limits.connections || endLongestIdle()) {
    auto session = std::make_shared<HttpSession>(*this, std::move(aSocket));
    m_sessions.insert(session);
    session->start();
  } else if (m_logLimit.allows()) {
    logWrite(LogLevel::Warn,
             LogLine("connection-refused")
               .add("open", m_sessions.size())
               .add("suppressed", m_logLimit.takeSuppressed()));
  }
}

/// @returns false when each connection has a request
bool
HttpServer::endLongestIdle()
{
  const TimePoint now = m_clock.now();
  std::shared_ptr<HttpSession> longest;
  for (const auto& session : m_sessions) {
    const Duration idle = session->idleTime(now);
    if (idle > (longest ? longest->idleTime(now) : Duration(0))) {
      longest = session;
    }
  }
  if (longest) {
    longest->end();
  }
  return longest != nullptr;
}

HttpResponse
HttpServer::makeRefusal() const
{
  if (m_resources.makeRefusal) {
    return m_resources.makeRefusal();
  }
  HttpResponse refusal = makeResponse(503, "out of memory for requests\n");
  refusal.set(http::field::retry_after, "1");
  return refusal;
}

void
HttpServer::scheduleTimeLimitCheck()
{
  m_timeLimitTimer.expires_after(kTimeLimitCheckInterval);
  m_timeLimitTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    scheduleTimeLimitCheck();
    const TimePoint now = m_clock.now();
    for (const auto& session : sessions()) {
      session->checkTimeLimits(now);
    }
  });
}

std::vector<std::shared_ptr<HttpSession>>
HttpServer::sessions() const
{
  return { m_sessions.begin(), m_sessions.end() };
}

void
HttpServer::closeIdle()
{
  for (const auto& session : sessions()) {
    session->closeIfIdle();
  }
}

void
HttpServer::answerRunning(const HttpResponse& aResponse)
{
  for (const auto& session : sessions()) {
    session->answerIfRunning(aResponse);
  }
}

void
HttpServer::stopAccepting()
{
  m_stopped = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_acceptRetryTimer.cancel();
}

void
HttpServer::shutdown()
{
  stopAccepting();
  m_timeLimitTimer.cancel();
  for (const auto& session : sessions()) {
    session->end();
  }
}

} // namespace toucanridge
