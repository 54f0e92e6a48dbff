#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "server_table_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ServerTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerTableTest);
  CPPUNIT_TEST(hostWithoutShareSendsNothingToColdServer);
  CPPUNIT_TEST(coldServerGetsRequestsWhileItsEntryChanges);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against standby hosts that each send a cold server the rate that it
  // accepts from all hosts together.
  void hostWithoutShareSendsNothingToColdServer()
  {
    ServerTable table(m_context, m_clock, "host-0", "dc-0");
    CPPUNIT_ASSERT_EQUAL(0, sendFor(table, seconds(3)));
  }

  // Guards against a cold server that gets no request until it is warm because
  // each change of its published entry restarts the wait for the next one.
  void coldServerGetsRequestsWhileItsEntryChanges()
  {
    ServerTable table(m_context, m_clock, "host-0", "dc-0");
    SharingHosts hosts;
    hosts.count = 8;
    for (int i = 0; i < 8; ++i) {
      hosts.known.push_back(
        { "host-" + std::to_string(i), "dc-" + std::to_string(i) });
    }
    table.setSharingHosts(hosts);
    CPPUNIT_ASSERT(sendFor(table, seconds(4)) > 0);
  }

private:
  /// Sends all requests that the table allows for a cold server whose entry
  /// changes twice a second.
  /// @returns their number
  int sendFor(ServerTable& aTable, milliseconds aTime)
  {
    ServiceContract contract;
    contract.name = "s";
    contract.coldRequestsPerSecond = 4.0;
    const RoutingTable routing(1, {}, { contract }, HttpLimits());
    BackendServer server;
    server.id = "i-1";
    server.service = "s";
    server.address = "127.0.0.1";
    server.dataCentre = "dc-1";
    int sent = 0;
    for (milliseconds elapsed{ 0 }; elapsed < aTime;
         elapsed += milliseconds(10)) {
      if (elapsed.count() % 500 == 0) {
        ServerCatalogue catalogue;
        server.coldLeft = seconds(10) - elapsed;
        catalogue.servers.push_back(server);
        aTable.update(catalogue, routing);
      }
      ColdLimit& limit = aTable.usable("s").front()->coldLimit;
      if (limit.allows(m_clock.now())) {
        limit.onSend(m_clock.now());
        ++sent;
      }
      m_clock.advance(milliseconds(10));
    }
    return sent;
  }

  boost::asio::io_context m_context;
  ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTableTest);
