#ifndef TOUCANRIDGE_HTTP_POOL_H
#define TOUCANRIDGE_HTTP_POOL_H

/// Pool of keep-alive HTTP client connections for the load tools. It may be
/// used from one thread only.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace toucanridge::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using HttpRequest = http::request<http::string_body>;

/// The result of one request.
struct HttpReply
{
  bool connected = false; ///< the request may have reached the server
  bool ok = false;        ///< a complete response was read
  unsigned status = 0;
  std::string body;
};

/// Sends each request on an idle connection to its address, or on a new one.
class HttpPool
{
public:
  using ReplyHandler = std::function<void(HttpReply)>;

  explicit HttpPool(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  /// Sends a request and reads its response.
  /// @param[in] aAddress "address:port"
  /// @param[in] aTimeout for connecting, sending and receiving together
  /// @param[in] aHandler called once, after aTimeout at the latest
  void send(const std::string& aAddress,
            HttpRequest aRequest,
            std::chrono::milliseconds aTimeout,
            ReplyHandler aHandler)
  {
    aRequest.set(http::field::host, aAddress);
    aRequest.keep_alive(true);
    aRequest.prepare_payload();
    auto& idle = m_idle[aAddress];
    ConnectionPtr connection;
    while (!idle.empty() && !connection) {
      connection = std::move(idle.back());
      idle.pop_back();
      if (isClosedByPeer(*connection)) {
        connection.reset();
      }
    }
    auto exchange = std::make_shared<Exchange>();
    exchange->address = aAddress;
    exchange->request = std::move(aRequest);
    exchange->handler = std::move(aHandler);
    if (connection) {
      exchange->connection = connection;
      connection->stream.expires_after(aTimeout);
      writeRequest(exchange);
      return;
    }
    exchange->connection = std::make_shared<Connection>(m_context);
    const auto colon = aAddress.rfind(':');
    beast::error_code error;
    const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(aAddress.substr(0, colon), error),
      static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
    exchange->connection->stream.expires_after(aTimeout);
    exchange->connection->stream.async_connect(
      endpoint, [this, exchange](beast::error_code aError) {
        if (aError) {
          exchange->handler({});
          return;
        }
        beast::error_code ignored;
        exchange->connection->stream.socket().set_option(
          asio::ip::tcp::no_delay(true), ignored);
        writeRequest(exchange);
      });
  }

private:
  struct Connection
  {
    explicit Connection(asio::io_context& aContext)
      : stream(aContext)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  /// A request that has not been answered yet.
  struct Exchange
  {
    std::string address;
    ConnectionPtr connection;
    HttpRequest request;
    http::response<http::string_body> response;
    ReplyHandler handler;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  /// @returns true when an idle connection is readable, which means that the
  ///          peer has closed it
  static bool isClosedByPeer(Connection& aConnection)
  {
    auto& socket = aConnection.stream.socket();
    beast::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
  }

  void writeRequest(const ExchangePtr& aExchange)
  {
    http::async_write(aExchange->connection->stream,
                      aExchange->request,
                      [this, aExchange](beast::error_code aError, std::size_t) {
                        if (aError) {
                          finish(aExchange, false);
                        } else {
                          readResponse(aExchange);
                        }
                      });
  }

  void readResponse(const ExchangePtr& aExchange)
  {
    http::async_read(aExchange->connection->stream,
                     aExchange->connection->buffer,
                     aExchange->response,
                     [this, aExchange](beast::error_code aError, std::size_t) {
                       finish(aExchange, !aError);
                     });
  }

  void finish(const ExchangePtr& aExchange, bool aOk)
  {
    HttpReply reply;
    reply.connected = true;
    reply.ok = aOk;
    reply.status = aExchange->response.result_int();
    reply.body = std::move(aExchange->response.body());
    if (aOk && aExchange->response.keep_alive()) {
      aExchange->connection->stream.expires_never();
      m_idle[aExchange->address].push_back(aExchange->connection);
    }
    aExchange->handler(std::move(reply));
  }

  asio::io_context& m_context;
  std::map<std::string, std::vector<ConnectionPtr>> m_idle;
};

} // namespace toucanridge::load

#endif // TOUCANRIDGE_HTTP_POOL_H
