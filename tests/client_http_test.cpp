#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "client_http_p.h"
#include "script_server.h"

using namespace toucanridge;
using std::chrono::milliseconds;

namespace {

/// An entry node by script: answers addresses and tickets, and does what it is
/// told with a query.
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
  ScriptServer server; ///< last: its threads use the members above
};

} // namespace

class ClientHttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientHttpTest);
  CPPUNIT_TEST(resendsWithSameTicket);
  CPPUNIT_TEST(resendsIdempotentElsewhere);
  CPPUNIT_TEST(saysUnknownAfterBrokenConnections);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a second ticket, and so a second run, for one request whose
  // connection broke, and against a class whose need for tickets isn't learnt.
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
    Client client({ first.server.name() }, "");
    CPPUNIT_ASSERT(Outcome::Whole == client.query(request()).outcome);
    const std::vector<std::string> expected{ "", "ticket-1", "ticket-1" };
    CPPUNIT_ASSERT(expected == seen);
  }

  // Guards against an idempotent query that is lost with one entry node.
  void resendsIdempotentElsewhere()
  {
    FakeEntry first("127.62.2.1", [](const std::string&) {
      return FakeEntry::Step{ "", true };
    });
    FakeEntry second("127.62.2.2", [](const std::string&) {
      return FakeEntry::answer("whole", "");
    });
    first.addresses = "[" + first.entry() + "," + second.entry() + "]";
    Client client({ first.server.name() }, "");
    CPPUNIT_ASSERT(Outcome::Whole == client.query(request()).outcome);
  }

  // Guards against a false "not run" when a node that may have run the query
  // broke the connection and another one refuses.
  void saysUnknownAfterBrokenConnections()
  {
    FakeEntry first("127.62.2.1", [](const std::string&) {
      return FakeEntry::Step{ "", true };
    });
    FakeEntry second("127.62.2.2", [](const std::string&) {
      return FakeEntry::answer("not-run", "overloaded");
    });
    first.addresses = "[" + first.entry() + "," + second.entry() + "]";
    Client client({ first.server.name() }, "");
    CPPUNIT_ASSERT(Outcome::Unknown == client.query(request()).outcome);
    first.addresses = "[" + first.entry() + "]";
    Client alone({ first.server.name() }, "");
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
