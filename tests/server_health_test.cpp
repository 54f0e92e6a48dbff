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
  CPPUNIT_TEST(avoidsServerWithAnOverdueRequest);
  CPPUNIT_TEST(boundsTheEffectOfOnePause);
  CPPUNIT_TEST(answersBeforeTheAim);
  CPPUNIT_TEST(countsTimeOfEarlierTries);
  CPPUNIT_TEST(neededPartsRoundUp);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against traffic between data centres that gains nothing: the server
  // in the own data centre is chosen unless it is busy.
  void prefersNearServer()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         chooseServer({ option(0), near(1) }, 0.3));
    ServerOption busy = near(1);
    busy.running = 3;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         chooseServer({ option(0), busy }, 0.3));
  }

  // Guards against a slow server that stays preferred, and against one that is
  // still avoided after its averages have decayed.
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
    m_now += 4 * Duration(ServerHealth::kDecayTime);
    slow.slowness = health.slowness(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         chooseServer({ option(0), slow }, 0.9));
  }

  // Guards against preferring a server that answers fast but with failures.
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

  // Guards against a service left without a server because its only one is
  // slow, failing or avoided: it must still be chosen.
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

  // Guards against parts that are sent to a local server while it is paused:
  // its average shows that only after several overdue parts.
  void avoidsServerWithAnOverdueRequest()
  {
    ServerHealth health;
    health.onAnswer(m_now, 1.0);
    const auto choice = [&health](TimePoint aNow) {
      ServerOption local = near(0);
      local.slowness = health.slowness(aNow);
      return chooseServer({ local, option(1) }, 0.5);
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), choice(m_now));
    health.onOverdue(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), choice(m_now));
    // It is tried again after a while, or once it has responded.
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         choice(m_now + ServerHealth::kStallTime));
    health.onOverdue(m_now);
    health.onResponse();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), choice(m_now));
  }

  // Guards against a single short pause that shifts load away from the server
  // for seconds: the observed ratio has to be bounded.
  void boundsTheEffectOfOnePause()
  {
    ServerHealth health;
    health.onAnswer(m_now, 1.0);
    health.onCancelled(m_now, 40.0);
    CPPUNIT_ASSERT(health.slowness(m_now) < 3.0);
    health.onAnswer(m_now, 1.0);
    health.onAnswer(m_now, 1.0);
    health.onAnswer(m_now, 1.0);
    CPPUNIT_ASSERT(health.slowness(m_now) < 1.8);
  }

  // Guards against an answer that is sent at the target latency and so reaches
  // the caller after it.
  void answersBeforeTheAim()
  {
    RouteTiming timing(m_clock);
    const TimePoint received = m_clock.now();
    const QuerySchedule kept =
      timing.schedule(m_route, received, milliseconds(800), false);
    const QuerySchedule first =
      timing.schedule(m_route, received, milliseconds(800), true);
    CPPUNIT_ASSERT(kept.targetAt < received + milliseconds(80));
    CPPUNIT_ASSERT(kept.targetAt > received + milliseconds(60));
    CPPUNIT_ASSERT(first.targetAt < kept.targetAt);
    CPPUNIT_ASSERT(kept.giveUpAt < received + milliseconds(800));
    CPPUNIT_ASSERT(kept.giveUpAt > kept.targetAt);
  }

  // Guards against scheduling a caller's retry as if the earlier attempt had
  // taken no time: its shorter deadline shows the time spent.
  void countsTimeOfEarlierTries()
  {
    RouteTiming timing(m_clock);
    const TimePoint received = m_clock.now();
    timing.schedule(m_route, received, milliseconds(800), false);
    const QuerySchedule again =
      timing.schedule(m_route, received, milliseconds(760), false);
    CPPUNIT_ASSERT(again.targetAt < received + milliseconds(40));
  }

  // Guards against a partial answer below the minimum coverage, caused by
  // rounding the number of parts down.
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
    m_route.targetLatency = milliseconds(80);
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
    made.sameDataCentre = true;
    return made;
  }

  ManualClock m_clock;
  TimePoint m_now{ std::chrono::seconds(50) };
  Route m_route;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerHealthTest);
