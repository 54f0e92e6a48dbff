#ifndef TOUCANRIDGE_HTTP_CLIENT_P_H
#define TOUCANRIDGE_HTTP_CLIENT_P_H

/// One HTTP/1.1 client connection, and a bounded pool of them to one address.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "clock_p.h"
#include "http_message_p.h"

namespace toucanridge {

/// @returns the endpoint of "address:port", nothing when it can't be read
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string& aText);

/// How an exchange with a server ended.
enum class ExchangeEnd : std::uint8_t
{
  Answered,      ///< a complete response arrived
  ConnectFailed, ///< no connection; nothing was sent
  NotSent,       ///< the connection ended before a byte was written
  Broken,        ///< the connection ended after the request was written
  Malformed,     ///< bytes arrived that are no answer to this request
};

struct ExchangeResult
{
  ExchangeEnd end = ExchangeEnd::ConnectFailed;
  HttpResponse response;   ///< when answered
  const char* reason = ""; ///< when not answered
  bool reused = false;     ///< on a connection that had served before
};

struct HttpClientSettings
{
  std::size_t connections = 4; ///< open at the same time
  /// An address that takes longer isn't reachable: 200 times the way within a
  /// region.
  std::chrono::milliseconds connectTime{ 700 };
  /// Unacknowledged data ends a connection after this long, in the kernel.
  std::chrono::milliseconds silentTime{ 3000 };
  /// A connection that was idle for longer is replaced; the server's own
  /// announced time, less a second, goes first.
  std::chrono::milliseconds idleTime{ 20'000 };
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 4194304;
};

/// A request to send. `id` is compared with the `idHeader` of the response
/// when both are set; responses to other requests are skipped.
struct HttpCall
{
  std::string head; ///< request line and headers, with the empty line
  std::string body;
  bool isHead = false;
  std::string idHeader;
  std::string id;
  /// Header that tells the milliseconds left until the deadline, none when
  /// empty. A request may wait for a connection, so it is written last.
  std::string deadlineHeader;
  TimePoint deadline;
};

/// @returns the head of a request that is written now
std::string
headAt(const HttpCall& aCall, TimePoint aNow);

class HttpPool;

/// One request on its way; see HttpPool::send.
class HttpTicketI
{
public:
  virtual ~HttpTicketI() = default;
  /// Gives the request up and closes its connection. Its callback isn't
  /// called any more.
  virtual void cancel() = 0;
};
using HttpTicketPtr = std::shared_ptr<HttpTicketI>;

class HttpConnection;

/// Connections to one address; all calls on one io_context's thread.
class HttpPool : public std::enable_shared_from_this<HttpPool>
{
public:
  using Done = std::function<void(ExchangeResult)>;

  HttpPool(boost::asio::io_context& aContext,
           const ClockI& aClock,
           boost::asio::ip::tcp::endpoint aEndpoint,
           HttpClientSettings aSettings);
  ~HttpPool();

  /// Sends a request on an idle connection, on a new one, or, at the limit, on
  /// the first that becomes free.
  /// @param[in] aDone called once from the io_context, never from within send
  HttpTicketPtr send(HttpCall aCall, Done aDone);

  void setConnections(std::size_t aLimit) { m_settings.connections = aLimit; }
  /// Opens a connection when there is none, so that the first request needn't
  /// wait for one.
  void warm();
  /// Closes idle connections; those in use close when they are done.
  void retire();
  /// @returns connections that exist, and requests that wait for one
  std::size_t size() const { return m_connections.size(); }
  std::size_t waiting() const { return m_queue.size(); }
  std::uint64_t opened() const { return m_opened; }

private:
  friend class HttpConnection;
  class Ticket;
  using TicketPtr = std::shared_ptr<Ticket>;
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  void dispatch();
  ConnectionPtr open();
  ConnectionPtr takeIdle();
  void onFree(const ConnectionPtr& aConnection);
  void onClosed(const ConnectionPtr& aConnection);
  void finish(const TicketPtr& aTicket, ExchangeResult aResult);

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  boost::asio::ip::tcp::endpoint m_endpoint;
  HttpClientSettings m_settings;
  std::vector<ConnectionPtr> m_connections;
  std::vector<ConnectionPtr> m_idle; ///< most recently used last
  std::deque<TicketPtr> m_queue;
  std::uint64_t m_opened = 0;
  bool m_retired = false;
  bool m_dispatching = false; ///< a close within dispatch must not nest
};

} // namespace toucanridge

#endif // TOUCANRIDGE_HTTP_CLIENT_P_H
