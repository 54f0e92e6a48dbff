#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>
#include <vector>

#include "cold_limit_p.h"
#include "shared_budget_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

class SharedBudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SharedBudgetTest);
  CPPUNIT_TEST(holdsOverAnyWindow);
  CPPUNIT_TEST(holdsWhenAllRestart);
  CPPUNIT_TEST(refillsFromTheStartOfTheHost);
  CPPUNIT_TEST(refillsOnlyByRequestsWithoutShare);
  CPPUNIT_TEST(coldServerGetsItsShare);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against extra load beyond the limit when all hosts send as much as
  // they may, in bursts, over every sliding window.
  void holdsOverAnyWindow()
  {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             worstExcess(seed, 0) <= 0);
    }
  }

  // Guards against restarts that refill the budget: a restarted host doesn't
  // know what it spent before, so its bucket has to start empty.
  void holdsWhenAllRestart()
  {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             worstExcess(seed, 150) <= 0);
    }
  }

  // Guards against an empty budget for a service that is first used when the
  // host has been running for a while: the refill begins at the host's start.
  void refillsFromTheStartOfTheHost()
  {
    const TimePoint started = m_clock.now();
    m_clock.advance(std::chrono::seconds(10));
    SharedBudget budget(m_clock, m_limit, started);
    budget.setSharingHosts(7);
    CPPUNIT_ASSERT(budget.trySpend());
    CPPUNIT_ASSERT(budget.trySpend());
    SharedBudget fresh(m_clock, m_limit, m_clock.now());
    fresh.setSharingHosts(7);
    CPPUNIT_ASSERT(!fresh.trySpend());
  }

  // Guards against hosts without a share (standby) that get slack nonetheless
  // and so exceed the limit.
  void refillsOnlyByRequestsWithoutShare()
  {
    SharedBudget budget(m_clock, m_limit, m_clock.now());
    budget.setSharingHosts(0);
    m_clock.advance(std::chrono::seconds(60));
    CPPUNIT_ASSERT(!budget.trySpend());
    for (int i = 0; i < 10; ++i) {
      budget.onRequest();
    }
    CPPUNIT_ASSERT(budget.trySpend());
    CPPUNIT_ASSERT(!budget.trySpend());
  }

  // Guards against hosts that together send a cold server more requests than it
  // can handle: 8 a second over 3 seconds.
  void coldServerGetsItsShare()
  {
    constexpr std::size_t kHosts = 4;
    std::vector<ColdLimit> hosts(kHosts);
    for (ColdLimit& host : hosts) {
      host.setShare(m_clock.now(), 8.0 / kHosts);
      host.setCold(m_clock.now(), std::chrono::seconds(10));
    }
    int sent = 0;
    for (int step = 0; step < 300; ++step) {
      for (ColdLimit& host : hosts) {
        if (host.allows(m_clock.now())) {
          host.onSend(m_clock.now());
          ++sent;
        }
      }
      m_clock.advance(milliseconds(10));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent <= 24);
    CPPUNIT_ASSERT(sent >= 16);
    m_clock.advance(std::chrono::seconds(10));
    CPPUNIT_ASSERT(hosts[0].allows(m_clock.now()));
  }

private:
  /// Simulates hosts that share a service and spend all the budget they can.
  /// @param[in] aRestartAt step at which every host restarts, 0: never
  /// @returns by how much the worst window exceeds the limit
  double worstExcess(unsigned aSeed, int aRestartAt)
  {
    constexpr std::size_t kHosts = 7;
    constexpr int kSteps = 300;
    constexpr int kStepsInWindow = 100;
    std::mt19937 random(aSeed);
    const auto makeHosts = [this] {
      std::vector<SharedBudget> hosts(
        kHosts, SharedBudget(m_clock, m_limit, m_clock.now()));
      for (SharedBudget& host : hosts) {
        host.setSharingHosts(kHosts);
      }
      return hosts;
    };
    auto hosts = makeHosts();
    std::deque<std::pair<int, int>> window; ///< requests and extras of a step
    int requests = 0;
    int extras = 0;
    double worst = -1e9;
    for (int step = 1; step <= kSteps; ++step) {
      if (step == aRestartAt) {
        hosts = makeHosts();
      }
      std::pair<int, int> now{ 0, 0 };
      for (SharedBudget& host : hosts) {
        for (unsigned i = random() % 3; i > 0; --i) {
          host.onRequest();
          ++now.first;
        }
        // Saves tokens at random, then spends them in a burst.
        while (random() % 40 == 0 && host.trySpend()) {
          ++now.second;
        }
      }
      m_clock.advance(milliseconds(100));
      window.push_back(now);
      requests += now.first;
      extras += now.second;
      if (window.size() > kStepsInWindow) {
        requests -= window.front().first;
        extras -= window.front().second;
        window.pop_front();
      }
      if (window.size() == kStepsInWindow) {
        worst =
          std::max(worst, extras - (m_limit.ratio * requests + m_limit.slack));
      }
    }
    return worst;
  }

  ManualClock m_clock;
  BudgetLimit m_limit{ 0.2, 54, milliseconds(10'000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedBudgetTest);
