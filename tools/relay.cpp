/// Relay between nodes for tests of cut networks. It listens on the published
/// peer addresses, forwards TCP and UDP to the nodes' real addresses, and can
/// cut pairs in one direction, or let open connections go silent while new
/// ones work. Nodes are told apart by their source address.

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

/// Cut pairs, by the nodes' real addresses. All work runs on one thread.
struct Network
{
  std::set<std::pair<std::string, std::string>> cuts; ///< from, to
  std::uint64_t generation = 0; ///< connections older than this are silent

  bool isCut(const std::string& aFrom, const std::string& aTo) const
  {
    return cuts.count({ aFrom, aTo }) != 0;
  }
};

/// One direction of a forwarded connection. While its pair is cut it neither
/// reads nor closes, as a network that drops packets.
class Pump : public std::enable_shared_from_this<Pump>
{
public:
  Pump(Network& aNetwork,
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

  void read()
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
      return; // silent for good; the sockets stay open until the peers close
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
          self->read();
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

/// The published address of one node.
class Door : public std::enable_shared_from_this<Door>
{
public:
  Door(asio::io_context& aContext,
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
    receive();
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

  void connect(const std::shared_ptr<tcp::socket>& aCaller)
  {
    Error error;
    const std::string source =
      aCaller->remote_endpoint(error).address().to_string();
    const std::string target = m_real.to_string();
    auto node = std::make_shared<tcp::socket>(m_context);
    node->async_connect(
      { m_real, m_port },
      [self = shared_from_this(), aCaller, node, source, target](
        const Error& aError) {
        if (aError) {
          Error ignored;
          aCaller->close(ignored);
          return;
        }
        Error ignored;
        aCaller->set_option(tcp::no_delay(true), ignored);
        node->set_option(tcp::no_delay(true), ignored);
        std::make_shared<Pump>(self->m_network, aCaller, node, source, target)
          ->read();
        std::make_shared<Pump>(self->m_network, node, aCaller, target, source)
          ->read();
      });
  }

  /// The sender's socket towards this node, so that answers find their way.
  std::shared_ptr<udp::socket> back(const udp::endpoint& aSender)
  {
    auto& found = m_back[aSender];
    if (!found) {
      found =
        std::make_shared<udp::socket>(m_context, udp::endpoint(m_published, 0));
      returnPath(found, aSender);
    }
    return found;
  }

  void returnPath(const std::shared_ptr<udp::socket>& aSocket,
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
        self->returnPath(aSocket, aSender);
      });
  }

  void receive()
  {
    m_udp.async_receive_from(
      asio::buffer(m_datagram),
      m_sender,
      [self = shared_from_this()](const Error& aError, std::size_t aSize) {
        if (!aError &&
            !self->m_network.isCut(self->m_sender.address().to_string(),
                                   self->m_real.to_string())) {
          Error ignored;
          self->back(self->m_sender)
            ->send_to(asio::buffer(self->m_datagram.data(), aSize),
                      { self->m_real, self->m_port },
                      0,
                      ignored);
        }
        self->receive();
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
  std::map<udp::endpoint, std::shared_ptr<udp::socket>> m_back;
};

/// Reads commands, one a line: `cut FROM TO`, `heal`, `silence`.
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
      std::string verb;
      std::string from;
      std::string to;
      words >> verb >> from >> to;
      if (verb == "cut") {
        aNetwork.cuts.insert({ from, to });
      } else if (verb == "heal") {
        aNetwork.cuts.clear();
      } else if (verb == "silence") {
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
      std::make_shared<Door>(context,
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
