#include <cppunit/extensions/HelperMacros.h>

#include "server_health_p.h"
#include "server_reach_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

class ServerReachTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerReachTest);
  CPPUNIT_TEST(lostWhenAllServersAreSilent);
  CPPUNIT_TEST(keptWhileAnyServerAnswers);
  CPPUNIT_TEST(keptWhenFewServersAreSilent);
  CPPUNIT_TEST(unreachableServerIsTriedAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a host that tries servers until the deadline while its own
  // network path to all of them is cut, and one that never notices the end.
  void lostWhenAllServersAreSilent()
  {
    silence(8);
    CPPUNIT_ASSERT(!m_reach.isLost());
    m_clock.advance(ServerReach::kSilence);
    CPPUNIT_ASSERT(m_reach.isLost());
    m_reach.onContact();
    CPPUNIT_ASSERT(!m_reach.isLost());
  }

  // Guards against a host that gives its work away because many servers are
  // down or slow.
  void keptWhileAnyServerAnswers()
  {
    for (int i = 0; i < 20; ++i) {
      silence(8);
      m_clock.advance(milliseconds(100));
      m_reach.onContact();
      CPPUNIT_ASSERT(!m_reach.isLost());
    }
  }

  // Guards against the same because the servers of one shard are down while the
  // host has no other work.
  void keptWhenFewServersAreSilent()
  {
    silence(3);
    m_clock.advance(milliseconds(5000));
    CPPUNIT_ASSERT(!m_reach.isLost());
  }

  // Guards against hosts that each forward all queries because none tries a
  // server again that refused a connection.
  void unreachableServerIsTriedAgain()
  {
    ServerHealth health;
    health.onUnreachable(m_clock.now());
    CPPUNIT_ASSERT(health.isUnreachable(m_clock.now()));
    m_clock.advance(ServerHealth::kUnreachableTime);
    CPPUNIT_ASSERT(!health.isUnreachable(m_clock.now()));
    health.onUnreachable(m_clock.now());
    health.onResponse();
    CPPUNIT_ASSERT(!health.isUnreachable(m_clock.now()));
  }

private:
  void silence(int aServers)
  {
    for (int i = 0; i < aServers; ++i) {
      m_reach.onNoAnswer("s" + std::to_string(i));
    }
  }

  ManualClock m_clock;
  ServerReach m_reach{ m_clock };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerReachTest);
