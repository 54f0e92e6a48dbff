#include <cppunit/extensions/HelperMacros.h>

#include "answer_timing_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

class AnswerTimingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AnswerTimingTest);
  CPPUNIT_TEST(waitsForAllPartsUntilTheTarget);
  CPPUNIT_TEST(answersOnceEnoughPartsArriveLate);
  CPPUNIT_TEST(endsWhenNoPartMayArrive);
  CPPUNIT_TEST(answersEarlierOnASlowHost);
  CPPUNIT_TEST(forgetsASlowAnswer);
  CPPUNIT_TEST(boundsTheReservedTime);
  CPPUNIT_TEST(hedgesAgainstTheQuerysOwnParts);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_route.targetLatency = milliseconds(200);
    m_route.timeLimit = milliseconds(1200);
    m_schedule.targetAt = m_start + milliseconds(190);
    m_schedule.giveUpAt = m_start + milliseconds(1170);
  }

  // Guards against a partial answer while there is time for the missing parts,
  // and against an answer held back although it is whole.
  void waitsForAllPartsUntilTheTarget()
  {
    CPPUNIT_ASSERT(AnswerStep::Wait == decide(19, milliseconds(189)));
    CPPUNIT_ASSERT(AnswerStep::Answer == decide(20, milliseconds(20)));
    CPPUNIT_ASSERT(AnswerStep::Answer == decide(18, milliseconds(190)));
  }

  // Guards against a caller that waits twice its target latency for the last
  // parts of an answer that is already late.
  void answersOnceEnoughPartsArriveLate()
  {
    CPPUNIT_ASSERT(AnswerStep::Wait == decide(17, milliseconds(190)));
    CPPUNIT_ASSERT(AnswerStep::Answer == decide(18, milliseconds(194)));
  }

  // Guards against a query that waits for its deadline although no part is
  // outstanding, and against a success below the minimum coverage.
  void endsWhenNoPartMayArrive()
  {
    CPPUNIT_ASSERT(AnswerStep::Answer == decide(18, milliseconds(50), false));
    CPPUNIT_ASSERT(AnswerStep::Fail == decide(17, milliseconds(50), false));
    CPPUNIT_ASSERT(AnswerStep::Fail == decide(17, milliseconds(1170)));
  }

  // Guards against answers that miss the target on a host with a small share of
  // a core, whose timers are late and whose merge takes long.
  void answersEarlierOnASlowHost()
  {
    const TimePoint before = targetAt();
    m_timing.onAnswerDelay(milliseconds(12));
    CPPUNIT_ASSERT(before - milliseconds(7) == targetAt());
  }

  // Guards against one late timer that shortens all later queries.
  void forgetsASlowAnswer()
  {
    const TimePoint before = targetAt();
    m_timing.onAnswerDelay(milliseconds(20));
    for (int i = 0; i < 50; ++i) {
      m_timing.onAnswerDelay(milliseconds(1));
    }
    CPPUNIT_ASSERT(before == targetAt());
  }

  // Guards against a host that stands still for a moment and then answers
  // without waiting for any part.
  void boundsTheReservedTime()
  {
    m_timing.onAnswerDelay(milliseconds(900));
    CPPUNIT_ASSERT(targetAt() >= m_start + milliseconds(160));
  }

  // Guards against hedges for all parts of a query whose work is slow on every
  // server, and against none while no part has arrived.
  void hedgesAgainstTheQuerysOwnParts()
  {
    CPPUNIT_ASSERT(partHedgeDelay(m_route, milliseconds(100)) >
                   milliseconds(150));
    CPPUNIT_ASSERT(partHedgeDelay(m_route, Duration(0)) == milliseconds(100));
  }

private:
  AnswerStep decide(std::size_t aReceived,
                    milliseconds aAfter,
                    bool aMayArrive = true) const
  {
    return decideAnswer(
      { aReceived, 18, 20, aMayArrive }, m_schedule, m_start + aAfter);
  }

  TimePoint targetAt()
  {
    return m_timing.schedule(m_route, m_start, milliseconds(1200), false)
      .targetAt;
  }

  ManualClock m_clock;
  RouteTiming m_timing{ m_clock };
  Route m_route;
  const TimePoint m_start{ std::chrono::seconds(50) };
  QuerySchedule m_schedule;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerTimingTest);
