#ifndef TOUCANRIDGE_HTTP_SERVER_P_H
#define TOUCANRIDGE_HTTP_SERVER_P_H

/// HTTP/1.1 server on one io_context: kept connections, bounded requests, and
/// word of callers that leave before their answer.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "clock_p.h"
#include "http_message_p.h"

namespace toucanridge {

/// What a caller may send, and how long it may take.
struct HttpLimits
{
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 1048576;
  /// From the first byte of a request to its end.
  std::chrono::milliseconds requestTime{ 10'000 };
  /// Without a request; the connection is closed then.
  std::chrono::milliseconds idleTime{ 60'000 };
  /// A caller that takes nothing of an answer for this long is cut off.
  std::chrono::milliseconds writeTime{ 15'000 };
  std::size_t connections = 3000;
};

/// One request and its answer. All calls on the server's io_context.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// @returns when the request was complete
  virtual TimePoint receivedAt() const = 0;
  /// @returns true for the first request of its connection
  virtual bool isFirst() const = 0;
  /// Called when a request ends without reply(), with the status that the
  /// server answered instead; 0 when the caller left.
  using Abandoned = std::function<void(unsigned aStatus)>;
  virtual void onAbandoned(Abandoned aCall) = 0;
  /// Answers; later calls do nothing.
  virtual void reply(HttpResponse aResponse) = 0;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

class HttpSession;

class HttpServer
{
public:
  using Handler = std::function<void(const HttpExchangePtr&)>;

  HttpServer(boost::asio::io_context& aContext,
             const ClockI& aClock,
             Handler aHandler);
  ~HttpServer();

  /// Listens on an address.
  /// @returns an error when the address can't be bound
  std::error_code init(const std::string& aAddress, std::uint16_t aPort);
  void setLimits(const HttpLimits& aLimits) { m_limits = aLimits; }
  /// From now on each answer ends its connection.
  void drain() { m_draining = true; }
  /// Closes connections without a request in flight.
  void closeIdle();
  /// Answers every request that has no answer yet in place of its handler.
  void answerRunning(const HttpResponse& aResponse);
  /// Stops accepting new connections.
  void stopAccepting();
  /// Ends every connection.
  void shutdown();

  /// @returns requests whose answer isn't written yet
  std::size_t running() const { return m_running; }
  std::size_t connections() const { return m_sessions.size(); }
  std::uint64_t malformed() const { return m_malformed; }

private:
  friend class HttpSession;

  /// @returns a copy, as a session may end while it is visited
  std::vector<std::shared_ptr<HttpSession>> sessions() const;
  void accept();
  void sweepLater();

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  Handler m_handler;
  HttpLimits m_limits;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_sweep;
  boost::asio::steady_timer m_retry; ///< after accept failed
  std::unordered_set<std::shared_ptr<HttpSession>> m_sessions;
  std::size_t m_running = 0;
  std::uint64_t m_malformed = 0;
  bool m_draining = false;
  bool m_stopped = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_HTTP_SERVER_P_H
