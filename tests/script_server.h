#ifndef TOUCANRIDGE_SCRIPT_SERVER_H
#define TOUCANRIDGE_SCRIPT_SERVER_H

/// An HTTP server for tests that follows a script and counts connections and
/// requests.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <poll.h>

class ScriptServer
{
public:
  using tcp = boost::asio::ip::tcp;

  /// What to do with a request.
  struct Step
  {
    std::string reply;  ///< raw bytes, may be empty
    bool close = false; ///< close the connection after the reply
  };
  /// @param aRequest number of the request, from 0 over all connections
  /// @param aText head and body of the request
  using Script =
    std::function<Step(std::size_t aRequest, const std::string& aText)>;

  ScriptServer(const std::string& aAddress, Script aScript)
    : m_script(std::move(aScript))
    , m_acceptor(m_context,
                 tcp::endpoint(boost::asio::ip::make_address(aAddress), 0))
    , m_name(aAddress + ":" +
             std::to_string(m_acceptor.local_endpoint().port()))
    , m_thread([this] { acceptConnections(); })
  {
  }

  ~ScriptServer()
  {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
      for (Connection& connection : m_connections) {
        shutdownSocket(connection.socket.native_handle());
      }
    }
    shutdownSocket(m_acceptor.native_handle());
    m_thread.join();
    for (std::thread& worker : m_workers) {
      worker.join();
    }
  }

  ScriptServer(const ScriptServer&) = delete;
  ScriptServer& operator=(const ScriptServer&) = delete;

  const std::string& name() const { return m_name; }
  std::size_t requests() const { return locked(m_requests); }
  std::size_t accepted() const { return locked(m_accepted); }
  std::size_t open() const { return locked(m_open); }
  std::size_t peakOpen() const { return locked(m_peakOpen); }

  static std::string header(const std::string& aHead, const std::string& aName)
  {
    const std::size_t at = aHead.find("\r\n" + aName + ":");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from =
      aHead.find_first_not_of(' ', at + aName.size() + 3);
    return aHead.substr(from, aHead.find("\r\n", from) - from);
  }

  /// A 200 reply that echoes the headers of the request.
  static std::string echo(const std::string& aHead, const std::string& aBody)
  {
    return reply(header(aHead, "Request-Id"), header(aHead, "Attempt"), aBody);
  }

  static std::string reply(const std::string& aId,
                           const std::string& aAttempt,
                           const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
           "\r\nAttempt: " + aAttempt +
           "\r\nSnapshot: 7\r\nIncarnation: 5\r\n"
           "Content-Type: text/plain; charset=utf-8\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

private:
  struct Connection
  {
    tcp::socket socket;
    bool ended = false;
  };

  /// The peer's close is read from the socket, because the thread that serves
  /// the connection may detect it late.
  /// @returns the number of connections that neither side has closed
  std::size_t countOpenOnBothSides()
  {
    std::size_t count = 0;
    for (Connection& connection : m_connections) {
      pollfd poll{ connection.socket.native_handle(), POLLRDHUP, 0 };
      const bool closed = ::poll(&poll, 1, 0) > 0;
      count += connection.ended || closed ? 0 : 1;
    }
    return count;
  }

  static void shutdownSocket(int aHandle) { ::shutdown(aHandle, SHUT_RDWR); }

  std::size_t locked(const std::size_t& aValue) const
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return aValue;
  }

  void acceptConnections()
  {
    while (true) {
      boost::system::error_code error;
      tcp::socket socket(m_context);
      m_acceptor.accept(socket, error);
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (error || m_stopping) {
        return;
      }
      m_connections.push_back({ std::move(socket) });
      ++m_accepted;
      ++m_open;
      m_peakOpen = std::max(m_peakOpen, countOpenOnBothSides());
      m_workers.emplace_back(
        [this, accepted = &m_connections.back()] { serve(*accepted); });
    }
  }

  void serve(Connection& aConnection)
  {
    tcp::socket& socket = aConnection.socket;
    boost::system::error_code error;
    std::string data;
    while (!error) {
      const std::size_t size = boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(data), "\r\n\r\n", error);
      if (error) {
        break;
      }
      const std::string head = data.substr(0, size);
      data.erase(0, size);
      const std::string length = header(head, "Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      if (data.size() < body) {
        boost::asio::read(socket,
                          boost::asio::dynamic_buffer(data),
                          boost::asio::transfer_exactly(body - data.size()),
                          error);
        if (error) {
          break;
        }
      }
      const std::string text = head + data.substr(0, body);
      data.erase(0, body);
      std::size_t number = 0;
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        number = m_requests++;
      }
      const Step step = m_script(number, text);
      boost::asio::write(socket, boost::asio::buffer(step.reply), error);
      if (step.close) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_open;
    aConnection.ended = true;
    shutdownSocket(socket.native_handle());
  }

  Script m_script;
  boost::asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::string m_name;
  mutable std::mutex m_mutex;
  bool m_stopping = false;
  std::list<Connection> m_connections;
  std::vector<std::thread> m_workers;
  std::size_t m_requests = 0;
  std::size_t m_accepted = 0;
  std::size_t m_open = 0;
  std::size_t m_peakOpen = 0;
  std::thread m_thread; ///< last, as it uses the members above
};

#endif // TOUCANRIDGE_SCRIPT_SERVER_H
