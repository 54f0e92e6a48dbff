#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <random>
#include <thread>

#include <boost/asio.hpp>

#include "http_client_p.h"
#include "http_server_p.h"

using namespace toucanridge;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr const char* kAddress = "127.62.7.1";

tcp::endpoint
anyPort()
{
  return { boost::asio::ip::make_address(kAddress), 0 };
}

/// A server that answers each request with raw bytes from a script.
class RawServer
{
public:
  /// What to do with a request.
  struct Step
  {
    std::string bytes;  ///< empty: no answer
    bool close = false; ///< close the connection after the answer
    bool reset = false; ///< reset the connection after the answer
  };
  /// @param aRequest number of the request, from 0 over all connections
  using Script = std::function<Step(int aRequest)>;

  RawServer(boost::asio::io_context& aContext, Script aScript)
    : m_acceptor(aContext, anyPort())
    , m_script(std::move(aScript))
  {
    accept();
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
  int requests() const { return m_requests; }
  const std::vector<std::string>& heads() const { return m_heads; }
  int accepted() const { return m_accepted; }
  int open() const { return m_open; }

private:
  struct Connection : std::enable_shared_from_this<Connection>
  {
    explicit Connection(tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    tcp::socket socket;
    std::string buffer;
  };

  void accept()
  {
    m_acceptor.async_accept([this](auto aError, tcp::socket aSocket) {
      if (!aError) {
        ++m_accepted;
        ++m_open;
        read(std::make_shared<Connection>(std::move(aSocket)));
        accept();
      }
    });
  }

  void read(const std::shared_ptr<Connection>& aConnection)
  {
    boost::asio::async_read_until(
      aConnection->socket,
      boost::asio::dynamic_buffer(aConnection->buffer),
      "\r\n\r\n",
      [this, aConnection](auto aError, std::size_t aSize) {
        if (aError) {
          --m_open;
          return;
        }
        m_heads.push_back(aConnection->buffer.substr(0, aSize));
        aConnection->buffer.erase(0, aSize);
        const Step step = m_script(m_requests++);
        boost::system::error_code ignored;
        boost::asio::write(
          aConnection->socket, boost::asio::buffer(step.bytes), ignored);
        if (step.reset) {
          aConnection->socket.set_option(
            boost::asio::socket_base::linger(true, 0), ignored);
        }
        if (step.close || step.reset) {
          --m_open;
          aConnection->socket.close(ignored);
          return;
        }
        read(aConnection);
      });
  }

  tcp::acceptor m_acceptor;
  std::vector<std::string> m_heads;
  Script m_script;
  int m_requests = 0;
  int m_accepted = 0;
  int m_open = 0;
};

std::string
response(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

} // namespace

class HttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(readsRequestsSplitAnywhere);
  CPPUNIT_TEST(refusesAmbiguousLengths);
  CPPUNIT_TEST(boundsHeadersAndBodies);
  CPPUNIT_TEST(refusesHeaderThatCannotBeStored);
  CPPUNIT_TEST(servesPipelinedRequestsInOrder);
  CPPUNIT_TEST(notifiesWhenCallerDisconnects);
  CPPUNIT_TEST(notifiesOfStatusAnsweredByServer);
  CPPUNIT_TEST(endsSlowRequestsAndKeepsIdleOnes);
  CPPUNIT_TEST(drainEndsConnectionsAfterTheAnswer);
  CPPUNIT_TEST(reusesConnections);
  CPPUNIT_TEST(skipsResponsesToOtherRequests);
  CPPUNIT_TEST(skipsLateSecondCopies);
  CPPUNIT_TEST(dropsConnectionWithSurplusBytes);
  CPPUNIT_TEST(rejectsTruncatedResponse);
  CPPUNIT_TEST(acceptsResponseEndedByClose);
  CPPUNIT_TEST(skipsInformationalResponses);
  CPPUNIT_TEST(keepsConnectionLimit);
  CPPUNIT_TEST(cancelClosesTheConnection);
  CPPUNIT_TEST(reportsWhetherRequestWasSent);
  CPPUNIT_TEST(sendsTimeLeftWhenWritten);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { m_context.restart(); }

  // Guards against a parser that needs a request, or a chunk, in one piece.
  void readsRequestsSplitAnywhere()
  {
    const std::string bytes =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n"
      "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    for (unsigned seed = 1; seed <= 25; ++seed) {
      std::mt19937 random(seed);
      startServer();
      tcp::socket caller = connect();
      for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t size =
          std::min<std::size_t>(random() % 23 + 1, bytes.size() - at);
        boost::asio::write(caller, boost::asio::buffer(&bytes[at], size));
        at += size;
        m_context.poll();
      }
      run([this] { return m_receivedRequests.size() == 2; });
      const std::string message = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        message, std::size_t(2), m_receivedRequests.size());
      CPPUNIT_ASSERT_EQUAL(std::string("hello world"),
                           m_receivedRequests[0].body());
      CPPUNIT_ASSERT(m_receivedRequests[0].target() == "/a/b?c=d");
      CPPUNIT_ASSERT(m_receivedRequests[1].target() == "/next");
    }
  }

  // Guards against request smuggling: accepting a request whose length can be
  // read in two ways.
  void refusesAmbiguousLengths()
  {
    const char* const heads[] = {
      "Content-Length: 5\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: chunked\r\nContent-Length: 5",
      "Content-Length: 5\r\nContent-Length: 6",
      "Content-Length: 5, 6",
      "Content-Length: +5",
      "Content-Length: 0x5",
      "Transfer-Encoding: chunked, identity",
      "Transfer-Encoding: xchunked",
      "Transfer-Encoding: gzip, chunked",
      "Transfer-Encoding : chunked",
      "Content-Length : 5",
    };
    for (const char* head : heads) {
      startServer();
      const std::string answer =
        exchange("POST /x HTTP/1.1\r\nHost: h\r\n" + std::string(head) +
                 "\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(std::string(head) + " -> " + answer,
                             answer.find("HTTP/1.1 400") == 0);
      CPPUNIT_ASSERT_MESSAGE(head, m_receivedRequests.empty());
    }
  }

  // Guards against unbounded memory use by long headers and bodies.
  void boundsHeadersAndBodies()
  {
    startServer();
    CPPUNIT_ASSERT(
      exchange("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(5000, 'x'))
        .find("HTTP/1.1 431") == 0);
    startServer();
    CPPUNIT_ASSERT(
      exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n")
        .find("HTTP/1.1 413") == 0);
    startServer();
    CPPUNIT_ASSERT(
      exchange("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
               "\r\n2000\r\n" +
               std::string(0x2000, 'x'))
        .find("HTTP/1.1 413") == 0);
    CPPUNIT_ASSERT(m_receivedRequests.empty());
  }

  // Guards against a caller that ends the process: the header store throws for
  // a value over 64 KiB, which a configured limit may allow.
  void refusesHeaderThatCannotBeStored()
  {
    startServer();
    HttpLimits limits;
    limits.headerBytes = 200'000;
    m_server->setLimits(limits);
    const std::string answer =
      exchange("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(70'000, 'x') +
               "\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 431"), answer.substr(0, 12));
    CPPUNIT_ASSERT(m_receivedRequests.empty());
  }

  // Guards against pipelined requests that are answered out of order.
  void servesPipelinedRequestsInOrder()
  {
    startServer();
    m_holdReplies = true;
    tcp::socket caller = connect();
    send(
      caller,
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    run([this] { return m_heldExchanges.size() == 1; });
    m_context.run_for(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_receivedRequests.size());
    m_heldExchanges[0]->reply(makeResponse(200, "one"));
    run([this] { return m_heldExchanges.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_receivedRequests.size());
    CPPUNIT_ASSERT(!m_heldExchanges[1]->isFirstOnConnection());
  }

  // Guards against a request that continues to run after its caller
  // disconnected, because the handler isn't notified.
  void notifiesWhenCallerDisconnects()
  {
    startServer();
    m_holdReplies = true;
    bool disconnected = false;
    {
      tcp::socket caller = connect();
      send(caller, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
      run([this] { return m_heldExchanges.size() == 1; });
      m_heldExchanges[0]->setOnAbandoned(
        [&disconnected](unsigned aStatus) { disconnected = aStatus == 0; });
    }
    run([&disconnected] { return disconnected; });
    CPPUNIT_ASSERT(disconnected);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_server->running());
    m_heldExchanges[0]->reply(makeResponse(200, "late")); // must do nothing
    m_heldExchanges.clear();
  }

  // Guards against logging a request that the server answered in place of its
  // handler as one whose caller disconnected, and against counting it as ended
  // before the answer is written.
  void notifiesOfStatusAnsweredByServer()
  {
    startServer();
    m_holdReplies = true;
    unsigned status = 0;
    tcp::socket caller = connect();
    send(caller, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    run([this] { return m_heldExchanges.size() == 1; });
    m_heldExchanges[0]->setOnAbandoned(
      [&status](unsigned aStatus) { status = aStatus; });
    m_server->answerRunning(makeResponse(504, "stops\n"));
    CPPUNIT_ASSERT_EQUAL(504U, status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_server->running());
    run([this] { return m_server->running() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_server->running());
    m_heldExchanges.clear();
  }

  // Guards against callers that occupy connections with incomplete requests.
  void endsSlowRequestsAndKeepsIdleOnes()
  {
    startServer();
    tcp::socket slow = connect();
    tcp::socket idle = connect();
    send(slow, "GET /slow HT");
    run([this] { return m_server->connections() == 2; });
    m_context.run_for(milliseconds(20));
    m_clock.advance(std::chrono::seconds(3));
    run([this] { return m_server->connections() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_server->connections());
    m_clock.advance(std::chrono::seconds(60));
    run([this] { return m_server->connections() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_server->connections());
  }

  // Guards against a shutdown that aborts a running request, or that lets the
  // caller send another one on a connection that is about to be closed.
  void drainEndsConnectionsAfterTheAnswer()
  {
    startServer();
    m_holdReplies = true;
    tcp::socket caller = connect();
    send(caller, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    run([this] { return m_heldExchanges.size() == 1; });
    m_server->drain();
    m_server->closeIdle();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_server->running());
    m_heldExchanges[0]->reply(makeResponse(200, "done"));
    const std::string answer = readAll(caller);
    CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("done") != std::string::npos);
  }

  // Guards against opening a connection for each request, as servers limit the
  // number of connections.
  void reusesConnections()
  {
    RawServer server(
      m_context, [](int) { return RawServer::Step{ response("q", "ok") }; });
    auto pool = makePool(server.endpoint());
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(ExchangeEnd::Answered == call(*pool).end);
    }
    CPPUNIT_ASSERT_EQUAL(1, server.accepted());
  }

  // Guards against delivering the response to another request, and against
  // losing the right response that follows it.
  void skipsResponsesToOtherRequests()
  {
    RawServer server(m_context, [](int) {
      return RawServer::Step{ response("other", "no") + response("q", "yes") };
    });
    auto pool = makePool(server.endpoint());
    const ExchangeResult result = call(*pool);
    CPPUNIT_ASSERT(ExchangeEnd::Answered == result.end);
    CPPUNIT_ASSERT_EQUAL(std::string("yes"), result.response.body());
    call(*pool);
    CPPUNIT_ASSERT_EQUAL(2, server.accepted());

    RawServer stray(m_context, [](int) {
      return RawServer::Step{ response("other", "no"), true };
    });
    CPPUNIT_ASSERT(ExchangeEnd::Answered !=
                   call(*makePool(stray.endpoint())).end);
  }

  // Guards against a second copy of an answer that arrives, in any framing,
  // once the connection has the next request: the next caller would get it.
  void skipsLateSecondCopies()
  {
    const std::string copies[] = {
      response("first", "no"),
      std::string("HTTP/1.1 200 OK\r\nRequest-Id: first\r\n") +
        "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\n\r\n" + response("first", "no"),
      "HTTP/1.1 204 No Content\r\nRequest-Id: first\r\n\r\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: first\r\n\r\nno", // to end of stream
    };
    for (const std::string& copy : copies) {
      RawServer server(m_context, [&copy](int aRequest) {
        return RawServer::Step{ aRequest == 0 ? response("first", "ok")
                                              : copy + response("q", "yes") };
      });
      auto pool = makePool(server.endpoint());
      HttpCall first = makeCall();
      first.id = "first";
      CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                           call(*pool, first).response.body());
      const ExchangeResult next = call(*pool);
      CPPUNIT_ASSERT_EQUAL(1, server.accepted());
      if (next.end == ExchangeEnd::Answered) {
        CPPUNIT_ASSERT_EQUAL(std::string("yes"), next.response.body());
      } else {
        CPPUNIT_ASSERT(copy == copies[4]); // its end can't be told
      }
    }
  }

  // Guards against a surplus response that is taken for the response to the
  // next request on that connection.
  void dropsConnectionWithSurplusBytes()
  {
    RawServer server(m_context, [](int) {
      return RawServer::Step{ response("q", "ok") + response("q", "again") };
    });
    auto pool = makePool(server.endpoint());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), call(*pool).response.body());
    run([&] { return pool->size() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), pool->size());
  }

  // Guards against accepting a truncated response as complete.
  void rejectsTruncatedResponse()
  {
    const std::string whole = response("q", "0123456789");
    for (std::size_t size = 0; size < whole.size(); ++size) {
      for (const bool reset : { false, true }) {
        RawServer server(m_context, [&](int) {
          return RawServer::Step{ whole.substr(0, size), true, reset };
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(size),
                               ExchangeEnd::Answered !=
                                 call(*makePool(server.endpoint())).end);
      }
    }
    RawServer chunks(m_context, [](int) {
      return RawServer::Step{
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        true
      };
    });
    CPPUNIT_ASSERT(ExchangeEnd::Answered !=
                   call(*makePool(chunks.endpoint())).end);
  }

  // Guards against discarding a response without a declared length, which ends
  // with its connection, and against accepting one whose connection was reset.
  void acceptsResponseEndedByClose()
  {
    const std::string bytes = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\nbody";
    RawServer server(m_context, [&](int) {
      return RawServer::Step{ bytes, true };
    });
    const ExchangeResult result = call(*makePool(server.endpoint()));
    CPPUNIT_ASSERT(ExchangeEnd::Answered == result.end);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), result.response.body());
    RawServer broken(m_context, [&](int) {
      return RawServer::Step{ bytes, false, true };
    });
    CPPUNIT_ASSERT(ExchangeEnd::Answered !=
                   call(*makePool(broken.endpoint())).end);
  }

  // Guards against accepting an informational response (100, 103) as final.
  void skipsInformationalResponses()
  {
    RawServer server(m_context, [](int) {
      return RawServer::Step{ "HTTP/1.1 100 Continue\r\n\r\n"
                              "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" +
                              response("q", "ok") };
    });
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         call(*makePool(server.endpoint())).response.body());
  }

  // Guards against a pool that opens more connections than its limit.
  void keepsConnectionLimit()
  {
    RawServer server(m_context, [](int) { return RawServer::Step{}; });
    auto pool = makePool(server.endpoint());
    std::vector<HttpPendingCallPtr> pendingCalls;
    pendingCalls.reserve(10);
    for (int i = 0; i < 10; ++i) {
      pendingCalls.push_back(
        pool->send(makeCall(), [](const ExchangeResult&) {}));
    }
    m_context.run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(2, server.accepted());
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), pool->waiting());
    for (const auto& pendingCall : pendingCalls) {
      pendingCall->cancel();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), pool->waiting());
  }

  // Guards against a server that continues to work on a cancelled request,
  // because its connection stays open.
  void cancelClosesTheConnection()
  {
    RawServer server(m_context, [](int) { return RawServer::Step{}; });
    auto pool = makePool(server.endpoint());
    bool called = false;
    const auto pendingCall = pool->send(
      makeCall(), [&called](const ExchangeResult&) { called = true; });
    run([&] { return server.requests() == 1; });
    pendingCall->cancel();
    run([&] { return server.open() == 0; });
    CPPUNIT_ASSERT_EQUAL(0, server.open());
    CPPUNIT_ASSERT(!called);
  }

  // Guards against reporting a request as not sent that a server has read, and
  // against the opposite when no connection was made.
  void reportsWhetherRequestWasSent()
  {
    tcp::endpoint closed;
    {
      tcp::acceptor acceptor(m_context, anyPort());
      closed = acceptor.local_endpoint();
    }
    CPPUNIT_ASSERT(ExchangeEnd::ConnectFailed == call(*makePool(closed)).end);
    RawServer server(m_context, [](int) {
      return RawServer::Step{ "", true };
    });
    CPPUNIT_ASSERT(ExchangeEnd::Broken ==
                   call(*makePool(server.endpoint())).end);
  }

  // Guards against a request that waited for a connection and is then sent with
  // the time that was left before the wait.
  void sendsTimeLeftWhenWritten()
  {
    RawServer server(m_context, [](int) { return RawServer::Step{}; });
    auto pool = makePool(server.endpoint());
    std::vector<HttpPendingCallPtr> pendingCalls;
    pendingCalls.reserve(3);
    for (int i = 0; i < 3; ++i) { // one more than there are connections
      HttpCall made = makeCall();
      made.deadlineHeader = "Deadline-Ms";
      made.deadline = m_systemClock.now() + milliseconds(1000);
      pendingCalls.push_back(
        pool->send(std::move(made), [](const ExchangeResult&) {}));
    }
    m_context.run_for(milliseconds(150));
    m_context.restart();
    pendingCalls[0]->cancel();
    run([&] { return server.requests() == 3; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), server.heads().size());
    CPPUNIT_ASSERT(timeLeft(server.heads()[0]) > 900);
    CPPUNIT_ASSERT(timeLeft(server.heads()[2]) > 500);
    CPPUNIT_ASSERT(timeLeft(server.heads()[2]) <= 850);
  }

private:
  static int timeLeft(const std::string& aHead)
  {
    const std::string name = "\r\nDeadline-Ms: ";
    const auto at = aHead.find(name);
    CPPUNIT_ASSERT_MESSAGE(aHead, at != std::string::npos);
    return std::stoi(aHead.substr(at + name.size()));
  }

  template<class Condition>
  void run(Condition aCondition)
  {
    const auto limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(3);
    while (!aCondition() && std::chrono::steady_clock::now() < limit) {
      m_context.restart();
      m_context.run_for(milliseconds(5));
    }
    m_context.restart();
  }

  void startServer()
  {
    m_heldExchanges.clear();
    if (m_server) {
      m_server->shutdown();
      m_context.restart();
      m_context.poll();
    }
    m_receivedRequests.clear();
    m_holdReplies = false;
    m_server = std::make_unique<HttpServer>(
      m_context, m_clock, [this](const HttpExchangePtr& aExchange) {
        m_receivedRequests.push_back(aExchange->request());
        if (m_holdReplies) {
          m_heldExchanges.push_back(aExchange);
        } else {
          aExchange->reply(makeResponse(200, "ok"));
        }
      });
    HttpLimits limits;
    limits.headerBytes = 2048;
    limits.bodyBytes = 4096;
    limits.requestTime = milliseconds(2000);
    limits.idleTime = milliseconds(30'000);
    m_server->setLimits(limits);
    // Each server gets its own port, so that connections to an earlier one
    // cannot reach it.
    tcp::acceptor probe(m_context, anyPort());
    m_port = probe.local_endpoint().port();
    probe.close();
    CPPUNIT_ASSERT(!m_server->init(kAddress, m_port));
  }

  tcp::socket connect()
  {
    tcp::socket socket(m_context);
    socket.connect({ boost::asio::ip::make_address(kAddress), m_port });
    return socket;
  }

  static void send(tcp::socket& aSocket, const std::string& aBytes)
  {
    boost::asio::write(aSocket, boost::asio::buffer(aBytes));
  }

  /// Reads until the connection ends.
  std::string readAll(tcp::socket& aSocket)
  {
    std::string bytes;
    bool ended = false;
    boost::asio::async_read(aSocket,
                            boost::asio::dynamic_buffer(bytes),
                            [&ended](auto, std::size_t) { ended = true; });
    run([&ended] { return ended; });
    return bytes;
  }

  std::string exchange(const std::string& aBytes)
  {
    tcp::socket caller = connect();
    send(caller, aBytes);
    return readAll(caller);
  }

  std::shared_ptr<HttpPool> makePool(const tcp::endpoint& aEndpoint)
  {
    HttpClientSettings settings;
    settings.connections = 2;
    return std::make_shared<HttpPool>(
      m_context, m_systemClock, aEndpoint, settings);
  }

  static HttpCall makeCall()
  {
    HttpCall made;
    made.head = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    made.idHeader = "Request-Id";
    made.id = "q";
    return made;
  }

  ExchangeResult call(HttpPool& aPool, const HttpCall& aCall = makeCall())
  {
    std::optional<ExchangeResult> result;
    aPool.send(aCall, [&result](ExchangeResult aResult) {
      result = std::move(aResult);
    });
    run([&result] { return result.has_value(); });
    CPPUNIT_ASSERT(result.has_value());
    return std::move(*result);
  }

  boost::asio::io_context m_context;
  ManualClock m_clock;
  SystemClock m_systemClock;
  std::unique_ptr<HttpServer> m_server;
  std::uint16_t m_port = 0;
  std::vector<HttpRequest> m_receivedRequests;
  std::vector<HttpExchangePtr> m_heldExchanges;
  bool m_holdReplies = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
