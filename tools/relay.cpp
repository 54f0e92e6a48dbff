/// Relay between nodes for tests with network partitions. It listens on the
/// published peer addresses and forwards TCP and UDP to the nodes' real
/// addresses. It can cut the traffic from one node to another in one direction,
/// or stop forwarding on all open connections while new ones work. Nodes are
/// identified by their source address.

#include <array>
#include <cstdint>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <boost/program_options.hpp>

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using asio::ip::tcp;
using asio::ip::udp;
using Error = boost::system::error_code;

/// The simulated faults. All handlers run on one thread.
struct Network
{
  /// Cut directions, as the real addresses of sender and receiver.
  std::set<std::pair<std::string, std::string>> cuts;
  /// Incremented by `silence`; connections of earlier generations are stopped.
  std::uint64_t generation = 0;

  bool isCut(const std::string& aFrom, const std::string& aTo) const
  {
    return cuts.count({ aFrom, aTo }) != 0;
  }
};

/// Forwards one direction of a connection. While that direction is cut it
/// neither reads nor closes, which looks like a network that drops packets.
class StreamForwarder : public std::enable_shared_from_this<StreamForwarder>
{
public:
  StreamForwarder(Network& aNetwork,
                  std::shared_ptr<tcp::socket> aFrom,
                  std::shared_ptr<tcp::socket> aTo,
                  std::string aSource,
                  std::string aTarget)
    : m_network(aNetwork)
    , m_from(std::move(aFrom))
    , m_to(std::move(aTo))
    , m_timer(m_from->get_executor())
    , m_source(std::move(aSource))
    , m_target(std::move(aTarget))
    , m_generation(aNetwork.generation)
  {
  }

  void readNext()
  {
    m_from->async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const Error& aError, std::size_t aSize) {
        if (aError) {
          self->close();
        } else {
          self->forward(aSize);
        }
      });
  }

private:
  void forward(std::size_t aSize)
  {
    if (m_generation < m_network.generation) {
      // Stops for good. The sockets stay open until the other direction ends.
      return;
    }
    if (m_network.isCut(m_source, m_target)) {
      m_timer.expires_after(std::chrono::milliseconds(50));
      m_timer.async_wait([self = shared_from_this(), aSize](const Error&) {
        self->forward(aSize);
      });
      return;
    }
    asio::async_write(
      *m_to,
      asio::buffer(m_buffer.data(), aSize),
      [self = shared_from_this()](const Error& aError, std::size_t) {
        if (aError) {
          self->close();
        } else {
          self->readNext();
        }
      });
  }

  void close()
  {
    Error ignored;
    m_from->close(ignored);
    m_to->close(ignored);
  }

  Network& m_network;
  std::shared_ptr<tcp::socket> m_from;
  std::shared_ptr<tcp::socket> m_to;
  asio::steady_timer m_timer;
  std::string m_source;
  std::string m_target;
  std::uint64_t m_generation;
  std::array<char, 16384> m_buffer{};
};

/// Listens on the published address of one node and forwards to its real
/// address.
class NodeListener : public std::enable_shared_from_this<NodeListener>
{
public:
  NodeListener(asio::io_context& aContext,
               Network& aNetwork,
               const std::string& aPublished,
               const std::string& aReal,
               std::uint16_t aPort)
    : m_context(aContext)
    , m_network(aNetwork)
    , m_published(asio::ip::make_address(aPublished))
    , m_real(asio::ip::make_address(aReal))
    , m_port(aPort)
    , m_acceptor(aContext, { m_published, aPort })
    , m_udp(aContext, { m_published, aPort })
  {
  }

  void start()
  {
    acceptNext();
    receiveDatagram();
  }

private:
  void acceptNext()
  {
    m_acceptor.async_accept(
      [self = shared_from_this()](const Error& aError, tcp::socket aSocket) {
        if (!aError) {
          self->connect(std::make_shared<tcp::socket>(std::move(aSocket)));
        }
        self->acceptNext();
      });
  }

  void connect(const std::shared_ptr<tcp::socket>& aPeer)
  {
    Error error;
    const std::string source =
      aPeer->remote_endpoint(error).address().to_string();
    const std::string target = m_real.to_string();
    auto node = std::make_shared<tcp::socket>(m_context);
    node->async_connect(
      { m_real, m_port },
      [self = shared_from_this(), aPeer, node, source, target](
        const Error& aError) {
        if (aError) {
          Error ignored;
          aPeer->close(ignored);
          return;
        }
        Error ignored;
        aPeer->set_option(tcp::no_delay(true), ignored);
        node->set_option(tcp::no_delay(true), ignored);
        std::make_shared<StreamForwarder>(
          self->m_network, aPeer, node, source, target)
          ->readNext();
        std::make_shared<StreamForwarder>(
          self->m_network, node, aPeer, target, source)
          ->readNext();
      });
  }

  /// @returns the socket that forwards aSender's datagrams to the node; each
  ///          sender has its own, so that replies can be returned to it
  std::shared_ptr<udp::socket> replySocket(const udp::endpoint& aSender)
  {
    auto& socket = m_replySockets[aSender];
    if (!socket) {
      socket =
        std::make_shared<udp::socket>(m_context, udp::endpoint(m_published, 0));
      forwardReplies(socket, aSender);
    }
    return socket;
  }

  /// Forwards the node's datagrams on aSocket to aSender.
  void forwardReplies(const std::shared_ptr<udp::socket>& aSocket,
                      const udp::endpoint& aSender)
  {
    auto buffer = std::make_shared<std::array<char, 2048>>();
    auto from = std::make_shared<udp::endpoint>();
    aSocket->async_receive_from(
      asio::buffer(*buffer),
      *from,
      [self = shared_from_this(), aSocket, aSender, buffer, from](
        const Error& aError, std::size_t aSize) {
        if (!aError && !self->m_network.isCut(self->m_real.to_string(),
                                              aSender.address().to_string())) {
          Error ignored;
          self->m_udp.send_to(
            asio::buffer(buffer->data(), aSize), aSender, 0, ignored);
        }
        self->forwardReplies(aSocket, aSender);
      });
  }

  void receiveDatagram()
  {
    m_udp.async_receive_from(
      asio::buffer(m_datagram),
      m_sender,
      [self = shared_from_this()](const Error& aError, std::size_t aSize) {
        if (!aError &&
            !self->m_network.isCut(self->m_sender.address().to_string(),
                                   self->m_real.to_string())) {
          Error ignored;
          self->replySocket(self->m_sender)
            ->send_to(asio::buffer(self->m_datagram.data(), aSize),
                      { self->m_real, self->m_port },
                      0,
                      ignored);
        }
        self->receiveDatagram();
      });
  }

  asio::io_context& m_context;
  Network& m_network;
  asio::ip::address m_published;
  asio::ip::address m_real;
  std::uint16_t m_port;
  tcp::acceptor m_acceptor;
  udp::socket m_udp;
  udp::endpoint m_sender;
  std::array<char, 2048> m_datagram{};
  std::map<udp::endpoint, std::shared_ptr<udp::socket>> m_replySockets;
};

/// Reads commands from standard input, one per line: `cut FROM TO`, `heal`,
/// which ends all cuts, and `silence`, which stops all open connections.
void
readCommands(asio::posix::stream_descriptor& aInput,
             asio::streambuf& aBuffer,
             Network& aNetwork)
{
  asio::async_read_until(
    aInput, aBuffer, '\n', [&](const Error& aError, std::size_t) {
      if (aError) {
        std::exit(0); // the test that started the relay has ended
      }
      std::istream in(&aBuffer);
      std::string line;
      std::getline(in, line);
      std::istringstream words(line);
      std::string command;
      std::string from;
      std::string to;
      words >> command >> from >> to;
      if (command == "cut") {
        aNetwork.cuts.insert({ from, to });
      } else if (command == "heal") {
        aNetwork.cuts.clear();
      } else if (command == "silence") {
        ++aNetwork.generation;
      }
      readCommands(aInput, aBuffer, aNetwork);
    });
}

} // namespace

int
main(int aCount, char** aValues)
{
  po::options_description options("relay");
  options.add_options()("help", "print this help")(
    "map",
    po::value<std::vector<std::string>>()->required(),
    "PUBLISHED=REAL address of a node; may be repeated")(
    "port", po::value<std::uint16_t>()->required(), "peer port, TCP and UDP");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    asio::io_context context;
    Network network;
    for (const auto& pair : values["map"].as<std::vector<std::string>>()) {
      const auto equals = pair.find('=');
      std::make_shared<NodeListener>(context,
                                     network,
                                     pair.substr(0, equals),
                                     pair.substr(equals + 1),
                                     values["port"].as<std::uint16_t>())
        ->start();
    }
    asio::posix::stream_descriptor input(context, 0);
    asio::streambuf buffer;
    readCommands(input, buffer, network);
    context.run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "relay: " << error.what() << '\n';
    return 2;
  }
}
