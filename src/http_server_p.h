#ifndef TOUCANRIDGE_HTTP_SERVER_P_H
#define TOUCANRIDGE_HTTP_SERVER_P_H

/// HTTP/1.1 server on one io_context, with persistent connections, limits on
/// requests, and notification of callers that disconnect before their answer.

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

#include "buffer_budget_p.h"
#include "clock_p.h"
#include "http_message_p.h"
#include "log_limit_p.h"

namespace toucanridge {

/// Limits on the requests and connections of callers.
struct HttpLimits
{
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 1048576;
  /// Time from the first byte of a request to its last.
  std::chrono::milliseconds requestTime{ 10'000 };
  /// A connection without a request is closed after this time.
  std::chrono::milliseconds idleTime{ 60'000 };
  /// A connection is closed when writing an answer takes longer than this.
  std::chrono::milliseconds writeTime{ 15'000 };
  std::size_t connections = 3000;
};

/// @returns limits for a port whose requests have no bodies
HttpLimits
pageLimits(std::size_t aConnections);

/// One request and its answer. Use it only on the server's io_context.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// @returns the request, also for use after the exchange has ended
  virtual HttpRequestPtr sharedRequest() const = 0;
  /// Counts copies of the request that its handler makes, until the answer is
  /// written.
  /// @param[in] aHeads number of copies of the head
  /// @param[in] aBodies number of copies of the body
  /// @returns false when the host has no room for them; the handler then
  ///          refuses the request
  virtual bool reserveCopies(std::size_t aHeads, std::size_t aBodies) = 0;
  /// @returns when the request was complete
  virtual TimePoint receivedAt() const = 0;
  /// @returns true for the first request of its connection
  virtual bool isFirstOnConnection() const = 0;
  /// Called when a request ends without reply(), with the status that the
  /// server answered instead; 0 when the caller disconnected.
  using OnAbandoned = std::function<void(unsigned aStatus)>;
  virtual void setOnAbandoned(OnAbandoned aCall) = 0;
  /// Sends the answer. Later calls do nothing.
  virtual void reply(HttpResponse aResponse) = 0;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

class HttpSession;

/// What a server shares with the other ports of its host.
struct HttpServerResources
{
  /// Counts what connections hold; null: no limit.
  std::shared_ptr<BufferBudget> budget;
  /// Makes the answer to a request that is refused before its body is read, as
  /// the budget is nearly used up; null: a plain 503.
  std::function<HttpResponse()> makeRefusal;
};

/// Accepts connections and passes their requests to a handler, one at a time
/// per connection. Use it only on the io_context's thread.
class HttpServer
{
public:
  using Handler = std::function<void(const HttpExchangePtr&)>;

  HttpServer(boost::asio::io_context& aContext,
             const ClockI& aClock,
             Handler aHandler,
             HttpServerResources aResources = {});
  ~HttpServer();

  /// Listens on an address.
  /// @returns an error when the address can't be bound
  std::error_code init(const std::string& aAddress, std::uint16_t aPort);
  void setLimits(const HttpLimits& aLimits) { m_limits = aLimits; }
  /// From now on each connection is closed after its next answer.
  void drain() { m_draining = true; }
  /// Closes connections on which no request has begun.
  void closeIdle();
  /// Answers, in place of their handlers, all requests that have no answer yet.
  void answerRunning(const HttpResponse& aResponse);
  /// Stops accepting new connections.
  void stopAccepting();
  /// Ends every connection.
  void shutdown();

  /// @returns the number of requests whose answer isn't fully written
  std::size_t running() const { return m_running; }
  std::size_t connections() const { return m_sessions.size(); }
  std::uint64_t malformed() const { return m_malformed; }
  /// @returns the number of requests refused before their body was read
  std::uint64_t refusedUnread() const { return m_refusedUnread; }

private:
  friend class HttpSession;

  /// @returns a copy, because sessions that end during an iteration are removed
  std::vector<std::shared_ptr<HttpSession>> sessions() const;
  void accept();
  void addSession(boost::asio::ip::tcp::socket aSocket);
  bool endLongestIdle();
  HttpResponse makeRefusal() const;
  void scheduleTimeLimitCheck();

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  Handler m_handler;
  const HttpServerResources m_resources;
  LogRateLimiter m_logLimit;
  HttpLimits m_limits;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_timeLimitTimer;
  boost::asio::steady_timer m_acceptRetryTimer; ///< runs after a failed accept
  std::unordered_set<std::shared_ptr<HttpSession>> m_sessions;
  std::size_t m_running = 0;
  std::uint64_t m_malformed = 0;
  std::uint64_t m_refusedUnread = 0;
  bool m_draining = false;
  bool m_stopped = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_HTTP_SERVER_P_H
