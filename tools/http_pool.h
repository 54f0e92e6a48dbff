#ifndef TOUCANRIDGE_HTTP_POOL_H
#define TOUCANRIDGE_HTTP_POOL_H

/// Keep-alive HTTP client connections of the load tools; single-threaded.

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

struct HttpReply
{
  bool connected = false; ///< the request may have been written
  bool ok = false;        ///< a whole response was read
  unsigned status = 0;
  std::string body;
};

/// Sends each request on an idle connection of its address, or on a new one.
class HttpPool
{
public:
  using Done = std::function<void(HttpReply)>;

  explicit HttpPool(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  /// @param[in] aAddress "address:port"
  /// @param[in] aDone called once, after aTimeout at the latest
  void send(const std::string& aAddress,
            HttpRequest aRequest,
            std::chrono::milliseconds aTimeout,
            Done aDone)
  {
    aRequest.set(http::field::host, aAddress);
    aRequest.keep_alive(true);
    aRequest.prepare_payload();
    auto& idle = m_idle[aAddress];
    ConnectionPtr connection;
    while (!idle.empty() && !connection) {
      connection = std::move(idle.back());
      idle.pop_back();
      if (isClosed(*connection)) {
        connection.reset();
      }
    }
    auto call = std::make_shared<Call>();
    call->address = aAddress;
    call->request = std::move(aRequest);
    call->done = std::move(aDone);
    if (connection) {
      call->connection = connection;
      connection->stream.expires_after(aTimeout);
      write(call);
      return;
    }
    call->connection = std::make_shared<Connection>(m_context);
    const auto colon = aAddress.rfind(':');
    beast::error_code error;
    const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(aAddress.substr(0, colon), error),
      static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
    call->connection->stream.expires_after(aTimeout);
    call->connection->stream.async_connect(
      endpoint, [this, call](beast::error_code aError) {
        if (aError) {
          call->done({});
          return;
        }
        beast::error_code ignored;
        call->connection->stream.socket().set_option(
          asio::ip::tcp::no_delay(true), ignored);
        write(call);
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
  struct Call
  {
    std::string address;
    ConnectionPtr connection;
    HttpRequest request;
    http::response<http::string_body> response;
    Done done;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// An idle connection is readable only when the peer has closed it.
  static bool isClosed(Connection& aConnection)
  {
    auto& socket = aConnection.stream.socket();
    beast::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
  }

  void write(const CallPtr& aCall)
  {
    http::async_write(aCall->connection->stream,
                      aCall->request,
                      [this, aCall](beast::error_code aError, std::size_t) {
                        if (aError) {
                          end(aCall, false);
                        } else {
                          read(aCall);
                        }
                      });
  }

  void read(const CallPtr& aCall)
  {
    http::async_read(aCall->connection->stream,
                     aCall->connection->buffer,
                     aCall->response,
                     [this, aCall](beast::error_code aError, std::size_t) {
                       end(aCall, !aError);
                     });
  }

  void end(const CallPtr& aCall, bool aOk)
  {
    HttpReply reply;
    reply.connected = true;
    reply.ok = aOk;
    reply.status = aCall->response.result_int();
    reply.body = std::move(aCall->response.body());
    if (aOk && aCall->response.keep_alive()) {
      aCall->connection->stream.expires_never();
      m_idle[aCall->address].push_back(aCall->connection);
    }
    aCall->done(std::move(reply));
  }

  asio::io_context& m_context;
  std::map<std::string, std::vector<ConnectionPtr>> m_idle;
};

} // namespace toucanridge::load

#endif // TOUCANRIDGE_HTTP_POOL_H
