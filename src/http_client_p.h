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

#include "buffer_budget_p.h"
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
  Broken,        ///< the connection ended after a byte may have been written
  Malformed,     ///< bytes arrived that are no response to this request
};

struct ExchangeResult
{
  ExchangeEnd end = ExchangeEnd::ConnectFailed;
  HttpResponse response;   ///< when answered
  const char* reason = ""; ///< when not answered
  /// When broken: the server closed or reset the connection; it wasn't a
  /// time-out.
  bool closedByServer = false;
  bool reused = false; ///< the connection had answered earlier requests
};

/// Limits the connections of many pools together. The first connection of each
/// pool is always opened.
struct ConnectionLimit
{
  std::size_t most = 0;
  std::size_t open = 0;
};

struct HttpClientSettings
{
  std::size_t connections = 4; ///< open at the same time
  /// An attempt to connect fails after this time, 200 times the network delay
  /// within a region.
  std::chrono::milliseconds connectTimeout{ 700 };
  /// The kernel closes a connection whose data stays unacknowledged for longer
  /// (TCP_USER_TIMEOUT).
  std::chrono::milliseconds unackedTimeout{ 3000 };
  /// A connection that was idle for longer is replaced. A keep-alive timeout
  /// that the server announces, less a second, takes precedence.
  std::chrono::milliseconds idleTime{ 20'000 };
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 4194304;
  /// Called when a connection was established; may be null.
  std::function<void()> onConnected;
  /// Limits the responses that all connections are receiving; null: no limit.
  std::shared_ptr<BufferBudget> budget;
  /// Shared by pools of the same thread; null: no limit.
  std::shared_ptr<ConnectionLimit> limit;
};

/// A request to send. If `idHeader` is set, it names a response header. A
/// response in which that header is present and differs from `id` belongs to
/// another request and is skipped.
struct HttpCall
{
  std::string head;          ///< request line and headers, with the empty line
  SharedBody body;           ///< null: none
  bool isHeadMethod = false; ///< the method is HEAD; its response has no body
  std::string idHeader;
  std::string id;
  /// Name of the header with the milliseconds left until the deadline; empty:
  /// no such header. Its value is computed when the request is written, because
  /// the request may have to wait for a connection.
  std::string deadlineHeader;
  TimePoint deadline;
};

/// @returns the head of a request that is written at aNow, with its deadline
///          header if it has one
std::string
headWithDeadline(const HttpCall& aCall, TimePoint aNow);

class HttpPool;

/// A request that has not ended; see HttpPool::send.
class HttpPendingCallI
{
public:
  virtual ~HttpPendingCallI() = default;
  /// Abandons the request and closes the connection that it uses, if any. Its
  /// callback isn't called afterwards.
  virtual void cancel() = 0;
};
using HttpPendingCallPtr = std::shared_ptr<HttpPendingCallI>;

class HttpConnection;

/// Connections to one address. Use it only on the io_context's thread.
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
  HttpPendingCallPtr send(HttpCall aCall, Done aDone);

  void setConnections(std::size_t aLimit) { m_settings.connections = aLimit; }
  /// Opens a connection when there is none, so that the first request needn't
  /// wait for one.
  void preconnect();
  /// Closes the connections without a request.
  void closeIdle();
  /// Closes idle connections; those in use close when they are done.
  void retire();
  /// @returns the number of connections, including those being opened
  std::size_t size() const { return m_connections.size(); }
  /// @returns the number of requests that wait for a connection
  std::size_t waiting() const { return m_queue.size(); }
  /// @returns the number of connections opened so far
  std::uint64_t opened() const { return m_opened; }

private:
  friend class HttpConnection;
  class PendingCall;
  using PendingCallPtr = std::shared_ptr<PendingCall>;
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  void dispatch();
  bool mayOpen() const;
  ConnectionPtr open();
  ConnectionPtr takeIdle();
  void onIdle(const ConnectionPtr& aConnection);
  void onClosed(const ConnectionPtr& aConnection);
  void finish(const PendingCallPtr& aPendingCall, ExchangeResult aResult);

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  boost::asio::ip::tcp::endpoint m_endpoint;
  HttpClientSettings m_settings;
  std::vector<ConnectionPtr> m_connections;
  std::vector<ConnectionPtr> m_idle; ///< most recently used last
  std::deque<PendingCallPtr> m_queue;
  std::uint64_t m_opened = 0;
  bool m_retired = false;
  bool m_dispatching = false; ///< prevents recursion when a connection closes
};

} // namespace toucanridge

#endif // TOUCANRIDGE_HTTP_CLIENT_P_H
