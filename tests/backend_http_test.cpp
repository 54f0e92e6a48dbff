#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <thread>

#include <boost/asio.hpp>

#include "backend_http_p.h"
#include "script_server.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Limit for one slot: one connection in use and one that is being closed.
constexpr std::size_t kMaxOpenPerSlot = 2;
constexpr std::uint32_t kBackendThreads = 2;
constexpr const char* kAddress = "127.62.1.1";

template<class Condition>
bool
waitFor(Condition aCondition, milliseconds aLimit = milliseconds(2000))
{
  const auto limit = steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

} // namespace

class BackendHttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BackendHttpTest);
  CPPUNIT_TEST(sendsOnceWhenReusedConnectionCloses);
  CPPUNIT_TEST(reportsNotRunOnlyWhenConnectFailed);
  CPPUNIT_TEST(reportsTimedOutWhenConnectHangs);
  CPPUNIT_TEST(dropsMismatchedReplies);
  CPPUNIT_TEST(dropsRepliesThatAreNoAnswer);
  CPPUNIT_TEST(replacesSilentConnection);
  CPPUNIT_TEST(cancelClosesConnection);
  CPPUNIT_TEST(keepsConnectionLimit);
  CPPUNIT_TEST(sendsFromEveryThread);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_backend = std::make_unique<BackendHttp>(kBackendThreads);
  }
  void tearDown() override { m_backend.reset(); }

  // Guards against bytes of a faulty server that are no answer, but are taken
  // for the reply to a request.
  void dropsRepliesThatAreNoAnswer()
  {
    const std::string head = "Request-Id: q-1\r\nAttempt: 3\r\nSnapshot: 7\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string end = "Content-Length: 2\r\n\r\nok";
    const std::pair<std::string, SubStatus> cases[] = {
      { ok + head + end, SubStatus::Done },
      { "HTTP/1.1 000 OK\r\n" + head + end, SubStatus::Lost },
      { "HTTP/1.1 600 OK\r\n" + head + end, SubStatus::Lost },
      { ok + head + " " + end, SubStatus::Lost },
      { ok + head + "X Y: 1\r\n" + end, SubStatus::Lost },
      { ok + head + "Transfer-Encoding: gzip\r\n" + end, SubStatus::Lost },
      { ok + head + "Content-Encoding: gzip\r\n" + end, SubStatus::Lost },
      { ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + head +
          "\r\n",
        SubStatus::Lost },
    };
    for (const auto& [answer, status] : cases) {
      ScriptServer server(kAddress,
                          [&text = answer](std::size_t, const std::string&) {
                            return Step{ text, true };
                          });
      const BackendReply reply = call(server.name(), milliseconds(1000));
      CPPUNIT_ASSERT_MESSAGE(answer, status == reply.status);
      CPPUNIT_ASSERT_EQUAL(std::string(status == SubStatus::Done ? "ok" : ""),
                           reply.body);
    }
  }

  // Guards against a request that is sent a second time when the server closes
  // a reused connection after reading it.
  void sendsOnceWhenReusedConnectionCloses()
  {
    for (const char* body : { "charge 20", "" }) {
      ScriptServer server(
        kAddress, [](std::size_t aRequest, const std::string& aHead) {
          return aRequest == 0 ? Step{ ScriptServer::echo(aHead, "ok") }
                               : Step{ "", true };
        });
      CPPUNIT_ASSERT(SubStatus::Done ==
                     call(server.name(), milliseconds(1000), body).status);
      CPPUNIT_ASSERT(SubStatus::Lost ==
                     call(server.name(), milliseconds(1000), body).status);
      std::this_thread::sleep_for(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.requests());
    }
  }

  // Guards against NotRun for a request that a server has read, and against
  // Lost where the port was closed and nothing was sent.
  void reportsNotRunOnlyWhenConnectFailed()
  {
    std::string closedPort;
    {
      ScriptServer server(kAddress, [](std::size_t, const std::string&) {
        return Step{ "", true };
      });
      CPPUNIT_ASSERT(SubStatus::Lost ==
                     call(server.name(), milliseconds(1000)).status);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests());
      closedPort = server.name();
    }
    CPPUNIT_ASSERT(SubStatus::NotRun ==
                   call(closedPort, milliseconds(1000)).status);

    // Accepted, then closed before anything was read.
    boost::asio::io_context context;
    using tcp = boost::asio::ip::tcp;
    tcp::acceptor acceptor(
      context, tcp::endpoint(boost::asio::ip::make_address(kAddress), 0));
    std::thread closer([&acceptor] { acceptor.accept().close(); });
    const BackendReply reply =
      call(std::string(kAddress) + ":" +
             std::to_string(acceptor.local_endpoint().port()),
           milliseconds(1000));
    closer.join();
    CPPUNIT_ASSERT(SubStatus::Lost == reply.status);
  }

  // Guards against an attempt to connect that outlasts the deadline.
  void reportsTimedOutWhenConnectHangs()
  {
    boost::asio::io_context context;
    using tcp = boost::asio::ip::tcp;
    const tcp::endpoint any(boost::asio::ip::make_address(kAddress), 0);
    tcp::acceptor acceptor(context, any.protocol());
    acceptor.bind(any);
    acceptor.listen(0);
    // A full backlog drops the next connect's SYN.
    std::vector<std::unique_ptr<tcp::socket>> fill;
    for (int i = 0; i < 4; ++i) {
      fill.push_back(std::make_unique<tcp::socket>(context));
      fill.back()->async_connect(acceptor.local_endpoint(), [](auto) {});
    }
    context.run_for(milliseconds(50));
    const auto start = steady_clock::now();
    const BackendReply reply =
      call(std::string(kAddress) + ":" +
             std::to_string(acceptor.local_endpoint().port()),
           milliseconds(200));
    CPPUNIT_ASSERT(SubStatus::TimedOut == reply.status);
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(1500));
  }

  // Guards against a reply that is delivered to another request or attempt,
  // and against reuse of the connection that carried it.
  void dropsMismatchedReplies()
  {
    ScriptServer server(
      kAddress, [](std::size_t aRequest, const std::string& aHead) {
        switch (aRequest) {
          case 0:
            return Step{ ScriptServer::reply("other", "3", "foreign") };
          case 1:
            return Step{ ScriptServer::reply("q-1", "2", "old attempt") };
          case 2:
            return Step{ ScriptServer::reply("q-1", "", "no attempt") };
          default:
            return Step{ ScriptServer::echo(aHead, "own") };
        }
      });
    for (std::size_t i = 1; i <= 3; ++i) {
      const BackendReply reply = call(server.name(), milliseconds(1000));
      CPPUNIT_ASSERT(SubStatus::Lost == reply.status);
      CPPUNIT_ASSERT(Errc::BadMessage == reply.error);
      CPPUNIT_ASSERT_EQUAL(std::string(), reply.body);
      CPPUNIT_ASSERT_MESSAGE("connection stays open",
                             waitFor([&] { return server.open() == 0; }));
      CPPUNIT_ASSERT_EQUAL(i, server.accepted());
    }
    const BackendReply own = call(server.name(), milliseconds(1000));
    CPPUNIT_ASSERT(SubStatus::Done == own.status);
    CPPUNIT_ASSERT_EQUAL(std::string("own"), own.body);
  }

  // Guards against waiting past the deadline for a server that sends nothing,
  // against reuse of that connection, and against a late reply that is
  // delivered to a later request.
  void replacesSilentConnection()
  {
    ScriptServer server(kAddress,
                        [](std::size_t aRequest, const std::string& aHead) {
                          if (aRequest == 1) {
                            std::this_thread::sleep_for(milliseconds(300));
                            return Step{ ScriptServer::echo(aHead, "late") };
                          }
                          return Step{ ScriptServer::echo(aHead, "ok") };
                        });
    CPPUNIT_ASSERT(SubStatus::Done ==
                   call(server.name(), milliseconds(1000)).status);
    const auto start = steady_clock::now();
    CPPUNIT_ASSERT(SubStatus::TimedOut ==
                   call(server.name(), milliseconds(100)).status);
    CPPUNIT_ASSERT(steady_clock::now() - start < milliseconds(280));
    const std::size_t before = server.accepted();
    const BackendReply next = call(server.name(), milliseconds(1000));
    CPPUNIT_ASSERT(SubStatus::Done == next.status);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), next.body);
    CPPUNIT_ASSERT_EQUAL(before + 1, server.accepted());
    CPPUNIT_ASSERT(server.peakOpen() <= kMaxOpenPerSlot);
  }

  // Guards against a server that continues to work on a cancelled request,
  // because its connection stays open.
  void cancelClosesConnection()
  {
    ScriptServer server(kAddress,
                        [](std::size_t, const std::string&) { return Step{}; });
    std::promise<BackendReply> ended;
    const std::uint64_t handle = m_backend->send(
      makeCall(server.name(), milliseconds(5000), "x"),
      [&](BackendReply aReply) { ended.set_value(std::move(aReply)); });
    CPPUNIT_ASSERT(waitFor([&] { return server.requests() == 1; }));
    m_backend->cancel(handle);
    auto future = ended.get_future();
    CPPUNIT_ASSERT(future.wait_for(milliseconds(1000)) ==
                   std::future_status::ready);
    CPPUNIT_ASSERT(SubStatus::Lost == future.get().status);
    CPPUNIT_ASSERT(waitFor([&] { return server.open() == 0; }));
  }

  // Guards against a slot that opens more connections than its limit when
  // requests time out, connections break or replies belong to other requests.
  void keepsConnectionLimit()
  {
    ScriptServer server(
      kAddress, [](std::size_t aRequest, const std::string& aHead) {
        switch (aRequest % 5) {
          case 1:
            return Step{};
          case 2:
            return Step{ "", true };
          case 3:
            return Step{ ScriptServer::reply("other", "3", "foreign") };
          default:
            return Step{ ScriptServer::echo(aHead, "ok") };
        }
      });
    for (int i = 0; i < 100; ++i) {
      call(server.name(), milliseconds(20));
    }
    CPPUNIT_ASSERT(server.requests() >= 90);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(server.peakOpen()),
                           server.peakOpen() <= kMaxOpenPerSlot);
  }

  // Guards against a deadlock: if send() waited for a thread of BackendHttp, a
  // send from a callback on every one of these threads would leave none to
  // serve them.
  void sendsFromEveryThread()
  {
    constexpr int kSends = 96; // far more than kBackendThreads
    ScriptServer server(kAddress, [](std::size_t, const std::string& aHead) {
      return Step{ ScriptServer::echo(aHead, "ok") };
    });
    std::atomic<int> ended{ 0 };
    const auto sendOnSlot = [&](int aSlot, const BackendI::Done& aDone) {
      BackendCall made = makeCall(server.name(), milliseconds(4000), "x");
      made.key.slot = static_cast<std::uint32_t>(aSlot);
      m_backend->send(std::move(made), aDone);
    };
    std::vector<std::thread> senders;
    senders.reserve(kSends / 2);
    for (int i = 0; i < kSends / 2; ++i) {
      senders.emplace_back([&, i] {
        sendOnSlot(i, [&, i](const BackendReply&) {
          ++ended;
          sendOnSlot(kSends + i, [&](const BackendReply&) { ++ended; });
        });
      });
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
    CPPUNIT_ASSERT_MESSAGE(
      std::to_string(ended.load()),
      waitFor([&] { return ended == kSends; }, milliseconds(8000)));
  }

private:
  using Step = ScriptServer::Step;

  static BackendCall makeCall(const std::string& aServer,
                              milliseconds aTimeLeft,
                              const std::string& aBody)
  {
    BackendCall made;
    made.key = { aServer, 0 };
    made.service = "vault/all";
    made.requestId = "q-1";
    made.attempt = 3;
    made.snapshot = 7;
    made.idempotent = false;
    made.timeLeft = aTimeLeft;
    made.body = std::make_shared<const std::string>(aBody);
    return made;
  }

  BackendReply call(const std::string& aServer,
                    milliseconds aTimeLeft,
                    const std::string& aBody = "x")
  {
    std::promise<BackendReply> ended;
    auto future = ended.get_future();
    m_backend->send(
      makeCall(aServer, aTimeLeft, aBody),
      [&](BackendReply aReply) { ended.set_value(std::move(aReply)); });
    return future.get();
  }

  std::unique_ptr<BackendHttp> m_backend;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendHttpTest);
