#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "client_http_p.h"
#include "script_server.h"

using namespace toucanridge;
using std::chrono::milliseconds;

namespace {

/// A fake entry node: answers requests for addresses and tickets, and calls a
/// function of the test for each query.
class FakeEntry
{
public:
  using Step = ScriptServer::Step;
  using OnQuery = std::function<Step(const std::string& aTicket)>;

  FakeEntry(const std::string& aAddress, OnQuery aOnQuery)
    : server(aAddress,
             [this, onQuery = std::move(aOnQuery)](std::size_t,
                                                   const std::string& aText) {
               if (aText.rfind("GET /v1/addresses", 0) == 0) {
                 return json("{\"valid_ms\":60000,\"addresses\":" + addresses +
                             "}");
               }
               if (aText.rfind("POST /v1/tickets", 0) == 0) {
                 return json("{\"tickets\":[\"ticket-" +
                             std::to_string(++issued) + "\"]}");
               }
               const std::size_t at = aText.find("ticket-");
               return onQuery(at == std::string::npos
                                ? std::string()
                                : aText.substr(at, aText.find('"', at) - at));
             })
  {
  }

  static Step json(const std::string& aBody)
  {
    return { "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: " +
             std::to_string(aBody.size()) + "\r\n\r\n" + aBody };
  }

  static Step answer(const std::string& aOutcome, const std::string& aReason)
  {
    return json(R"({"outcome":")" + aOutcome + R"(","reason":")" + aReason +
                "\"}");
  }

  std::string entry() const
  {
    const std::size_t colon = server.name().find(':');
    return R"({"address":")" + server.name().substr(0, colon) + R"(","port":)" +
           server.name().substr(colon + 1) + "}";
  }

  std::string addresses;
  int issued = 0;
  ScriptServer server; ///< last, as its threads use the members above
};

} // namespace

class ClientHttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientHttpTest);
  CPPUNIT_TEST(resendsWithSameTicket);
  CPPUNIT_TEST(resendsIdempotentElsewhere);
  CPPUNIT_TEST(reportsUnknownAfterBrokenConnections);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against resending a request with a second ticket, and so running it
  // twice, after its connection broke. Also guards against a client that
  // ignores the refusal "ticket required".
  void resendsWithSameTicket()
  {
    std::vector<std::string> seen;
    FakeEntry first("127.62.2.1", [&](const std::string& aTicket) {
      seen.push_back(aTicket);
      return aTicket.empty() ? FakeEntry::answer("not-run", "ticket required")
                             : FakeEntry::Step{ "", true };
    });
    FakeEntry second("127.62.2.2", [&](const std::string& aTicket) {
      seen.push_back(aTicket);
      return FakeEntry::answer("whole", "");
    });
    first.addresses = "[" + first.entry() + "," + second.entry() + "]";
    QueryClient client({ first.server.name() }, "");
    CPPUNIT_ASSERT(Outcome::Whole == client.query(request()).outcome);
    const std::vector<std::string> expected{ "", "ticket-1", "ticket-1" };
    CPPUNIT_ASSERT(expected == seen);
  }

  // Guards against a failed idempotent query when the first entry node breaks
  // the connection and another one is available.
  void resendsIdempotentElsewhere()
  {
    FakeEntry first("127.62.2.1", [](const std::string&) {
      return FakeEntry::Step{ "", true };
    });
    FakeEntry second("127.62.2.2", [](const std::string&) {
      return FakeEntry::answer("whole", "");
    });
    first.addresses = "[" + first.entry() + "," + second.entry() + "]";
    QueryClient client({ first.server.name() }, "");
    CPPUNIT_ASSERT(Outcome::Whole == client.query(request()).outcome);
  }

  // Guards against reporting NotRun when a node that may have run the query
  // broke the connection and the next one refuses the query.
  void reportsUnknownAfterBrokenConnections()
  {
    FakeEntry first("127.62.2.1", [](const std::string&) {
      return FakeEntry::Step{ "", true };
    });
    FakeEntry second("127.62.2.2", [](const std::string&) {
      return FakeEntry::answer("not-run", "overloaded");
    });
    first.addresses = "[" + first.entry() + "," + second.entry() + "]";
    QueryClient client({ first.server.name() }, "");
    CPPUNIT_ASSERT(Outcome::Unknown == client.query(request()).outcome);
    first.addresses = "[" + first.entry() + "]";
    QueryClient alone({ first.server.name() }, "");
    CPPUNIT_ASSERT(Outcome::Unknown == alone.query(request()).outcome);
  }

private:
  static QueryRequest request()
  {
    QueryRequest made;
    made.queryClass = "ship";
    made.body = "order";
    made.deadline = milliseconds(2000);
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientHttpTest);
