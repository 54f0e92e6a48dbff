#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "query_fakes.h"

using namespace toucanridge;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kParts = 20;

/// @returns most extra attempts that a budget allows: the share of the first
/// attempts, the burst and two tokens for rounding
double
maxExtraAttempts(double aShare, std::uint64_t aFirst)
{
  return aShare * static_cast<double>(aFirst) + TokenBudget::kBurst + 2;
}

} // namespace

class QueryEngineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QueryEngineTest);
  CPPUNIT_TEST(boundsRetriesWhenAllFail);
  CPPUNIT_TEST(boundsHedgesWhenAllAreSlow);
  CPPUNIT_TEST(retriesWithoutBudgetWhatNoServerReceived);
  CPPUNIT_TEST(pausesAChargedRetryWithoutTarget);
  CPPUNIT_TEST(usesTheDeadlineWhenEveryServerIsLost);
  CPPUNIT_TEST(hedgesToAnotherServerAndCancelsTheLoser);
  CPPUNIT_TEST(sendsNoHedgeWithoutAnotherServer);
  CPPUNIT_TEST(hedgesAfterLearntPercentile);
  CPPUNIT_TEST(agesLearntLatency);
  CPPUNIT_TEST(neverHedgesNonIdempotent);
  CPPUNIT_TEST(neverRepeatsNonIdempotentThatMayHaveRun);
  CPPUNIT_TEST(retriesNoSnapshotAtAnotherServer);
  CPPUNIT_TEST(mergesNoReplyOfAnotherSnapshot);
  CPPUNIT_TEST(startsOverOnNewSnapshot);
  CPPUNIT_TEST(waitsForRulesThatNameTheNewSnapshot);
  CPPUNIT_TEST(namesMissingServicesWhenTooLateToStartOver);
  CPPUNIT_TEST(dropsDuplicateAndMismatchedReplies);
  CPPUNIT_TEST(answersEarlyOnlyForLatency);
  CPPUNIT_TEST(answersEarlyOnlyWithFewPartsMissing);
  CPPUNIT_TEST(fewStragglersDoNotDelayEarlyAnswers);
  CPPUNIT_TEST(answersByTheDeadline);
  CPPUNIT_TEST(armsATimerForTheDeadline);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a retry storm: when every server is lost, retries must stay
  // within the class's budget.
  void boundsRetriesWhenAllFail()
  {
    EngineFixture f(makeRules(kParts, "retry cover budget 10%"));
    for (int q = 0; q < 300; ++q) {
      f.submit("cover");
      for (auto sent = f.sender.take(); !sent.empty(); sent = f.sender.take()) {
        for (const auto& one : sent) {
          f.reply(one, SubStatus::Lost, Errc::Unreachable);
        }
      }
    }
    const auto& counters = f.engine.counters();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(300 * kParts),
                         counters.firstAttempts.load());
    CPPUNIT_ASSERT(static_cast<double>(counters.retries) <=
                   maxExtraAttempts(0.10, counters.firstAttempts));
    CPPUNIT_ASSERT(counters.retries > 300);
    CPPUNIT_ASSERT_EQUAL(std::size_t(300), f.answers.size());
  }

  // Guards against hedges that double the load when all servers slow down at
  // once: they must stay within the class's budget.
  void boundsHedgesWhenAllAreSlow()
  {
    EngineFixture f(makeRules(kParts, "hedge cover after 20ms budget 5%"));
    for (int q = 0; q < 200; ++q) {
      f.submit("cover");
      f.advance(milliseconds(30));
      for (const auto& one : f.sender.take()) {
        f.reply(one, SubStatus::Done);
      }
    }
    const auto& counters = f.engine.counters();
    CPPUNIT_ASSERT(counters.hedges > 100);
    CPPUNIT_ASSERT(static_cast<double>(counters.hedges) <=
                   maxExtraAttempts(0.05, counters.firstAttempts));
  }

  // Guards against charging retries for refusals that cost no server any work
  // (here from a wrong holder), and against giving up while the deadline allows
  // another attempt.
  void retriesWithoutBudgetWhatNoServerReceived()
  {
    EngineFixture f(makeRules(1, "retry cover budget 0%"));
    for (int q = 0; q < 50; ++q) {
      f.submit("cover");
      for (int round = 0; round < 12; ++round) {
        for (const auto& one : f.sender.take()) {
          f.reply(one, SubStatus::NotRun, Errc::NotHolder, false);
        }
        f.advance(milliseconds(20));
      }
      f.advance(milliseconds(160));
      for (const auto& one : f.sender.take()) {
        f.reply(one, SubStatus::Done);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(q + 1), f.answers.size());
      CPPUNIT_ASSERT(f.answers.back().outcome == Outcome::Whole);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), f.engine.counters().retries.load());
  }

  // Guards against a coverage class that gives up within milliseconds when all
  // servers of a service restart, although they return before its deadline.
  void usesTheDeadlineWhenEveryServerIsLost()
  {
    EngineFixture f(makeRules(1, "retry cover budget 100%"));
    f.submit("cover");
    f.reply(f.sender.take().at(0), SubStatus::Lost, Errc::Unreachable);
    for (int ms = 0; ms < 500; ++ms) {
      for (const auto& one : f.sender.take()) {
        f.reply(one, SubStatus::NotRun, Errc::Unreachable, false);
      }
      f.advance(milliseconds(1));
    }
    CPPUNIT_ASSERT(f.answers.empty());
    f.advance(milliseconds(160));
    f.reply(f.sender.take().at(0), SubStatus::Done);
    CPPUNIT_ASSERT(f.answers.at(0).outcome == Outcome::Whole);
  }

  // Guards against giving up after a charged retry found no other target: it
  // must be sent after a backoff. The service has one usable server and slot.
  void pausesAChargedRetryWithoutTarget()
  {
    RuleSet rules = makeRules(1,
                              "retry cover budget 100%\n"
                              "server 127.0.0.3:80 leaving",
                              7,
                              "slots 1 connections 8 connect-cost 1ms "
                              "cold-slots 1");
    EngineFixture f(rules);
    f.submit("cover");
    f.reply(f.sender.take().at(0), SubStatus::Lost, Errc::Unreachable);
    CPPUNIT_ASSERT(f.answers.empty());
    f.advance(milliseconds(20));
    f.reply(f.sender.take().at(0), SubStatus::Done);
    CPPUNIT_ASSERT(f.answers.at(0).outcome == Outcome::Whole);
  }

  // Guards against a hedge to the same slow server, an answer with both replies
  // of a part, and a slower attempt that isn't cancelled and keeps its slot.
  void hedgesToAnotherServerAndCancelsTheLoser()
  {
    EngineFixture f(makeRules(kParts, "hedge cover after 20ms budget 100%"));
    f.submit("cover");
    const auto first = f.sender.take();
    f.advance(milliseconds(19));
    CPPUNIT_ASSERT(f.sender.sent.empty());
    f.advance(milliseconds(2));
    const auto hedges = f.sender.take();
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), hedges.size()); // the burst is 10
    for (const auto& hedge : hedges) {
      const auto& origin = find(first, hedge.item.part);
      CPPUNIT_ASSERT_EQUAL(origin.item.service, hedge.item.service);
      CPPUNIT_ASSERT(origin.item.server != hedge.item.server);
    }
    f.reply(hedges[0], SubStatus::Done);
    const auto& loser = find(first, hedges[0].item.part);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.sender.cancels.size());
    CPPUNIT_ASSERT_EQUAL(loser.host, f.sender.cancels[0].first);
    CPPUNIT_ASSERT_EQUAL(loser.item.part, f.sender.cancels[0].second.part);
    CPPUNIT_ASSERT_EQUAL(loser.item.attempt,
                         f.sender.cancels[0].second.attempt);
    f.reply(loser, SubStatus::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         f.engine.counters().droppedReplies.load());
    for (const auto& one : first) {
      f.reply(one, SubStatus::Done);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(kParts), f.answers.at(0).parts.size());
    std::set<std::string> bodies;
    for (const auto& part : f.answers[0].parts) {
      bodies.insert(part.body);
    }
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(1),
      bodies.count(hedges[0].item.service + " from " + hedges[0].item.server));
  }

  // Guards against a hedge to the same slow server through another holder, when
  // the service has no other usable server.
  void sendsNoHedgeWithoutAnotherServer()
  {
    EngineFixture f(makeRules(1,
                              "hedge cover after 20ms budget 100%\n"
                              "server 127.0.0.3:80 leaving"));
    f.submit("cover");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.sender.take().size());
    f.advance(milliseconds(500));
    CPPUNIT_ASSERT(f.sender.sent.empty());
  }

  // Guards against hedges before the class's latency is known, and against none
  // once it is.
  void hedgesAfterLearntPercentile()
  {
    EngineFixture f(makeRules(kParts, "hedge cover after p95 budget 100%"));
    f.submit("cover");
    f.advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(kParts, f.sender.sent.size());
    for (const auto& one : f.sender.take()) {
      f.reply(one, SubStatus::Done);
    }
    f.learnLatency("cover", 150, milliseconds(40));
    f.submit("cover");
    f.sender.take();
    f.advance(milliseconds(30));
    CPPUNIT_ASSERT(f.sender.sent.empty());
    f.advance(milliseconds(30));
    CPPUNIT_ASSERT(!f.sender.sent.empty());
  }

  // Guards against an estimate that keeps the weight of samples from an earlier
  // slow period.
  void agesLearntLatency()
  {
    ManualClock clock;
    LatencyTracker tracker(clock, 0.95);
    for (std::size_t i = 0; i + 1 < LatencyTracker::kMinSamples; ++i) {
      tracker.add(milliseconds(500));
    }
    CPPUNIT_ASSERT(!tracker.value());
    tracker.add(milliseconds(500));
    CPPUNIT_ASSERT(tracker.value());
    for (std::size_t i = 0; i < 2 * LatencyTracker::kWindowSamples; ++i) {
      tracker.add(milliseconds(5));
    }
    CPPUNIT_ASSERT(*tracker.value() < milliseconds(6));
  }

  // Guards against a hedge of a request that must run at most once. The parser
  // refuses a hedge rule for such a class, so it is set in the rule set
  // directly.
  void neverHedgesNonIdempotent()
  {
    RuleSet rules = makeRules(1, "");
    HedgeRule hedge;
    hedge.mode = HedgeRule::Mode::Fixed;
    hedge.delay = milliseconds(5);
    hedge.budget = 1.0;
    rules.hedges["once"] = hedge;
    EngineFixture f(rules);
    f.submit("once");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.sender.take().size());
    f.advance(milliseconds(800));
    CPPUNIT_ASSERT(f.sender.sent.empty());
  }

  // Guards against repeating a request that isn't idempotent after its
  // connection was lost, and against no retry after a server refused it unrun.
  void neverRepeatsNonIdempotentThatMayHaveRun()
  {
    EngineFixture f(makeRules(1, "retry once budget 100%"));
    f.submit("once");
    f.reply(f.sender.take()[0], SubStatus::NotRun, Errc::Overloaded);
    const auto second = f.sender.take();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.size());
    f.reply(second[0], SubStatus::Lost, Errc::Unreachable);
    CPPUNIT_ASSERT(f.sender.sent.empty());
    CPPUNIT_ASSERT(f.answers.at(0).outcome == Outcome::Unknown);
  }

  // Guards against losing a part because one of its servers doesn't have the
  // snapshot yet, also when the retry budget is used up.
  void retriesNoSnapshotAtAnotherServer()
  {
    EngineFixture f(makeRules(kParts, "retry cover budget 0%"));
    f.submit("cover");
    const auto first = f.sender.take();
    for (const auto& one : first) {
      f.reply(one, SubStatus::NoSnapshot, Errc::NoSnapshot);
    }
    const auto second = f.sender.take();
    CPPUNIT_ASSERT_EQUAL(kParts, second.size());
    for (const auto& one : second) {
      CPPUNIT_ASSERT(find(first, one.item.part).item.server != one.item.server);
      f.reply(one, SubStatus::Done);
    }
    CPPUNIT_ASSERT(f.answers.at(0).outcome == Outcome::Whole);
  }

  // Guards against an answer merged from two snapshots, when servers reply from
  // another one than was asked for.
  void mergesNoReplyOfAnotherSnapshot()
  {
    EngineFixture f(makeRules(2, "retry cover budget 0%"));
    f.submit("cover");
    const auto first = f.sender.take();
    f.reply(first[0], SubStatus::Done);
    for (auto wrong = first[1];;) {
      SubReply reply = EngineFixture::makeReply(wrong, SubStatus::Done);
      reply.snapshot = 8;
      f.engine.onReply(wrong.host, reply);
      const auto more = f.sender.take();
      if (more.empty()) {
        break;
      }
      wrong = more[0];
    }
    f.advance(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.answers.size());
    CPPUNIT_ASSERT(f.answers[0].outcome == Outcome::Partial);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), f.answers[0].coverage.answered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), f.answers[0].snapshot);
  }

  // Guards against an answer that mixes parts from before and after a snapshot
  // change. The new snapshot has more services, and late replies from the old
  // one arrive after the query has started over.
  void startsOverOnNewSnapshot()
  {
    EngineFixture f(makeRules(kParts, "retry cover budget 0%"));
    f.submit("cover");
    const auto first = f.sender.take();
    for (std::size_t i = 0; i < kParts / 2; ++i) {
      f.reply(first[i], SubStatus::Done);
    }
    f.setRules(2, makeRules(kParts + 4, "", 8));
    f.reply(first[kParts / 2], SubStatus::NoSnapshot, Errc::NoSnapshot);
    const auto second = f.sender.take();
    CPPUNIT_ASSERT_EQUAL(kParts + 4, second.size());
    for (const auto& late : first) {
      f.reply(late, SubStatus::Done);
    }
    for (const auto& one : second) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), one.snapshot);
      f.reply(one, SubStatus::Done);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.answers.size());
    CPPUNIT_ASSERT(f.answers[0].outcome == Outcome::Whole);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), f.answers[0].snapshot);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(kParts + 4),
                         f.answers[0].coverage.total);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(kParts),
                         f.engine.counters().droppedReplies.load());
  }

  // Guards against failing every query while the servers have the new snapshot
  // but the rules that name it haven't arrived, and against retrying at the
  // servers without bound until they do.
  void waitsForRulesThatNameTheNewSnapshot()
  {
    waitForNewSnapshot(2);
    waitForNewSnapshot(kParts);
  }

  // Guards against starting over with too little time left, and against a
  // partial answer whose reason doesn't name the missing services.
  void namesMissingServicesWhenTooLateToStartOver()
  {
    EngineFixture f(makeRules(2, ""));
    f.submit("cover");
    const auto first = f.sender.take();
    f.reply(first[0], SubStatus::Done);
    f.advance(milliseconds(800));
    f.setRules(2, makeRules(2, "", 8));
    for (auto sent = std::deque<FakeSender::Sent>{ first[1] }; !sent.empty();
         sent = f.sender.take()) {
      f.reply(sent[0], SubStatus::NoSnapshot, Errc::NoSnapshot);
    }
    f.advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.answers.size());
    CPPUNIT_ASSERT(f.answers[0].outcome == Outcome::Partial);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), f.answers[0].snapshot);
    CPPUNIT_ASSERT(f.answers[0].reason.find(
                     "lacking " + first[1].item.service) != std::string::npos);
  }

  // Guards against counting a part twice, and against accepting a reply from a
  // host that wasn't asked, or for a query, part or attempt that doesn't exist.
  void dropsDuplicateAndMismatchedReplies()
  {
    EngineFixture f(makeRules(2, ""));
    f.submit("cover");
    const auto first = f.sender.take();
    f.reply(first[0], SubStatus::Done);
    f.reply(first[0], SubStatus::Done);
    SubReply reply = EngineFixture::makeReply(first[1], SubStatus::Done);
    f.engine.onReply("nobody", reply);
    reply.attempt = 1;
    f.engine.onReply(first[1].host, reply);
    reply.attempt = 0;
    reply.part = 9;
    f.engine.onReply(first[1].host, reply);
    reply.query += 1;
    f.engine.onReply(first[1].host, reply);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5),
                         f.engine.counters().droppedReplies.load());
    CPPUNIT_ASSERT(f.answers.empty());
    f.reply(first[1], SubStatus::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), f.answers.at(0).coverage.answered);
  }

  // Guards against a latency class that waits for one slow part until the
  // deadline, and against a coverage class that doesn't wait for it.
  void answersEarlyOnlyForLatency()
  {
    for (const char* name : { "quick", "cover" }) {
      EngineFixture f(makeRules(kParts, ""));
      f.learnLatency(name, 50, milliseconds(10));
      f.submit(name);
      const auto sent = f.sender.take();
      for (std::size_t i = 1; i < kParts; ++i) {
        f.reply(sent[i], SubStatus::Done);
      }
      f.advance(milliseconds(15));
      CPPUNIT_ASSERT(f.answers.empty());
      f.advance(milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t(name[0] == 'q' ? 1 : 0),
                           f.answers.size());
      f.advance(milliseconds(900));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.answers.size());
      CPPUNIT_ASSERT(f.answers[0].outcome == Outcome::Partial);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(kParts - 1),
                           f.answers[0].coverage.answered);
    }
  }

  // Guards against an early answer that misses more parts than the allowed
  // share: two of 20 are missing here.
  void answersEarlyOnlyWithFewPartsMissing()
  {
    EngineFixture f(makeRules(kParts, ""));
    f.learnLatency("quick", 50, milliseconds(10));
    f.submit("quick");
    const auto sent = f.sender.take();
    for (std::size_t i = 2; i < kParts; ++i) {
      f.reply(sent[i], SubStatus::Done);
    }
    f.advance(milliseconds(500));
    CPPUNIT_ASSERT(f.answers.empty());
  }

  // Guards against a learnt p95 that is the latency of a few slow parts, which
  // would delay early answers. One part in 40 is slow here.
  void fewStragglersDoNotDelayEarlyAnswers()
  {
    EngineFixture f(makeRules(kParts, ""));
    for (int q = 0; q < 100; ++q) {
      f.submit("quick");
      f.clock.advance(milliseconds(10));
      const auto sent = f.sender.take();
      for (std::size_t i = q % 2; i < kParts; ++i) {
        f.reply(sent[i], SubStatus::Done);
      }
      f.clock.advance(milliseconds(90));
      f.reply(sent[0], SubStatus::Done);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), f.answers.size());
    f.submit("quick");
    const auto sent = f.sender.take();
    for (std::size_t i = 1; i < kParts; ++i) {
      f.reply(sent[i], SubStatus::Done);
    }
    f.advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(101), f.answers.size());
  }

  // Guards against a caller that waits past its deadline because holders don't
  // reply or keep refusing.
  void answersByTheDeadline()
  {
    for (const bool refusing : { false, true }) {
      EngineFixture f(makeRules(kParts, "hedge cover after 5ms budget 20%"));
      f.submit("cover");
      for (int ms = 0; ms < 950 && f.answers.empty(); ++ms) {
        f.advance(milliseconds(1));
        for (const auto& one : f.sender.take()) {
          if (refusing) {
            f.reply(one, SubStatus::NotRun, Errc::NotHolder, false);
          }
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.answers.size());
      CPPUNIT_ASSERT(f.answers[0].outcome ==
                     (refusing ? Outcome::NotRun : Outcome::Unknown));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.engine.running());
    }
  }

  // Guards against a query without a timer, which would never end when no
  // holder replies.
  void armsATimerForTheDeadline()
  {
    boost::asio::io_context context;
    SystemClock clock;
    ViewHolder views;
    views.set(makeView(
      1, std::make_shared<const RuleSet>(makeRules(2, "")), makeHosts()));
    FakeSender sender;
    SlotChooser chooser(1, [](const std::string&) { return true; });
    QueryEngine engine(context, clock, views, sender, chooser, "a-1", 1);
    int answers = 0;
    QueryRequest request;
    request.queryClass = "cover";
    request.deadline = milliseconds(20);
    engine.submit(request, [&](const QueryAnswer&) { ++answers; });
    context.run_for(std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(1, answers);
  }

private:
  static void waitForNewSnapshot(std::size_t aParts)
  {
    EngineFixture f(makeRules(aParts, "retry cover budget 0%"));
    f.submit("cover");
    std::size_t asked = 0;
    for (int ms = 0; ms < 400; ++ms) {
      for (const auto& one : f.sender.take()) {
        ++asked;
        f.reply(one, SubStatus::NoSnapshot, Errc::NoSnapshot);
      }
      f.advance(milliseconds(1));
    }
    CPPUNIT_ASSERT(f.answers.empty());
    CPPUNIT_ASSERT(static_cast<double>(asked) <=
                   2 * aParts + TokenBudget::kBurst);
    f.setRules(2, makeRules(aParts, "", 8));
    f.advance(milliseconds(160));
    for (const auto& one : f.sender.take()) {
      f.reply(one, SubStatus::Done);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.answers.size());
    CPPUNIT_ASSERT(f.answers[0].outcome == Outcome::Whole);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), f.answers[0].snapshot);
  }

  static const FakeSender::Sent& find(const std::deque<FakeSender::Sent>& aList,
                                      std::uint32_t aPart)
  {
    for (const auto& one : aList) {
      if (one.item.part == aPart) {
        return one;
      }
    }
    CPPUNIT_FAIL("no attempt at that part");
    return aList.front();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueryEngineTest);
