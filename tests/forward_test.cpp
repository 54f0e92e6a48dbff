/// Two hosts' traffic parts on real sockets, of which one has no path to the
/// backend servers.

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <thread>

#include "platform_fakes.h"
#include "platform_protocol.h"
#include "raw_server.h"
#include "traffic_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::uint16_t kCallerPort = 8104;
constexpr std::uint16_t kPeerPort = 7380;
constexpr std::uint16_t kServerPort = 8080;
constexpr int kShards = 8;

Host
host(int aIndex)
{
  Host host;
  host.name = "host-" + std::to_string(aIndex);
  host.dataCentre = aIndex == 0 ? "dc-a" : "dc-b";
  host.address = "127.64.1." + std::to_string(aIndex + 1);
  host.httpPort = kCallerPort;
  host.peerPort = kPeerPort;
  return host;
}

TrafficSettings
settings(const Host& aHost)
{
  TrafficSettings settings;
  settings.host = aHost.name;
  settings.address = aHost.address;
  settings.port = kCallerPort;
  settings.relayPort = kPeerPort + 1;
  settings.forwardPort = forwardPort(kPeerPort);
  settings.metricsPort = 9464;
  settings.dataCentre = aHost.dataCentre;
  settings.budget.slack = 200;
  settings.budget.ratio = 0.5;
  settings.seed = 1;
  return settings;
}

std::shared_ptr<const RoutingTable>
makeRouting()
{
  Route all;
  all.name = "all";
  all.host = "h.example";
  all.prefix = "/all/";
  all.idempotent = true;
  all.timeLimit = milliseconds(1000);
  all.targetLatency = milliseconds(300);
  all.maxAttempts = 2;
  all.topRecords = 6;
  all.minCoverage = 0.8;
  for (int i = 0; i < kShards; ++i) {
    all.shards.push_back("s" + std::to_string(i));
  }
  Route once = all;
  once.name = "once";
  once.prefix = "/once/";
  once.idempotent = false;
  once.shards.clear();
  once.targets = { { "s0", 1.0 } };
  return std::make_shared<RoutingTable>(1,
                                        std::vector<Route>{ all, once },
                                        std::vector<ServiceContract>{},
                                        HttpLimits());
}

} // namespace

class ForwardTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardTest);
  CPPUNIT_TEST(peerAnswersForHostWithoutServers);
  CPPUNIT_TEST(requestThatMayRunOnceRunsOnce);
  CPPUNIT_TEST(soundHostDoesWithoutItsPeer);
  CPPUNIT_TEST(refusesAtOnceWithoutAnyPath);
  CPPUNIT_TEST(passesOnlyAnswersOfPeersOn);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_thread = std::make_unique<IoThread>();
    for (int i = 0; i < 2 * kShards; ++i) {
      m_servers.push_back(std::make_unique<FakeServer>(
        *m_thread, id(i), address(i, true), kServerPort, std::string(32, 'r')));
    }
    for (int i = 0; i < 2; ++i) {
      m_thread->sync([&] {
        m_hosts.push_back(std::make_unique<Traffic>(m_thread->context(),
                                                    m_clock,
                                                    m_protocol,
                                                    settings(host(i)),
                                                    m_quarantine));
        CPPUNIT_ASSERT(!m_hosts.back()->init());
        return 0;
      });
    }
  }

  void tearDown() override
  {
    m_thread->sync([this] {
      for (const auto& traffic : m_hosts) {
        traffic->shutdown();
      }
      return 0;
    });
    m_servers.clear();
    // Handlers that the shutdown cancelled run first; the sockets of the hosts
    // need the context of their thread to the end.
    m_thread->sync([] { return 0; });
    m_thread->sync([this] {
      m_hosts.clear();
      return 0;
    });
    m_thread.reset();
  }

  // Guards against callers of a host without a path to the servers that get no
  // answers although its peers reach them.
  void peerAnswersForHostWithoutServers()
  {
    setPaths(false, true);
    waitUntilServed(0, "/all/x");
    for (int i = 0; i < 20; ++i) {
      const ExchangeResult result = query(0, "/all/x");
      CPPUNIT_ASSERT_EQUAL(200U, result.response.result_int());
      CPPUNIT_ASSERT(
        headerValue(result.response.base(), "Missing-Parts") == "0" ||
        headerValue(result.response.base(), "Missing-Parts").empty());
    }
  }

  // Guards against a second run of a request that must not be repeated, by the
  // way over a peer.
  void requestThatMayRunOnceRunsOnce()
  {
    setPaths(false, true);
    int served = 0;
    for (int i = 0; i < 20; ++i) {
      const unsigned status = query(0, "/once/x").response.result_int();
      CPPUNIT_ASSERT(status == 200 || status == 503);
      served += status == 200 ? 1 : 0;
    }
    CPPUNIT_ASSERT(served >= 10);
    CPPUNIT_ASSERT_EQUAL(served, ran());
  }

  // Guards against sound hosts that lose the shards which they relay to a peer
  // without a path to the servers.
  void soundHostDoesWithoutItsPeer()
  {
    setPaths(true, false);
    query(1, "/all/x"); // the peer finds out
    for (int i = 0; i < 20; ++i) {
      const ExchangeResult result = query(0, "/all/x");
      CPPUNIT_ASSERT_EQUAL(200U, result.response.result_int());
    }
  }

  // Guards against callers that wait until their deadline, and against requests
  // that hosts hand to each other, when no host has a path.
  void refusesAtOnceWithoutAnyPath()
  {
    setPaths(false, false);
    std::this_thread::sleep_for(milliseconds(300));
    query(0, "/all/x");
    query(1, "/all/x");
    const auto begin = steady_clock::now();
    const ExchangeResult result = query(0, "/all/x");
    CPPUNIT_ASSERT_EQUAL(503U, result.response.result_int());
    CPPUNIT_ASSERT(steady_clock::now() - begin < milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, ran());
  }

  // Guards against a success that a peer of an older version passes on although
  // no server has signed it, and against bytes of a peer that are no answer.
  void passesOnlyAnswersOfPeersOn()
  {
    const struct
    {
      const char* target;
      const char* answer;
      unsigned status; ///< that the caller gets
    } cases[] = {
      { "/once/x", "200 OK\r\nServer-Stamp: s", 200 },
      { "/all/x", "200 OK\r\nPart-Stamps: s", 200 },
      { "/once/x", "404 Gone", 404 },
      { "/once/x", "200 OK", 502 },
      { "/once/x", "200 OK\r\nPart-Stamps: s", 502 },
      { "/once/x", "200 OK\r\nServer-Stamp: s\r\nContent-Encoding: br", 502 },
      { "/once/x", "000 OK\r\nServer-Stamp: s", 502 },
      { "/once/x", "200 OK\r\nServer-Stamp: s\r\n X: y", 502 },
      { "/all/x", "200 OK", 502 },
      { "/all/x", "200 OK\r\nServer-Stamp: s", 502 },
    };
    setPaths(false, true);
    waitUntilServed(0, "/all/x");
    for (const auto& testCase : cases) {
      m_thread->sync([this] {
        m_hosts.back()->shutdown();
        return 0;
      });
      const RawServer peer(
        *m_thread,
        host(1).address,
        forwardPort(kPeerPort),
        [&testCase](const std::string&) {
          return RawAnswer{ "HTTP/1.1 " + std::string(testCase.answer) +
                              "\r\nContent-Length: 0\r\n\r\n",
                            true,
                            nullptr };
        });
      // The peer gets nothing for a second after an answer that wasn't one.
      unsigned status = 503;
      const auto limit = steady_clock::now() + milliseconds(3000);
      while (status == 503 && steady_clock::now() < limit) {
        status = query(0, testCase.target).response.result_int();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.answer, testCase.status, status);
    }
  }

private:
  static std::string id(int aServer) { return "i-" + std::to_string(aServer); }

  /// @returns an address at which no server listens if there is no path
  static std::string address(int aServer, bool aPath)
  {
    return (aPath ? "127.64.2." : "127.64.3.") + std::to_string(aServer + 1);
  }

  void setPaths(bool aFirst, bool aSecond)
  {
    const bool paths[] = { aFirst, aSecond };
    for (int i = 0; i < 2; ++i) {
      auto catalogue = std::make_shared<ServerCatalogue>();
      for (int server = 0; server < 2 * kShards; ++server) {
        BackendServer entry;
        entry.id = id(server);
        entry.service = "s" + std::to_string(server / 2);
        entry.address = address(server, paths[i]);
        entry.port = kServerPort;
        entry.dataCentre = server % 4 == 0 ? "dc-a" : "dc-b";
        entry.slots = 3;
        catalogue->servers.push_back(entry);
      }
      TrafficView view;
      view.routing = makeRouting();
      view.catalogue = catalogue;
      view.entryHostCount = 2;
      view.isEntry = true;
      view.peers = { host(1 - i) };
      m_thread->sync([&] {
        m_hosts[static_cast<std::size_t>(i)]->setView(view);
        return 0;
      });
    }
  }

  int ran() const
  {
    int sum = 0;
    for (const auto& server : m_servers) {
      sum += server->ran;
    }
    return sum;
  }

  void waitUntilServed(int aHost, const std::string& aTarget)
  {
    const auto limit = steady_clock::now() + milliseconds(3000);
    while (query(aHost, aTarget).response.result_int() != 200) {
      CPPUNIT_ASSERT(steady_clock::now() < limit);
    }
  }

  ExchangeResult query(int aHost, const std::string& aTarget)
  {
    HttpCall call;
    call.head = "GET " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n" +
                "Request-Id: q" + std::to_string(++m_queries) +
                "\r\nDeadline-Ms: 1000\r\n\r\n";
    std::promise<ExchangeResult> promise;
    const auto pool = m_thread->sync([&] {
      auto made = std::make_shared<HttpPool>(
        m_thread->context(),
        m_clock,
        *parseEndpoint(host(aHost).address + ":" + std::to_string(kCallerPort)),
        HttpClientSettings());
      made->send(std::move(call), [&promise](ExchangeResult aResult) {
        promise.set_value(std::move(aResult));
      });
      return made;
    });
    ExchangeResult result = promise.get_future().get();
    m_thread->sync([&pool] {
      pool->retire();
      return 0;
    });
    return result;
  }

  SystemClock m_clock;
  platform::Protocol m_protocol;
  Quarantine m_quarantine{ m_clock, nullptr };
  std::unique_ptr<IoThread> m_thread;
  std::vector<std::unique_ptr<FakeServer>> m_servers;
  std::vector<std::unique_ptr<Traffic>> m_hosts;
  int m_queries = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);
