#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer_link_p.h"
#include "published_items_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr const char* kAddress = "127.62.5.1";
constexpr const char* kSlowAddress = "127.62.5.2";
constexpr std::uint16_t kPort = 8402;
constexpr std::size_t kMegabyte = 1U << 20U;

std::size_t
residentBytes()
{
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string
frame(MessageType aType, const std::string& aPayload, std::size_t aSize)
{
  std::string data;
  for (int i = 0; i < 4; ++i) {
    data.push_back(static_cast<char>(aSize >> (8 * i)));
  }
  data.push_back(static_cast<char>(aType));
  return data + aPayload;
}

std::string
frame(MessageType aType, const std::string& aPayload)
{
  return frame(aType, aPayload, aPayload.size());
}

class RawConnection
{
public:
  RawConnection()
    : m_socket(m_context)
  {
    m_socket.connect({ boost::asio::ip::make_address(kAddress), kPort });
    const timeval limit{ 4, 0 };
    ::setsockopt(
      m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  void send(const std::string& aData)
  {
    ::send(m_socket.native_handle(), aData.data(), aData.size(), MSG_NOSIGNAL);
  }
  /// @returns true when the peer closes within 4 s
  bool closed()
  {
    std::array<char, 4096> part{};
    ssize_t size = 0;
    while ((size = ::recv(
              m_socket.native_handle(), part.data(), part.size(), 0)) > 0) {
    }
    return size == 0 || errno == ECONNRESET;
  }

private:
  boost::asio::io_context m_context;
  tcp::socket m_socket;
};

/// Forwards one connection to kAddress; the bytes from there pass slowly.
class SlowLink
{
public:
  SlowLink()
    : m_acceptor(m_context,
                 { boost::asio::ip::make_address(kSlowAddress), kPort })
    , m_client(m_context)
    , m_server(m_context)
    , m_thread([this] { run(); })
  {
  }
  ~SlowLink()
  {
    m_stop = true;
    m_thread.join();
  }

private:
  static constexpr std::size_t kBytesPerStep = 50000;
  static constexpr milliseconds kStep{ 50 };

  /// @returns the bytes that were forwarded
  static std::size_t forward(tcp::socket& aFrom, tcp::socket& aTo)
  {
    boost::system::error_code error;
    const std::size_t available = aFrom.available(error);
    std::string data(std::min(available, kBytesPerStep), ' ');
    data.resize(aFrom.read_some(boost::asio::buffer(data), error));
    return boost::asio::write(aTo, boost::asio::buffer(data), error);
  }

  void run()
  {
    m_acceptor.accept(m_client);
    m_server.open(tcp::v4());
    m_server.set_option(tcp::socket::receive_buffer_size(kBytesPerStep));
    m_server.connect({ boost::asio::ip::make_address(kAddress), kPort });
    m_client.non_blocking(true);
    m_server.non_blocking(true);
    while (!m_stop) {
      forward(m_client, m_server);
      forward(m_server, m_client);
      std::this_thread::sleep_for(kStep);
    }
  }

  boost::asio::io_context m_context;
  tcp::acceptor m_acceptor;
  tcp::socket m_client;
  tcp::socket m_server;
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
};

} // namespace

class PeerLinkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerLinkTest);
  CPPUNIT_TEST(closesConnectionWithoutHello);
  CPPUNIT_TEST(boundsFramesBeforeHello);
  CPPUNIT_TEST(boundsMemoryOfClaimedLengths);
  CPPUNIT_TEST(boundsConnectionsWithoutHello);
  CPPUNIT_TEST(survivesRandomFrames);
  CPPUNIT_TEST(longReplyOverSlowLinkIsNoSilence);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_context = std::make_unique<boost::asio::io_context>();
    m_links = std::make_unique<PeerLinks>(*m_context, Hello{ "self", 1 });
    PeerLinks::Handlers handlers;
    handlers.onRequest = [this](const std::string&,
                                MessageType aType,
                                const std::string& aPayload,
                                const PeerLinks::Reply& aReply) {
      if (aType == MessageType::ItemsFetch) {
        aReply(MessageType::ItemChanges, std::string(kLongReply, 'r'));
      } else {
        onRequest(aType, aPayload);
      }
    };
    handlers.onReply =
      [this](const std::string&, MessageType, const std::string& aPayload) {
        m_replyBytes += aPayload.size();
      };
    handlers.onLost = [](const std::string&,
                         const std::vector<std::uint64_t>&) {};
    CPPUNIT_ASSERT(!m_links->init(kAddress, kPort, std::move(handlers)));
    m_thread = std::thread([this] { m_context->run(); });
  }

  void tearDown() override
  {
    m_links->shutdown();
    m_context->stop();
    m_thread.join();
    m_links.reset();
    m_context.reset();
  }

  // Guards against connections that never send Hello and stay open forever,
  // even if they send pings.
  void closesConnectionWithoutHello()
  {
    RawConnection silent;
    RawConnection pinging;
    const auto start = steady_clock::now();
    pinging.send(frame(MessageType::Ping, "12345678"));
    CPPUNIT_ASSERT(silent.closed());
    CPPUNIT_ASSERT(pinging.closed());
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(3500));
    // A connection that sent Hello stays open.
    RawConnection peer;
    peer.send(hello());
    std::this_thread::sleep_for(milliseconds(2300));
    peer.send(frame(MessageType::Cancel, encode(Cancel{ 5 })));
    CPPUNIT_ASSERT(waitForDecoded(1));
  }

  // Guards against an unidentified peer that makes the node read a large frame.
  void boundsFramesBeforeHello()
  {
    const auto start = steady_clock::now();
    RawConnection large;
    large.send(frame(MessageType::Hello, "x", kMegabyte));
    CPPUNIT_ASSERT(large.closed());
    RawConnection wrong;
    wrong.send(frame(MessageType::Cancel, encode(Cancel{ 5 })));
    CPPUNIT_ASSERT(wrong.closed());
    RawConnection nameless;
    nameless.send(frame(MessageType::Hello, encode(Hello{})));
    CPPUNIT_ASSERT(nameless.closed());
    RawConnection over;
    over.send(hello() + frame(MessageType::SubBatch, "x", kMaxFrameBytes + 1));
    CPPUNIT_ASSERT(over.closed());
    RawConnection echo;
    echo.send(hello() + frame(MessageType::Ping, std::string(100000, 'p')));
    CPPUNIT_ASSERT(echo.closed());
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(1500));
  }

  // Guards against memory that is allocated for the length a header claims
  // before the payload has arrived.
  void boundsMemoryOfClaimedLengths()
  {
    ::malloc_trim(0);
    const std::size_t before = residentBytes();
    std::vector<std::unique_ptr<RawConnection>> peers;
    for (int i = 0; i < 100; ++i) {
      peers.push_back(std::make_unique<RawConnection>());
      peers.back()->send(hello() +
                         frame(MessageType::SubBatch, "x", kMaxFrameBytes));
    }
    std::this_thread::sleep_for(milliseconds(300));
    const std::size_t after = residentBytes();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(after - before),
                           after < before + 40 * kMegabyte);
    assertStillServing();
  }

  // Guards against unidentified connections that use up the node's file
  // descriptors.
  void boundsConnectionsWithoutHello()
  {
    std::vector<std::unique_ptr<RawConnection>> connections;
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    // Each connection takes two descriptors in this process, and its io_context
    // takes more.
    const std::size_t count = 1100;
    if (limit.rlim_cur < count * 6) {
      limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, count * 6);
      CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &limit));
    }
    for (std::size_t i = 0; i < count; ++i) {
      connections.push_back(std::make_unique<RawConnection>());
    }
    const auto start = steady_clock::now();
    CPPUNIT_ASSERT(connections.back()->closed());
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(1000));
    connections.clear();
    assertStillServing();
  }

  // Guards against malformed frames and payloads that crash the process.
  void survivesRandomFrames()
  {
    std::mt19937_64 random(11);
    SubBatch batch;
    batch.requestId = "q";
    batch.body = "body";
    batch.items.resize(3);
    TicketReply reply;
    reply.answer.parts.resize(2);
    const std::vector<std::string> payloads = {
      encode(batch), encode(reply), encode(SubReply{}), encode(TicketForward{})
    };
    for (int i = 0; i < 2000; ++i) {
      std::string payload = payloads[random() % payloads.size()];
      for (std::uint64_t n = random() % 6; n > 0; --n) {
        payload[random() % payload.size()] = static_cast<char>(random());
      }
      payload.resize(random() % 3 == 0 ? random() % payload.size()
                                       : payload.size());
      const auto type = static_cast<MessageType>(random() % 16);
      onRequest(type, payload);
      if (i % 20 == 0) {
        RawConnection raw;
        raw.send((random() % 2 == 0 ? hello() : std::string()) +
                 frame(type, payload) + payload);
      }
    }
    assertStillServing();
  }

  // Guards against a large configuration that never arrives: its reply takes
  // longer than a peer may be silent, and each retry starts from nothing.
  void longReplyOverSlowLinkIsNoSilence()
  {
    const SlowLink link;
    m_links->send("peer",
                  kSlowAddress,
                  kPort,
                  MessageType::ItemsFetch,
                  encode(ItemsFetch{}),
                  0);
    for (int i = 0; i < 1000 && m_replyBytes < kLongReply; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(kLongReply, m_replyBytes.load());
  }

private:
  static constexpr std::size_t kLongReply = 3 * kMegabyte;

  static std::string hello()
  {
    return frame(MessageType::Hello, encode(Hello{ "peer", 3 }));
  }

  void onRequest(MessageType aType, const std::string& aPayload)
  {
    const bool good = decode<SubBatch>(aPayload).has_value() ||
                      decode<TicketReply>(aPayload).has_value() ||
                      decode<SubReply>(aPayload).has_value() ||
                      decode<TicketForward>(aPayload).has_value();
    m_decoded += good || aType == MessageType::Cancel ? 1 : 0;
  }

  bool waitForDecoded(int aCount)
  {
    for (int i = 0; i < 500 && m_decoded < aCount; ++i) {
      std::this_thread::sleep_for(milliseconds(4));
    }
    return m_decoded >= aCount;
  }

  void assertStillServing()
  {
    // A closed connection counts against the limit until its close is read.
    for (int i = 0; i < 50; ++i) {
      const int before = m_decoded;
      RawConnection peer;
      peer.send(hello() + frame(MessageType::Cancel, encode(Cancel{ 5 })));
      for (int n = 0; n < 25 && m_decoded == before; ++n) {
        std::this_thread::sleep_for(milliseconds(4));
      }
      if (m_decoded > before) {
        return;
      }
    }
    CPPUNIT_FAIL("the node serves no more requests");
  }

  std::unique_ptr<boost::asio::io_context> m_context;
  std::unique_ptr<PeerLinks> m_links;
  std::thread m_thread;
  std::atomic<int> m_decoded{ 0 };
  std::atomic<std::size_t> m_replyBytes{ 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinkTest);
