#include <cppunit/extensions/HelperMacros.h>

#include "answer_timing_p.h"
#include "server_health_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

class ServerHealthTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerHealthTest);
  CPPUNIT_TEST(prefersNearServer);
  CPPUNIT_TEST(leavesSlowServerAndReturns);
  CPPUNIT_TEST(leavesFailingServer);
  CPPUNIT_TEST(usesLastServerWhateverIsKnown);
  CPPUNIT_TEST(onePauseIsNoSlowness);
  CPPUNIT_TEST(answersBeforeTheAim);
  CPPUNIT_TEST(countsTimeOfEarlierTries);
  CPPUNIT_TEST(neededPartsRoundUp);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against bytes between data centres that buy nothing.
  void prefersNearServer()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         chooseServer({ option(0), near(1) }, 0.3));
    ServerOption busy = near(1);
    busy.running = 3;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         chooseServer({ option(0), busy }, 0.3));
  }

  // Guards against a slow server that stays in use, and one that recovered
  // and stays out of use.
  void leavesSlowServerAndReturns()
  {
    ServerHealth health;
    for (int i = 0; i < 6; ++i) {
      health.onAnswer(m_now, 9.0);
    }
    ServerOption slow = near(1);
    slow.slowness = health.slowness(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         chooseServer({ option(0), slow }, 0.9));
    m_now += 4 * Duration(ServerHealth::kFade);
    slow.slowness = health.slowness(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         chooseServer({ option(0), slow }, 0.9));
  }

  // Guards against a server that fails its requests while it answers fast.
  void leavesFailingServer()
  {
    ServerHealth health;
    health.onFailure(m_now);
    health.onFailure(m_now);
    ServerOption failing = near(1);
    failing.failures = health.failures(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         chooseServer({ option(0), failing }, 0.0));
  }

  // Guards against a service that suspicion alone leaves without a server.
  void usesLastServerWhateverIsKnown()
  {
    ServerOption worst = option(0);
    worst.slowness = 8.0;
    worst.failures = 1.0;
    worst.avoided = true;
    worst.running = 50;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), chooseServer({ worst }, 0.5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), chooseServer({}, 0.5));
  }

  // Guards against a pause of a moment that moves a server's load for seconds.
  void onePauseIsNoSlowness()
  {
    ServerHealth health;
    health.onAnswer(m_now, 1.0);
    health.onSilence(m_now, 40.0);
    CPPUNIT_ASSERT(health.slowness(m_now) < 3.0);
    health.onAnswer(m_now, 1.0);
    health.onAnswer(m_now, 1.0);
    health.onAnswer(m_now, 1.0);
    CPPUNIT_ASSERT(health.slowness(m_now) < 1.8);
  }

  // Guards against an answer that leaves at the aim and arrives after it.
  void answersBeforeTheAim()
  {
    RouteTiming timing(m_clock);
    const TimePoint received = m_clock.now();
    const QuerySchedule kept =
      timing.schedule(m_route, received, milliseconds(800), false);
    const QuerySchedule first =
      timing.schedule(m_route, received, milliseconds(800), true);
    CPPUNIT_ASSERT(kept.aimAt < received + milliseconds(80));
    CPPUNIT_ASSERT(kept.aimAt > received + milliseconds(60));
    CPPUNIT_ASSERT(first.aimAt < kept.aimAt);
    CPPUNIT_ASSERT(kept.giveUpAt < received + milliseconds(800));
    CPPUNIT_ASSERT(kept.completeBy >= kept.aimAt);
  }

  // Guards against a caller's second try that is answered as if its time began
  // anew.
  void countsTimeOfEarlierTries()
  {
    RouteTiming timing(m_clock);
    const TimePoint received = m_clock.now();
    timing.schedule(m_route, received, milliseconds(800), false);
    const QuerySchedule again =
      timing.schedule(m_route, received, milliseconds(760), false);
    CPPUNIT_ASSERT(again.aimAt < received + milliseconds(40));
  }

  // Guards against a partial answer below the least coverage.
  void neededPartsRoundUp()
  {
    Route route;
    route.shards.assign(20, "s");
    route.minCoverage = 0.89;
    CPPUNIT_ASSERT_EQUAL(std::size_t(18), partsNeeded(route));
    route.minCoverage = 0.75;
    CPPUNIT_ASSERT_EQUAL(std::size_t(15), partsNeeded(route));
    route.minCoverage = 0.0;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), partsNeeded(route));
  }

  void setUp() override
  {
    m_route.aim = milliseconds(80);
    m_route.timeLimit = milliseconds(800);
  }

private:
  static ServerOption option(std::size_t aIndex)
  {
    ServerOption made;
    made.index = aIndex;
    made.slots = 3;
    return made;
  }
  static ServerOption near(std::size_t aIndex)
  {
    ServerOption made = option(aIndex);
    made.near = true;
    return made;
  }

  ManualClock m_clock;
  TimePoint m_now{ std::chrono::seconds(50) };
  Route m_route;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerHealthTest);
