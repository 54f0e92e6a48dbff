#include "http_client_p.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace toucanridge {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr std::size_t kReadBytes = 4096;
/// A connection is given up this long before the server's announced idle
/// limit, so that a request doesn't cross the server's close.
constexpr milliseconds kIdleMargin{ 1000 };
/// Responses to other requests that are skipped before a connection is given
/// up: a faulty server sends one extra answer at a time.
constexpr unsigned kMaxSkipped = 2;

/// @returns the idle limit in a Keep-Alive header, or nothing
std::optional<milliseconds>
announcedIdle(const HttpFields& aFields)
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
headAt(const HttpCall& aCall, TimePoint aNow)
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

/// A request and the connection that carries it.
class HttpPool::Ticket final
  : public HttpTicketI
  , public std::enable_shared_from_this<Ticket>
{
public:
  Ticket(std::weak_ptr<HttpPool> aPool, HttpCall aCall, Done aDone)
    : pool(std::move(aPool))
    , call(std::move(aCall))
    , done(std::move(aDone))
  {
  }

  void cancel() override;

  std::weak_ptr<HttpPool> pool;
  HttpCall call;
  Done done; ///< empty once called or cancelled
  std::weak_ptr<HttpConnection> connection;
};

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
    , m_idleLimit(aPool->m_settings.idleTime)
  {
  }

  void connect(const asio::ip::tcp::endpoint& aEndpoint)
  {
    m_timer.expires_after(m_settings.connectTime);
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

  /// Carries a request; it waits for the connection when that isn't open yet.
  void carry(const HttpPool::TicketPtr& aTicket)
  {
    m_ticket = aTicket;
    aTicket->connection = weak_from_this();
    if (m_open) {
      write();
    }
  }

  void close(ExchangeEnd aEnd, const char* aReason)
  {
    if (m_closed) {
      return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    const auto ticket = std::move(m_ticket);
    m_ticket = nullptr;
    const auto pool = m_pool.lock();
    if (!pool) {
      return;
    }
    if (ticket) {
      ExchangeResult result;
      result.end = aEnd;
      result.reason = aReason;
      result.reused = m_served > 0;
      pool->finish(ticket, std::move(result));
    }
    pool->onClosed(shared_from_this());
  }

  /// The ticket was cancelled: without it the connection has no use.
  void drop()
  {
    m_ticket = nullptr;
    close(ExchangeEnd::Broken, "cancelled");
  }

  /// @returns true when the connection may carry another request
  bool isFresh(TimePoint aNow) const
  {
    return m_open && !m_closed && aNow - m_freeSince < m_idleLimit;
  }

private:
  using Parser = http::response_parser<http::string_body>;

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
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
        static_cast<int>(m_settings.silentTime.count())),
      ignored);
    read();
    if (m_ticket) {
      write();
    } else {
      becomeFree();
    }
  }

  void write()
  {
    beginResponse();
    m_skipped = 0;
    m_sending = m_ticket;
    m_ticket->call.head = headAt(m_ticket->call, m_clock.now());
    const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(m_ticket->call.head), asio::buffer(m_ticket->call.body)
    };
    m_wrote = false;
    m_writing = true;
    // Small requests go out at once; async_write would cost a pass through
    // the reactor for each.
    asio::async_write(
      m_socket,
      buffers,
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t aBytes) {
        self->m_writing = false;
        self->m_sending = nullptr;
        if (self->m_closed) {
          return;
        }
        if (aBytes > 0) {
          self->m_wrote = true;
        }
        if (aError) {
          self->close(self->m_wrote ? ExchangeEnd::Broken
                                    : ExchangeEnd::NotSent,
                      "write failed");
        }
      });
  }

  void beginResponse()
  {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_settings.headerBytes));
    m_parser->body_limit(m_settings.bodyBytes);
    if (m_ticket) {
      m_parser->skip(m_ticket->call.isHead);
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
      onEnd(aError);
      return;
    }
    m_buffer.commit(aBytes);
    if (!m_ticket) {
      close(ExchangeEnd::Malformed, "bytes without a request");
      return;
    }
    if (parse()) {
      read();
    }
  }

  /// The server closed the connection, which also ends a response that has no
  /// length. A reset never completes one.
  void onEnd(const boost::system::error_code& aError)
  {
    if (m_ticket && aError == asio::error::eof && m_parser->got_some() &&
        m_parser->need_eof()) {
      boost::system::error_code error;
      m_parser->put_eof(error);
      if (!error && m_parser->is_done()) {
        m_lastUse = true;
        finishResponse();
        return;
      }
    }
    // Bytes may be in the send buffer even when the write hasn't reported.
    close(ExchangeEnd::Broken, "connection closed");
  }

  /// @returns true when the connection reads on
  bool parse()
  {
    while (m_ticket && m_buffer.size() > 0) {
      boost::system::error_code error;
      const std::size_t used = m_parser->put(m_buffer.data(), error);
      m_buffer.consume(used);
      if (error == http::error::need_more) {
        return true;
      }
      if (error) {
        close(ExchangeEnd::Malformed, "no response");
        return false;
      }
      if (m_parser->is_done() && !finishResponse()) {
        return false;
      }
    }
    if (!m_ticket && m_buffer.size() > 0) {
      close(ExchangeEnd::Malformed, "bytes after the response");
    }
    return !m_closed;
  }

  /// @returns false when the connection has ended
  bool finishResponse()
  {
    HttpResponse response = m_parser->release();
    if (response.result_int() / 100 == 1) {
      beginResponse();
      return true;
    }
    const HttpCall& call = m_ticket->call;
    if (!call.idHeader.empty()) {
      const std::string_view id = headerValue(response.base(), call.idHeader);
      if (!id.empty() && id != call.id) {
        m_lastUse = true;
        if (++m_skipped > kMaxSkipped || !response.keep_alive()) {
          close(ExchangeEnd::Malformed, "response to another request");
          return false;
        }
        beginResponse();
        return true;
      }
    }
    m_lastUse |= !response.keep_alive() || m_writing || m_buffer.size() > 0;
    if (const auto idle = announcedIdle(response.base())) {
      m_idleLimit = *idle > kIdleMargin ? *idle - kIdleMargin : milliseconds(0);
    }
    ExchangeResult result;
    result.end = ExchangeEnd::Answered;
    result.response = std::move(response);
    result.reused = m_served > 0;
    ++m_served;
    const auto ticket = std::move(m_ticket);
    m_ticket = nullptr;
    const auto pool = m_pool.lock();
    const auto self = shared_from_this();
    if (m_lastUse) {
      close(ExchangeEnd::Broken, "last use");
    } else {
      becomeFree();
    }
    if (pool) {
      pool->finish(ticket, std::move(result));
    }
    return !m_closed;
  }

  void becomeFree()
  {
    m_freeSince = m_clock.now();
    if (const auto pool = m_pool.lock()) {
      pool->onFree(shared_from_this());
    }
  }

  std::weak_ptr<HttpPool> m_pool;
  const ClockI& m_clock;
  Socket m_socket;
  asio::steady_timer m_timer;
  HttpClientSettings m_settings;
  Duration m_idleLimit;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  HttpPool::TicketPtr m_ticket;
  HttpPool::TicketPtr m_sending; ///< owns the buffers of a write in progress
  TimePoint m_freeSince;
  std::uint64_t m_served = 0;
  unsigned m_skipped = 0;
  bool m_open = false;
  bool m_closed = false;
  bool m_writing = false;
  bool m_wrote = false;
  bool m_lastUse = false;
};

void
HttpPool::Ticket::cancel()
{
  if (!done) {
    return;
  }
  done = nullptr;
  if (const auto carrier = connection.lock()) {
    carrier->drop();
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
  , m_settings(aSettings)
{
}

HttpPool::~HttpPool() = default;

HttpTicketPtr
HttpPool::send(HttpCall aCall, Done aDone)
{
  auto ticket = std::make_shared<Ticket>(
    weak_from_this(), std::move(aCall), std::move(aDone));
  m_queue.push_back(ticket);
  dispatch();
  return ticket;
}

HttpPool::ConnectionPtr
HttpPool::takeIdle()
{
  const TimePoint now = m_clock.now();
  while (!m_idle.empty()) {
    ConnectionPtr connection = std::move(m_idle.back());
    m_idle.pop_back();
    if (connection->isFresh(now)) {
      return connection;
    }
    connection->close(ExchangeEnd::Broken, "idle too long");
  }
  return nullptr;
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
HttpPool::warm()
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
      if (m_connections.size() >=
          std::max<std::size_t>(1, m_settings.connections)) {
        break;
      }
      connection = open();
    }
    const TicketPtr ticket = m_queue.front();
    m_queue.pop_front();
    connection->carry(ticket);
  }
  m_dispatching = false;
}

void
HttpPool::onFree(const ConnectionPtr& aConnection)
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
HttpPool::finish(const TicketPtr& aTicket, ExchangeResult aResult)
{
  if (!aTicket->done) {
    return;
  }
  const Done done = std::move(aTicket->done);
  aTicket->done = nullptr;
  done(std::move(aResult));
}

void
HttpPool::retire()
{
  m_retired = true;
  const std::vector<ConnectionPtr> idle(m_idle);
  for (const ConnectionPtr& connection : idle) {
    connection->close(ExchangeEnd::Broken, "retired");
  }
}

} // namespace toucanridge
