/// Tests of the division of a server's stated request limit between hosts.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "rate_share_p.h"
#include "stated_limit_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RateLimitedServer kServer{ "i-1", "dc-0", 24.0 };

/// @returns hosts spread evenly over four data centres
SharingHosts
makeHosts(std::size_t aCount)
{
  SharingHosts hosts;
  for (std::size_t i = 0; i < aCount; ++i) {
    hosts.known.push_back(
      { "host-" + std::to_string(i), "dc-" + std::to_string(i % 4) });
  }
  hosts.count = aCount;
  return hosts;
}

} // namespace

class StatedLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StatedLimitTest);
  CPPUNIT_TEST(sharesAddUpToTheRate);
  CPPUNIT_TEST(hostsOfTheServersDataCentreGetMost);
  CPPUNIT_TEST(hostOutsideTheDivisionGetsNothing);
  CPPUNIT_TEST(startingHostLeavesRoomForUnknownHosts);
  CPPUNIT_TEST(holdsOverAnyWindow);
  CPPUNIT_TEST(endsWithAnAnswerThatStatesNoLimit);
  CPPUNIT_TEST(failureWithoutTheLimitDoesNotEndIt);
  CPPUNIT_TEST(unconfirmedLimitIsDropped);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against shares that exceed the rate together, or leave it unused.
  void sharesAddUpToTheRate()
  {
    for (const std::size_t count : { 1, 2, 7, 10, 30 }) {
      for (const double rate : { 0.3, 2.0, 24.0, 1e9 }) {
        const SharingHosts hosts = makeHosts(count);
        double sum = 0.0;
        for (const SharingHost& host : hosts.known) {
          sum += rateShare({ "i-1", "dc-0", rate }, hosts, host.name);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(rate, sum, rate * 1e-9);
      }
    }
  }

  // Guards against an equal division, which leaves most of the rate unused:
  // relays send a server's requests through hosts in its data centre.
  void hostsOfTheServersDataCentreGetMost()
  {
    const SharingHosts hosts = makeHosts(8);
    const double local =
      rateShare(kServer, hosts, "host-0") + rateShare(kServer, hosts, "host-4");
    CPPUNIT_ASSERT(local > 0.6 * kServer.perSecond);
    CPPUNIT_ASSERT(rateShare(kServer, hosts, "host-1") > 0.0);
  }

  // Guards against a standby host, or one that leaves, that sends at the full
  // rate because it has no share.
  void hostOutsideTheDivisionGetsNothing()
  {
    CPPUNIT_ASSERT_EQUAL(0.0, rateShare(kServer, SharingHosts(), "host-0"));
    CPPUNIT_ASSERT_EQUAL(0.0, rateShare(kServer, makeHosts(4), "host-9"));
    StatedLimit limit;
    limit.onAnswer(m_clock.now(), 24.0, true);
    limit.setShare(m_clock.now(), 24.0);
    m_clock.advance(seconds(2));
    limit.setShare(m_clock.now(), 0.0);
    CPPUNIT_ASSERT(!limit.allows(m_clock.now()));
  }

  // Guards against hosts that start together and each take a large share before
  // they know the others.
  void startingHostLeavesRoomForUnknownHosts()
  {
    SharingHosts hosts = makeHosts(1);
    hosts.count = 12;
    CPPUNIT_ASSERT(rateShare(kServer, hosts, "host-0") <=
                   kServer.perSecond / 12.0);
  }

  // Guards against hosts that together exceed 1.5 times the limit, and 5, in a
  // window of 4 s (1 s for a cold server): when they save tokens and send at
  // the same time, while a host restarts and others don't know yet that it
  // left, and with low limits.
  void holdsOverAnyWindow()
  {
    for (const std::size_t count : { 2, 8, 10, 30 }) {
      for (const double rate : { 0.3, 1.0, 6.0, 24.0, 100.0 }) {
        for (const seconds window : { seconds(1), seconds(4) }) {
          for (unsigned seed = 1; seed <= 5; ++seed) {
            const auto length = static_cast<double>(window.count());
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " hosts, " +
                                     std::to_string(rate) + " a second",
                                   mostInWindow(count, rate, window, seed) <=
                                     1.5 * length * rate + 5.0);
          }
        }
      }
    }
  }

  // Guards against a server that gets its reduced share for ever.
  void endsWithAnAnswerThatStatesNoLimit()
  {
    StatedLimit limit;
    CPPUNIT_ASSERT(limit.onAnswer(m_clock.now(), 2.0, true));
    CPPUNIT_ASSERT(!limit.onAnswer(m_clock.now(), 2.0, true));
    CPPUNIT_ASSERT(!limit.allows(m_clock.now()));
    CPPUNIT_ASSERT(limit.onAnswer(m_clock.now(), std::nullopt, true));
    CPPUNIT_ASSERT(limit.allows(m_clock.now()));
  }

  // Guards against a limit that ends with a failure in which it isn't repeated.
  void failureWithoutTheLimitDoesNotEndIt()
  {
    StatedLimit limit;
    limit.onAnswer(m_clock.now(), 2.0, true);
    CPPUNIT_ASSERT(!limit.onAnswer(m_clock.now(), std::nullopt, false));
    CPPUNIT_ASSERT(limit.perSecond(m_clock.now()).has_value());
  }

  // Guards against a host without a share that never uses the server again: it
  // gets no answer that shows the end of the limit.
  void unconfirmedLimitIsDropped()
  {
    StatedLimit limit;
    limit.onAnswer(m_clock.now(), 2.0, true);
    m_clock.advance(StatedLimit::kMaxAge - milliseconds(1));
    CPPUNIT_ASSERT(!limit.allows(m_clock.now()));
    m_clock.advance(milliseconds(1));
    CPPUNIT_ASSERT(limit.allows(m_clock.now()));
  }

private:
  /// Simulates hosts that send all they may, with pauses of some seconds in
  /// which they save tokens. The first host restarts after 10 s; the others
  /// notice that it left only a second later, and that it is back at once.
  /// @returns most requests of all hosts in a window
  double mostInWindow(std::size_t aHosts,
                      double aRate,
                      milliseconds aWindow,
                      unsigned aSeed)
  {
    constexpr milliseconds kStep{ 20 };
    constexpr int kStepsInPhase = 100;
    constexpr int kRestartAt = 500;
    constexpr int kNoticedAt = 550;
    constexpr int kBackAt = 600;
    constexpr int kSteps = 1200;
    const auto stepsInWindow = static_cast<std::size_t>(aWindow / kStep);
    std::mt19937 random(aSeed);
    const RateLimitedServer server{ "i-1", "dc-0", aRate };
    const SharingHosts all = makeHosts(aHosts);
    SharingHosts others = all;
    others.known.erase(others.known.begin());
    others.count = others.known.size();
    std::vector<StatedLimit> limits(aHosts);
    for (StatedLimit& limit : limits) {
      limit.onAnswer(m_clock.now(), aRate, true);
    }
    bool sends = true;
    std::deque<int> window;
    int inWindow = 0;
    int most = 0;
    for (int step = 0; step < kSteps; ++step) {
      const bool firstIsDown = step >= kRestartAt && step < kBackAt;
      if (step == kBackAt) {
        limits[0] = StatedLimit();
        limits[0].onAnswer(m_clock.now(), aRate, true);
      }
      const SharingHosts& hosts =
        step >= kNoticedAt && step < kBackAt ? others : all;
      if (step % kStepsInPhase == 0) {
        sends = random() % 3 != 0;
      }
      int sent = 0;
      for (std::size_t i = firstIsDown ? 1 : 0; i < aHosts; ++i) {
        limits[i].onAnswer(m_clock.now(), aRate, true);
        limits[i].setShare(m_clock.now(),
                           rateShare(server, hosts, all.known[i].name));
        while (sends && limits[i].allows(m_clock.now())) {
          limits[i].onSend(m_clock.now(), false);
          ++sent;
        }
      }
      m_clock.advance(kStep);
      window.push_back(sent);
      inWindow += sent;
      if (window.size() > stepsInWindow) {
        inWindow -= window.front();
        window.pop_front();
      }
      most = std::max(most, inWindow);
    }
    return most;
  }

  ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatedLimitTest);
