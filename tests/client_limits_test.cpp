#include <cppunit/extensions/HelperMacros.h>

#include "client_limits_p.h"
#include "platform_fakes.h"

using namespace toucanridge;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr const char* kAddress = "127.70.1.1";
constexpr std::uint16_t kPort = 8104;
constexpr std::size_t kLimit = 1'000'000;

} // namespace

class ClientLimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientLimitsTest);
  CPPUNIT_TEST(leavesRoomForTheHostItself);
  CPPUNIT_TEST(refusesLongBodiesUnreadNearTheLimit);
  CPPUNIT_TEST(takesCopiesOnlyWhileThereIsRoom);
  CPPUNIT_TEST(longestIdleConnectionMakesRoom);
  CPPUNIT_TEST(servesRequestAfterOneWithALongHead);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_thread.sync([this] {
      m_server = std::make_unique<HttpServer>(
        m_thread.context(),
        m_clock,
        [this](const HttpExchangePtr& aExchange) {
          ++m_handled;
          const bool hasRoom = aExchange->reserveCopies(0, m_copies);
          aExchange->reply(makeResponse(hasRoom ? 200 : 503, ""));
        },
        HttpServerResources{ m_budget, {} });
      HttpLimits limits;
      limits.connections = 2;
      m_server->setLimits(limits);
      return m_server->init(kAddress, kPort);
    });
  }

  void tearDown() override
  {
    m_thread.sync([this] {
      m_server->shutdown();
      return 0;
    });
    m_thread.sync([this] {
      m_server.reset();
      return 0;
    });
  }

  // Guards against ports that together take the descriptors of servers, peers
  // and files, or memory beyond that of the smallest host.
  void leavesRoomForTheHostItself()
  {
    constexpr std::size_t kFiles = 200;
    const HostResources smallest;
    const ClientLimits limits = divideClientLimits(smallest);
    const std::size_t connections = limits.callers + limits.forwards +
                                    limits.directory + 2 * limits.pages +
                                    2 * limits.peers + limits.servers;
    CPPUNIT_ASSERT(connections + kFiles <= smallest.descriptors);
    CPPUNIT_ASSERT(2 * limits.heldBytes < smallest.memoryBytes);
  }

  // Guards against a refusal that comes only after the body was taken in, and
  // against one of a request that its handler has seen.
  void refusesLongBodiesUnreadNearTheLimit()
  {
    const std::string request =
      "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n";
    {
      BufferShare held(m_budget, [] {});
      CPPUNIT_ASSERT(held.resize(kLimit / 10 * 8));
      CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(request + "b"));
      CPPUNIT_ASSERT_EQUAL(std::string("200"),
                           statusOf("GET / HTTP/1.1\r\n\r\n"));
    }
    CPPUNIT_ASSERT_EQUAL(1, m_handled.load());
    CPPUNIT_ASSERT_EQUAL(std::string("200"),
                         statusOf(request + std::string(100000, 'b')));
  }

  // Guards against copies of a body for attempts that nothing counts.
  void takesCopiesOnlyWhileThereIsRoom()
  {
    const std::string request =
      "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
      std::string(100000, 'b');
    m_copies = 5;
    CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(request));
    m_copies = 20;
    CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(request));
  }

  // Guards against idle connections that keep ordinary callers out.
  void longestIdleConnectionMakesRoom()
  {
    boost::asio::io_context context;
    tcp::socket first = connect(context);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), answerOn(first));
    tcp::socket second = connect(context);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), answerOn(second));
    tcp::socket third = connect(context);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), answerOn(third));
    CPPUNIT_ASSERT_EQUAL(std::string(), answerOn(first));
  }

  // Guards against a read buffer that is freed under a pending read, which
  // loses the next request.
  void servesRequestAfterOneWithALongHead()
  {
    boost::asio::io_context context;
    tcp::socket socket = connect(context);
    const std::string head =
      "GET / HTTP/1.1\r\nA: " + std::string(15000, 'a') + "\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(std::string("200"), answerOn(socket, head));
    boost::system::error_code error;
    boost::asio::write(
      socket,
      boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")),
      error);
    const auto limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (m_handled < 2 && std::chrono::steady_clock::now() < limit) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(2, m_handled.load());
  }

private:
  static tcp::socket connect(boost::asio::io_context& aContext)
  {
    tcp::socket socket(aContext);
    socket.connect({ boost::asio::ip::make_address(kAddress), kPort });
    return socket;
  }

  /// @returns the status of the answer to a request, empty when there is none
  static std::string answerOn(
    tcp::socket& aSocket,
    const std::string& aRequest = "GET / HTTP/1.1\r\n\r\n")
  {
    boost::system::error_code error;
    std::string answer;
    boost::asio::write(aSocket, boost::asio::buffer(aRequest), error);
    boost::asio::read_until(
      aSocket, boost::asio::dynamic_buffer(answer), "\r\n\r\n", error);
    return answer.size() < 12 ? "" : answer.substr(9, 3);
  }

  static std::string statusOf(const std::string& aRequest)
  {
    boost::asio::io_context context;
    tcp::socket socket = connect(context);
    return answerOn(socket, aRequest);
  }

  SystemClock m_clock;
  const std::shared_ptr<BufferBudget> m_budget =
    std::make_shared<BufferBudget>(kLimit);
  std::atomic<std::size_t> m_copies{ 0 };
  std::atomic<int> m_handled{ 0 };
  std::unique_ptr<HttpServer> m_server;
  IoThread m_thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientLimitsTest);
