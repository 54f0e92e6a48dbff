/// Hosts as processes whose clients don't behave: what a host holds for them
/// stays within its memory and descriptors, and it serves an ordinary request
/// afterwards. The limits are lowered so that a small crowd reaches them.

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <deque>
#include <iostream>
#include <optional>

#include <sys/resource.h>

#include "host_process.h"
#include "platform_fakes.h"
#include "wire_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr const char* kHost = "127.69.1.1";
constexpr const char* kNode = "127.69.1.2";
constexpr const char* kStore = "127.69.9.1";
constexpr std::uint16_t kDirectoryPort = 8100;
constexpr std::uint16_t kPagePort = 9464;
constexpr std::uint16_t kItemsPort = 7380;
constexpr std::uint16_t kRelayPort = 7381;
constexpr std::uint16_t kForwardPort = 7382;
constexpr std::uint16_t kNodePort = 8000;
constexpr std::uint16_t kNodePeerPort = 8001;

constexpr std::size_t kMemoryMegabytes = 64;
/// The project's own interface has no setting for its memory.
constexpr std::size_t kNodeMegabytes = 160;
constexpr std::size_t kDescriptors = 700;
constexpr std::size_t kCrowd = 160;
constexpr std::size_t kDescriptorCrowd = 300; ///< on each port
constexpr std::size_t kShards = 10;
constexpr std::size_t kBodyBytes = 250'000;
constexpr std::size_t kAnswerBytes = 2'000'000;
constexpr std::chrono::duration<int, std::milli> kWorkTime{
  100
}; ///< of a server
constexpr milliseconds kCrowdTime{ 4000 };
constexpr std::chrono::seconds kAnswerLimit{ 30 };

std::string
head(const std::string& aLine, const std::string& aFields)
{
  return aLine +
         " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c\r\n"
         "Deadline-Ms: 1500\r\n" +
         aFields + "\r\n";
}

std::string
post(const std::string& aPath,
     std::size_t aBytes,
     const std::string& aFields = {})
{
  return head("POST " + aPath,
              aFields + "Content-Length: " + std::to_string(aBytes) + "\r\n") +
         std::string(aBytes, 'b');
}

/// @returns a frame of the protocol between hosts, without its last byte
std::string
unfinishedFrame(MessageType aType, std::size_t aBytes)
{
  std::string frame;
  for (int i = 0; i < 4; ++i) {
    frame.push_back(static_cast<char>(aBytes >> (8 * i)));
  }
  frame.push_back(static_cast<char>(aType));
  return frame + std::string(aBytes - 1, 'f');
}

std::string
hello()
{
  const std::string payload = encode(Hello{ "crowd", 1 });
  std::string frame = unfinishedFrame(MessageType::Hello, payload.size());
  return frame.substr(0, 5) + payload;
}

/// Clients that send as fast as they are let and never read. Those whose
/// connection is closed connect again.
class Crowd
{
public:
  /// @param[in] aFirst sent once on each connection
  /// @param[in] aRepeated sent again and again after it; may be empty
  Crowd(const std::string& aAddress,
        std::uint16_t aPort,
        std::size_t aSize,
        std::string aFirst,
        std::string aRepeated)
    : m_endpoint(boost::asio::ip::make_address(aAddress), aPort)
    , m_first(std::move(aFirst))
    , m_repeated(std::move(aRepeated))
    , m_thread([this, aSize] { run(aSize); })
  {
  }
  ~Crowd()
  {
    m_stop = true;
    m_thread.join();
  }

private:
  struct Client
  {
    explicit Client(boost::asio::io_context& aContext)
      : socket(aContext)
    {
    }
    tcp::socket socket;
    bool sentFirst = false;
    std::size_t offset = 0;
  };

  void connect(Client& aClient) const
  {
    boost::system::error_code error;
    aClient.socket.close(error);
    aClient.socket.open(tcp::v4(), error);
    aClient.socket.set_option(tcp::socket::receive_buffer_size(4096), error);
    aClient.socket.connect(m_endpoint, error);
    aClient.socket.non_blocking(true, error);
    aClient.sentFirst = m_first.empty();
    aClient.offset = 0;
  }

  /// @returns false when the connection is closed
  bool send(Client& aClient) const
  {
    boost::system::error_code error;
    while (!error) {
      const std::string& text = aClient.sentFirst ? m_repeated : m_first;
      if (text.empty()) {
        char byte = 0;
        aClient.socket.receive(
          boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        break;
      }
      aClient.offset += aClient.socket.write_some(
        boost::asio::buffer(text) + aClient.offset, error);
      if (aClient.offset == text.size()) {
        aClient.sentFirst = true;
        aClient.offset = 0;
      }
    }
    return !error || error == boost::asio::error::would_block;
  }

  void run(std::size_t aSize)
  {
    boost::asio::io_context context;
    std::deque<Client> clients;
    for (std::size_t i = 0; i < aSize; ++i) {
      clients.emplace_back(context);
    }
    while (!m_stop) {
      for (Client& client : clients) {
        if (!m_stop && (!client.socket.is_open() || !send(client))) {
          connect(client);
        }
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  const tcp::endpoint m_endpoint;
  const std::string m_first;
  const std::string m_repeated;
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
};

/// A platform host with a route to one server and one over shards.
struct PlatformHost
{
  PlatformHost()
    : store(servers, kStore, kStorePort)
    , large(servers,
            "l",
            "127.69.2.1",
            kServerPort,
            std::string(kAnswerBytes, 'a'))
    , small(servers, "s", "127.69.2.2", kServerPort, "good")
  {
    std::vector<TestRoute> routes{
      { "large", R"("route_type":"idempotent","service":"large")" },
      { "small", R"("route_type":"idempotent","service":"small")" }
    };
    store.put("servers/l", serverEntryText("large", "127.69.2.1", "dc-a"));
    store.put("servers/s", serverEntryText("small", "127.69.2.2", "dc-a"));
    std::string names;
    for (std::size_t i = 0; i < kShards; ++i) {
      const std::string name = "shard" + std::to_string(i);
      const std::string address = "127.69.3." + std::to_string(i + 1);
      shards.emplace_back(
        servers, name, address, kServerPort, std::string(16, 'r'));
      shards.back().delayMs = kWorkTime.count();
      store.put("servers/" + name, serverEntryText(name, address, "dc-a"));
      routes.push_back(
        { name, R"("route_type":"idempotent","service":")" + name + "\"" });
      names += (names.empty() ? "\"" : ",\"") + name + "\"";
    }
    routes.push_back({ "all",
                       R"("route_type":"idempotent","gather":[)" + names +
                         R"(],"top_k":5,"min_coverage":0.8)" });
    store.put("op/config", configurationText(routes, kCrowd));
    host.emplace(kHost,
                 kStore,
                 "limits.memory_mb=" + std::to_string(kMemoryMegabytes) +
                   "\nlimits.max_fds=" + std::to_string(kDescriptors) + "\n");
    CPPUNIT_ASSERT(host->waitUntilReady());
  }
  ~PlatformHost()
  {
    host.reset();
    // The servers' answers that are due refer to them.
    std::this_thread::sleep_for(2 * kWorkTime);
  }

  IoThread servers;
  FakeStore store;
  FakeServer large;
  FakeServer small;
  std::deque<FakeServer> shards;
  std::optional<HostProcess> host;
};

} // namespace

class HostileClientsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostileClientsTest);
  CPPUNIT_TEST(bodiesSentAheadToOneServer);
  CPPUNIT_TEST(bodiesSentAheadOverShards);
  CPPUNIT_TEST(unfinishedBodies);
  CPPUNIT_TEST(headsOfManyFields);
  CPPUNIT_TEST(unfinishedHeads);
  CPPUNIT_TEST(unreadAnswers);
  CPPUNIT_TEST(bodiesAtDirectoryAndPages);
  CPPUNIT_TEST(bodiesAtForwardPort);
  CPPUNIT_TEST(framesAtPeerPorts);
  CPPUNIT_TEST(idleConnectionsAtEveryPort);
  CPPUNIT_TEST(bodiesAtOwnInterface);
  CPPUNIT_TEST(framesAtOwnPeerPort);
  CPPUNIT_TEST(servesLargestRequestInCalm);
  CPPUNIT_TEST_SUITE_END();

public:
  void bodiesSentAheadToOneServer()
  {
    PlatformHost fleet;
    fleet.small.delayMs = kWorkTime.count();
    endure(fleet, { { kCallerPort, "", post("/small/x", kBodyBytes) } });
  }

  void bodiesSentAheadOverShards()
  {
    PlatformHost fleet;
    endure(fleet, { { kCallerPort, "", post("/all/x", kBodyBytes) } });
  }

  void unfinishedBodies()
  {
    PlatformHost fleet;
    std::string request = post("/small/x", 2 * kBodyBytes);
    request.pop_back();
    endure(fleet, { { kCallerPort, request, "" } });
  }

  void headsOfManyFields()
  {
    PlatformHost fleet;
    fleet.small.mode = FakeServer::Mode::Silent;
    std::string fields;
    for (int i = 0; i < 2400; ++i) {
      fields += "a:b\r\n";
    }
    endure(fleet, { { kCallerPort, "", head("GET /small/x", fields) } });
  }

  void unfinishedHeads()
  {
    PlatformHost fleet;
    endure(fleet,
           { { kCallerPort,
               head("GET /small/x", "A: " + std::string(15'000, 'a')),
               "" } });
  }

  void unreadAnswers()
  {
    PlatformHost fleet;
    endure(fleet, { { kCallerPort, "", head("GET /large/x", "") } });
  }

  void bodiesAtDirectoryAndPages()
  {
    PlatformHost fleet;
    const std::string body = post("/resolve", 1'000'000);
    endure(fleet,
           { { kDirectoryPort, "", body },
             { kReadinessPort, "", body },
             { kPagePort, "", body } });
  }

  void bodiesAtForwardPort()
  {
    PlatformHost fleet;
    endure(fleet, { { kForwardPort, "", post("/all/x", kBodyBytes) } });
  }

  void framesAtPeerPorts()
  {
    PlatformHost fleet;
    endure(fleet,
           { { kItemsPort,
               hello() + unfinishedFrame(MessageType::ItemsFetch, 1 << 20),
               "" },
             { kRelayPort,
               hello() + unfinishedFrame(MessageType::RelayQuery, 1 << 20),
               "" } });
  }

  void idleConnectionsAtEveryPort()
  {
    raiseDescriptorLimit();
    PlatformHost fleet;
    std::vector<Attack> attacks;
    for (const std::uint16_t port : { kCallerPort,
                                      kDirectoryPort,
                                      kReadinessPort,
                                      kPagePort,
                                      kItemsPort,
                                      kRelayPort,
                                      kForwardPort }) {
      attacks.push_back({ port, "", "", kDescriptorCrowd });
    }
    endure(fleet, attacks);
  }

  void bodiesAtOwnInterface()
  {
    const std::string body = post("/v1/query", 1'000'000);
    endureAtNode({ kNodePort, "", body });
  }

  void framesAtOwnPeerPort()
  {
    endureAtNode({ kNodePeerPort,
                   hello() + unfinishedFrame(MessageType::SubBatch, 4 << 20),
                   "" });
  }

  // Guards against limits that a client within the configured ones meets.
  void servesLargestRequestInCalm()
  {
    PlatformHost fleet;
    const std::string answer = fleet.host->exchange(
      kCallerPort, post("/all/x", 1 << 20, "Connection: close\r\n"));
    CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 200),
                           answer.find("HTTP/1.1 200") == 0);
  }

private:
  struct Attack
  {
    std::uint16_t port = 0;
    std::string first;
    std::string repeated;
    std::size_t crowd = kCrowd;
  };

  static void raiseDescriptorLimit()
  {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8192);
    CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &limit));
  }

  /// Runs the crowds against a host.
  static void attack(HostProcess& aHost,
                     const std::string& aAddress,
                     std::size_t aMegabytes,
                     const std::vector<Attack>& aAttacks)
  {
    std::size_t descriptors = 0;
    {
      std::deque<Crowd> crowds;
      for (const Attack& one : aAttacks) {
        crowds.emplace_back(
          aAddress, one.port, one.crowd, one.first, one.repeated);
      }
      const auto end = std::chrono::steady_clock::now() + kCrowdTime;
      while (std::chrono::steady_clock::now() < end && aHost.isRunning()) {
        descriptors = std::max(descriptors, aHost.openDescriptors());
        std::this_thread::sleep_for(milliseconds(20));
      }
    }
    std::cout << (aHost.peakMemory() >> 20U) << " MB, " << descriptors
              << " descriptors" << std::endl;
    CPPUNIT_ASSERT(aHost.isRunning());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(aHost.peakMemory() >> 20U),
                           aHost.peakMemory() < aMegabytes << 20U);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(descriptors),
                           descriptors <= kDescriptors);
  }

  /// @returns true when a request gets the answer before the limit
  static bool isAnswered(HostProcess& aHost,
                         std::uint16_t aPort,
                         const std::string& aPath,
                         const std::string& aAnswer)
  {
    const auto end = std::chrono::steady_clock::now() + kAnswerLimit;
    while (std::chrono::steady_clock::now() < end) {
      if (aHost.get(aPort, aPath, "Request-Id: o\r\n").find(aAnswer) !=
          std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  static void endure(PlatformHost& aFleet, const std::vector<Attack>& aAttacks)
  {
    attack(*aFleet.host, kHost, kMemoryMegabytes, aAttacks);
    aFleet.small.delayMs = 0;
    aFleet.small.mode = FakeServer::Mode::Serving;
    CPPUNIT_ASSERT(
      isAnswered(*aFleet.host, kCallerPort, "/small/y", "\r\n\r\ngood"));
  }

  static void endureAtNode(const Attack& aAttack)
  {
    HostProcess node(kNode, kNodePort, kNodePeerPort);
    CPPUNIT_ASSERT(isAnswered(node, kNodePort, "/v1/status", "HTTP/1.1 200"));
    attack(node, kNode, kNodeMegabytes, { aAttack });
    CPPUNIT_ASSERT(isAnswered(node, kNodePort, "/v1/status", "HTTP/1.1 200"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostileClientsTest);
