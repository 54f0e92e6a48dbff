#include <cppunit/extensions/HelperMacros.h>

#include "platform_documents.h"
#include "platform_protocol.h"
#include "platform_settings.h"

using namespace toucanridge;
using namespace toucanridge::platform;
using std::chrono::milliseconds;

class PlatformAdapterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformAdapterTest);
  CPPUNIT_TEST(readsSettings);
  CPPUNIT_TEST(namesTheFaultySetting);
  CPPUNIT_TEST(decodesRoutes);
  CPPUNIT_TEST(refusesBrokenRouting);
  CPPUNIT_TEST(decodesServers);
  CPPUNIT_TEST(refusesMalformedServerEntries);
  CPPUNIT_TEST(passesRequestsOnUnchanged);
  CPPUNIT_TEST(classifiesServerResponses);
  CPPUNIT_TEST(tellsAnswersFromOtherResponses);
  CPPUNIT_TEST(ordersValuesByVersionAndSequence);
  CPPUNIT_TEST(readsRequestLimit);
  CPPUNIT_TEST(neverPassesConnectionHeadersOn);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against ports and limits that are read from the wrong key.
  void readsSettings()
  {
    const auto settings = parseSettings(settingsText());
    CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error(),
                           settings.has_value());
    const EntrySettings& entry = settings->entry;
    CPPUNIT_ASSERT_EQUAL(std::string("edge-1"), entry.host);
    CPPUNIT_ASSERT_EQUAL(std::string("bkk-lat"), entry.dataCentre);
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.9"), entry.address);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(8104), entry.callerPort);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(7380), entry.peerPort);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(7380), entry.seeds[1].port);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(250), entry.capacity);
    CPPUNIT_ASSERT_EQUAL(54.0, entry.budget.slack);
    CPPUNIT_ASSERT(entry.budget.window == milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(8102), settings->storePort);
  }

  // Guards against a process that starts with incomplete or malformed settings,
  // and against an error message that doesn't name the faulty key.
  void namesTheFaultySetting()
  {
    const std::pair<const char*, const char*> faults[] = {
      { "node_name=edge-1", "node_name=" },
      { "listen.frontend=10.1.0.9:8104", "listen.frontend=10.1.0.9" },
      { "listen.directory=10.1.0.9:8100", "listen.directory=host:8100" },
      { "port_range=7380,7395", "port_range=x" },
      { "seeds=10.1.0.9:8106,10.2.0.2:8106", "seeds=10.1.0.9" },
      { "bounds.retry_slack=54", "bounds.retry_slack=many" },
      { "bounds.grace_s=6", "bounds.grace_s=-1" },
      { "platform.address=10.200.1.7:8102", "platform.address=10.200.1.7:0" },
    };
    for (const auto& [good, bad] : faults) {
      std::string text = settingsText();
      text.replace(text.find(good), std::string(good).size(), bad);
      const auto settings = parseSettings(text);
      const std::string key(bad, std::string(bad).find('='));
      CPPUNIT_ASSERT_MESSAGE(bad, !settings);
      CPPUNIT_ASSERT_MESSAGE(settings.error(),
                             settings.error().find("'" + key + "'") !=
                               std::string::npos);
    }
    CPPUNIT_ASSERT(!readSettings("/nonexistent"));
  }

  // Guards against decoding that loses a route's limits, type or shards.
  void decodesRoutes()
  {
    const auto routing =
      m_itemDecoder.decodeRouting({ "op/config",
                                    R"({"version":7,"routes":[
          {"name":"g","host":"h","prefix":"/g/","route_type":"idempotent",
           "timeout_ms":800,"target_latency_ms":80,"priority":2,
           "gather":["a","b"],"max_attempts":2,"top_k":5,"min_coverage":0.75},
          {"name":"s","host":"h","prefix":"/s/","route_type":"non_idempotent",
           "timeout_ms":9,"traffic_split":[{"service":"x","weight":3},
           {"service":"y","weight":1}]}],
          "services":[{"name":"a","max_connections":31,"warmup_per_s":2.5}],
          "limits":{"max_header_bytes":4096,"idle_timeout_ms":5000}})",
                                    1,
                                    false });
    CPPUNIT_ASSERT(routing != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), routing->version());
    const Route* gather = routing->find("h", "/g/1");
    CPPUNIT_ASSERT(gather->isGather() && gather->idempotent);
    CPPUNIT_ASSERT(gather->timeLimit == milliseconds(800));
    CPPUNIT_ASSERT(gather->targetLatency == milliseconds(80));
    CPPUNIT_ASSERT_EQUAL(5U, gather->topRecords);
    CPPUNIT_ASSERT_EQUAL(0.75, gather->minCoverage);
    const Route* split = routing->find("h", "/s/1");
    CPPUNIT_ASSERT(!split->isGather() && !split->idempotent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), split->targets.size());
    CPPUNIT_ASSERT_EQUAL(3.0, split->targets[0].weight);
    CPPUNIT_ASSERT_EQUAL(31U, routing->service("a")->maxConnections);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4096), routing->limits().headerBytes);
    CPPUNIT_ASSERT(routing->limits().idleTime == milliseconds(5000));
  }

  // Guards against a malformed routing table that replaces the one in use.
  void refusesBrokenRouting()
  {
    for (const char* text : { "",
                              "[]",
                              "{",
                              R"({"version":"7","routes":[]})",
                              R"({"version":7})",
                              R"({"version":-7,"routes":[]})" }) {
      CPPUNIT_ASSERT_MESSAGE(text,
                             m_itemDecoder.decodeRouting(
                               { "op/config", text, 1, false }) == nullptr);
    }
  }

  // Guards against decoding a server with the wrong address, service or state,
  // and against taking an item for one of another kind.
  void decodesServers()
  {
    const auto server = m_itemDecoder.decodeServer(
      { "servers/i-1",
        R"({"service":"a","address":"10.128.0.9:8080","zone":"bkk-lat",
            "version":"v1","slots":3,"state":"draining","warmup_left_ms":1500,"sequence":4,
            "born":1700000000123})",
        1,
        false });
    CPPUNIT_ASSERT(server.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), server->id);
    CPPUNIT_ASSERT(server->draining);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(8080), server->port);
    CPPUNIT_ASSERT(server->coldLeft == milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1700000000123), server->startedMs);
    CPPUNIT_ASSERT(ItemKind::Server == m_itemDecoder.kindOf("servers/i-1"));
    CPPUNIT_ASSERT(ItemKind::Evacuation ==
                   m_itemDecoder.kindOf("op/evacuate/bkk-lat"));
    CPPUNIT_ASSERT_EQUAL(
      std::string("bkk-lat"),
      m_itemDecoder.evacuatedDataCentre("op/evacuate/bkk-lat"));
    CPPUNIT_ASSERT(ItemKind::Other == m_itemDecoder.kindOf("op/other"));
  }

  // Guards against requests to a server that a malformed entry names; other
  // programs write to the store too. Each case is a valid entry with one fault.
  void refusesMalformedServerEntries()
  {
    const std::string good =
      R"({"service":"a","address":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("slots":3,"state":"ready","warmup_left_ms":0,"sequence":4})";
    CPPUNIT_ASSERT(decodes(good));
    const std::pair<const char*, const char*> faults[] = {
      { R"("service":"a",)", "" },
      { R"("service":"a")", R"("service":7)" },
      { R"("address":"10.0.0.1:80",)", "" },
      { R"("10.0.0.1:80")", R"("10.0.0.1")" },
      { R"("10.0.0.1:80")", R"("10.0.0.1:80x")" },
      { R"("10.0.0.1:80")", R"("10.0.0.256:80")" },
      { R"("10.0.0.1:80")", R"(["10.0.0.1:80"])" },
      { R"("zone":"z",)", "" },
      { R"("zone":"z")", R"("zone":null)" },
      { R"("version":"v1",)", "" },
      { R"("slots":3)", R"("slots":"3")" },
      { R"("slots":3)", R"("slots":-3)" },
      { R"("ready")", R"("asleep")" },
      { R"("ready")", "true" },
      { R"("warmup_left_ms":0)", R"("warmup_left_ms":{})" },
      { R"(,"sequence":4)", "" },
      { R"("sequence":4)", R"("sequence":"4")" },
      { R"("10.0.0.1:80")", R"("10.0.0.1:70000")" },
      { R"("10.0.0.1:80")", R"("10.0.0.1:0")" },
      { R"("slots":3)", R"("slots":99999999999999999999)" },
      { R"("slots":3)", R"("slots":1e400)" },
      { R"("warmup_left_ms":0)", R"("warmup_left_ms":1e308)" },
      { R"("sequence":4)", R"("sequence":1e30)" },
    };
    for (const auto& [part, fault] : faults) {
      std::string text = good;
      text.replace(text.find(part), std::string(part).size(), fault);
      CPPUNIT_ASSERT_MESSAGE(text, !decodes(text));
    }
    CPPUNIT_ASSERT(!decodes("\xff\xfe"));
    CPPUNIT_ASSERT(!decodes("null"));
    CPPUNIT_ASSERT(!decodes(std::string(1U << 20U, '[')));
  }

  // Guards against a request that is sent to a server with a changed path, body
  // or id, or with more time than is left until the caller's deadline.
  void passesRequestsOnUnchanged()
  {
    HttpRequest request(boost::beast::http::verb::post, "/a//b?c=%2f&d", 11);
    request.set("Host", "h.example");
    request.set("Request-Id", "q1");
    request.set("Deadline-Ms", "1000");
    request.set("Connection", "X-Private, keep-alive");
    request.set("X-Private", "1");
    request.set("X-Other", "2");
    request.body() = "bytes";
    BackendServer server;
    server.id = "i-1";
    const CallerHeaders callerHeaders = m_protocol.readCallerHeaders(request);
    CPPUNIT_ASSERT(*callerHeaders.deadline == milliseconds(1000));
    const TimePoint now = ManualClock().now();
    HttpCall call = m_protocol.makeCall(std::make_shared<HttpRequest>(request),
                                        callerHeaders,
                                        server,
                                        now + milliseconds(400));
    call.head = headWithDeadline(call, now);
    CPPUNIT_ASSERT(call.head.find("POST /a//b?c=%2f&d HTTP/1.1\r\n") == 0);
    for (const char* line : { "\r\nRequest-Id: q1\r\n",
                              "\r\nDeadline-Ms: 400\r\n",
                              "\r\nTarget-Instance: i-1\r\n",
                              "\r\nX-Other: 2\r\n",
                              "\r\nContent-Length: 5\r\n" }) {
      CPPUNIT_ASSERT_MESSAGE(call.head,
                             call.head.find(line) != std::string::npos);
    }
    CPPUNIT_ASSERT(call.head.find("X-Private") == std::string::npos);
    CPPUNIT_ASSERT(call.head.find("1000") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), *call.body);
  }

  // Guards against treating a failure, an encoded body or a refusal as a good
  // answer.
  void classifiesServerResponses()
  {
    HttpResponse response = makeResponse(200, "x");
    CPPUNIT_ASSERT(!m_protocol.readAnswer(response).good);
    response.set("Server-Stamp", "s");
    CPPUNIT_ASSERT(m_protocol.readAnswer(response).good);
    response.set("Content-Encoding", "gzip");
    CPPUNIT_ASSERT(!m_protocol.readAnswer(response).good);
    response.erase("Content-Encoding");
    response.result(500);
    CPPUNIT_ASSERT(!m_protocol.readAnswer(response).good);
    CPPUNIT_ASSERT(!m_protocol.readAnswer(response).notRun);
    response.result(503);
    CPPUNIT_ASSERT(!m_protocol.readAnswer(response).notRun);
    response.set("Not-Executed", "1");
    CPPUNIT_ASSERT(m_protocol.readAnswer(response).notRun);
    response.result(421);
    CPPUNIT_ASSERT(m_protocol.readAnswer(response).otherServer);
  }

  // Guards against the response of a faulty server or of another program that
  // passes for the server's answer, and against the loss of an answer that is
  // one.
  void tellsAnswersFromOtherResponses()
  {
    const struct
    {
      unsigned status;
      std::vector<const char*> headers;
      bool isAnswer;
    } cases[] = {
      { 200, { "Server-Stamp" }, true },
      { 404, { "Server-Stamp" }, true },
      { 500, { "Server-Stamp" }, true },
      { 504, { "Server-Stamp" }, true },
      { 503, { "Not-Executed" }, true },
      { 429, { "Not-Executed", "Content-Encoding" }, true },
      { 400, { "Not-Executed" }, true },
      { 421, {}, true },
      { 200, {}, false },
      { 200, { "Server-Stamp", "Server-Stamp" }, false },
      { 200, { "Not-Executed", "Server-Stamp" }, false },
      { 200, { "Content-Encoding", "Server-Stamp" }, false },
      { 302, {}, false },
      { 404, {}, false },
      { 500, { "Content-Encoding", "Server-Stamp" }, false },
      { 503, {}, false },
      { 503, { "Server-Stamp" }, false },
      { 429, { "Server-Stamp" }, false },
      { 408, { "Server-Stamp" }, false },
    };
    for (const auto& testCase : cases) {
      HttpResponse response = makeResponse(testCase.status, "x");
      for (const char* header : testCase.headers) {
        response.insert(header, "1");
      }
      const ServerAnswer answer = m_protocol.readAnswer(response);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(testCase.status),
                                   testCase.isAnswer,
                                   answer.fault == nullptr);
      CPPUNIT_ASSERT_EQUAL(testCase.isAnswer && testCase.status == 200,
                           answer.good);
    }
  }

  // Guards against an older configuration or server entry that counts as the
  // latest, and against a restarted server whose entry counts as older.
  void ordersValuesByVersionAndSequence()
  {
    const auto older =
      [this](const char* aKey, const char* aValue, const char* aOther) {
        return m_itemDecoder.isOlder(aKey, aValue, aOther);
      };
    const char* nine = R"({"version":9,"routes":[]})";
    const char* ten = R"({"version":10,"routes":[]})";
    CPPUNIT_ASSERT(older("op/config", nine, ten));
    CPPUNIT_ASSERT(older("op/config", "broken", ten));
    CPPUNIT_ASSERT(!older("op/config", ten, nine));
    CPPUNIT_ASSERT(!older("op/config", ten, "broken"));
    const char* first = R"({"born":5,"sequence":1,"state":"ready"})";
    const char* second = R"({"born":5,"sequence":2,"state":"draining"})";
    const char* restarted = R"({"born":6,"sequence":0,"state":"ready"})";
    CPPUNIT_ASSERT(older("servers/i", first, second));
    CPPUNIT_ASSERT(!older("servers/i", second, first));
    CPPUNIT_ASSERT(!older("servers/i", restarted, second));
    CPPUNIT_ASSERT(!older("servers/i", "broken", second));
    CPPUNIT_ASSERT(!older("op/evacuate/z", "1", "2"));
    CPPUNIT_ASSERT(m_itemDecoder.isPermanent("op/config"));
    CPPUNIT_ASSERT(!m_itemDecoder.isPermanent("servers/i"));
  }

  // Guards against a server's request limit that isn't read, and against a
  // malformed one that is read as a number.
  void readsRequestLimit()
  {
    HttpResponse response = makeResponse(200, "x");
    CPPUNIT_ASSERT(!m_protocol.readAnswer(response).requestsPerSecond);
    response.set("Server-Limit", "23.6");
    CPPUNIT_ASSERT_EQUAL(23.6,
                         *m_protocol.readAnswer(response).requestsPerSecond);
    for (const char* malformed : { "", "-1", "nan", "inf", "5 a second" }) {
      response.set("Server-Limit", malformed);
      CPPUNIT_ASSERT_MESSAGE(
        malformed, !m_protocol.readAnswer(response).requestsPerSecond);
    }
  }

  // Guards against passing on headers of the connection to the server, which
  // would describe the caller's connection or the body's length wrongly.
  void neverPassesConnectionHeadersOn()
  {
    HttpResponse response = makeResponse(200, "abc");
    response.set("Connection", "close, X-Hop");
    response.set("X-Hop", "1");
    response.set("Keep-Alive", "timeout=5");
    response.set("Transfer-Encoding", "chunked");
    response.set("Server-Stamp", "s");
    const HttpResponse passed = m_protocol.makeForwarded(response);
    const std::string head = serializeHead(passed, false);
    for (const char* name :
         { "Connection", "X-Hop", "Keep-Alive", "Transfer-Encoding" }) {
      CPPUNIT_ASSERT_MESSAGE(head, head.find(name) == std::string::npos);
    }
    CPPUNIT_ASSERT(head.find("Server-Stamp: s\r\n") != std::string::npos);
    CPPUNIT_ASSERT(head.find("Content-Length: 3\r\n") != std::string::npos);
  }

private:
  bool decodes(const std::string& aEntry) const
  {
    return m_itemDecoder.decodeServer({ "servers/x", aEntry, 1, false })
      .has_value();
  }

  static std::string settingsText()
  {
    return "node_name=edge-1\nzone=bkk-lat\nregion=bkk\n"
           "zones.bkk-lat=bkk\nlisten.frontend=10.1.0.9:8104\n"
           "listen.readiness=10.1.0.9:8108\nlisten.directory=10.1.0.9:8100\n"
           "port_range=7380,7395\nseeds=10.1.0.9:8106,10.2.0.2:8106\n"
           "limits.cpu_share=0.25\nlimits.cores=1\nunknown.key=x\n"
           "bounds.retry_budget_ratio=0.2\nbounds.retry_slack=54\n"
           "bounds.retry_window_s=10\nbounds.grace_s=6\n"
           "platform.address=10.200.1.7:8102\n";
  }

  ItemDecoder m_itemDecoder;
  Protocol m_protocol;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformAdapterTest);
