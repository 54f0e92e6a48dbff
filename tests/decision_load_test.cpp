/// Plays a load on the decisions about answers and admission, and checks what
/// the callers get.

#include <cppunit/extensions/HelperMacros.h>

#include "load_model.h"

using namespace toucanridge;
using namespace toucanridge::load_model;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeeds = 4;

Load
gatherLoad(std::size_t aShards, double aMinCoverage)
{
  Load load;
  load.route.shards.assign(aShards, "s");
  load.route.targetLatency = milliseconds(200);
  load.route.timeLimit = milliseconds(1200);
  load.route.minCoverage = aMinCoverage;
  load.route.maxAttempts = 2;
  return load;
}

Outcome
play(const Load& aLoad, const Policy& aPolicy)
{
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = Model(aLoad, aPolicy, seed).run();
    sum.asked += one.asked;
    sum.inTarget += one.inTarget;
    sum.late += one.late;
    sum.failed += one.failed;
    sum.refused += one.refused;
    sum.first += one.first;
    sum.extra += one.extra;
    sum.credit += one.credit;
    sum.latenciesMs.insert(
      sum.latenciesMs.end(), one.latenciesMs.begin(), one.latenciesMs.end());
  }
  return sum;
}

} // namespace

class DecisionLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DecisionLoadTest);
  CPPUNIT_TEST(ordinaryLoadIsServedWhole);
  CPPUNIT_TEST(lateAnswersDontWaitForTheLastParts);
  CPPUNIT_TEST(pausedServersGetFewParts);
  CPPUNIT_TEST(crowdsAreRefusedBeforeAllQueriesAreLate);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a model whose servers are overloaded without a fault, in
  // which the other loads would show nothing.
  void ordinaryLoadIsServedWhole()
  {
    const Outcome outcome = play(gatherLoad(20, 0.89), {});
    CPPUNIT_ASSERT(outcome.meanCredit() > 0.95);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), outcome.refused);
  }

  // Load: one replica of half of the shards is slow, so that many queries lack
  // more parts than they may at their target. Guards against callers of late
  // answers who wait until twice the target for parts that mostly don't come.
  void lateAnswersDontWaitForTheLastParts()
  {
    Load load = gatherLoad(90, 0.95);
    load.replicas = 3;
    load.slots = 2;
    load.queriesPerSecond = 60.0;
    load.phases = { { seconds(2), seconds(12), 75, 8.0, 2.2 } };
    Policy former;
    former.answer = [&load](const PartCounts& aParts,
                            const QuerySchedule& aSchedule,
                            TimePoint aNow) {
      const TimePoint completeBy =
        aSchedule.targetAt + Duration(load.route.targetLatency);
      const AnswerStep step = decideAnswer(aParts, aSchedule, aNow);
      // Also waits where the target has just been reached: the parts received
      // by then are those of the latest event.
      return step == AnswerStep::Answer && aNow > aSchedule.targetAt &&
                 aNow < completeBy && aParts.received < aParts.total
               ? AnswerStep::Wait
               : step;
    };
    const Outcome before = play(load, former);
    const Outcome now = play(load, {});
    CPPUNIT_ASSERT(now.meanCredit() >= before.meanCredit() - 0.005);
    CPPUNIT_ASSERT(now.percentileMs(0.95) < before.percentileMs(0.95) - 50.0);
  }

  // Load: quick queries whose target leaves little time after a hedge, at
  // servers that pause for 250 ms every 6 s. Guards against parts sent to a
  // local server during its pause, each of which costs a hedge: at least a
  // tenth fewer hedges, at the same credit and with no later answers.
  void pausedServersGetFewParts()
  {
    Load load = gatherLoad(20, 0.75);
    load.work = milliseconds(10);
    load.route.targetLatency = milliseconds(80);
    load.queriesPerSecond = 120.0;
    Policy former;
    former.reportOverdue = false;
    const Outcome before = play(load, former);
    const Outcome now = play(load, {});
    CPPUNIT_ASSERT(static_cast<double>(now.extra) <=
                   0.9 * static_cast<double>(before.extra));
    CPPUNIT_ASSERT(now.meanCredit() >= before.meanCredit() - 0.001);
    CPPUNIT_ASSERT(now.percentileMs(0.95) <= before.percentileMs(0.95));
  }

  // Load: callers come at 3.5 times the usual rate, which is more than the
  // servers can bear. Guards against an overload in which every query waits in
  // the servers' queues and none is in time. Without refusals the credit is to
  // be lower by at least 0.1.
  void crowdsAreRefusedBeforeAllQueriesAreLate()
  {
    Load load = gatherLoad(20, 0.89);
    load.phases = { { seconds(2), seconds(12), 0, 1.0, 3.5 } };
    Policy admitAll;
    admitAll.isOverloaded = [](Duration, Duration) { return false; };
    const Outcome all = play(load, admitAll);
    const Outcome now = play(load, {});
    CPPUNIT_ASSERT(now.meanCredit() >= all.meanCredit() + 0.1);
    CPPUNIT_ASSERT(now.failed <= all.failed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLoadTest);
