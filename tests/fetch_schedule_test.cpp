#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "fetch_schedule_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

class FetchScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FetchScheduleTest);
  CPPUNIT_TEST(fetchesAfterOneDigest);
  CPPUNIT_TEST(fetchesNothingThatArrivedMeanwhile);
  CPPUNIT_TEST(asksAnotherPeerWhenNoReplyArrives);
  CPPUNIT_TEST(asksEachPeerOnceBeforeAnyTwice);
  CPPUNIT_TEST(fetchesAtOnceWithoutDelay);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a change that a data centre doesn't get because its hosts
  // hear of it from other data centres only once in a while.
  void fetchesAfterOneDigest()
  {
    m_schedule.onPeerAhead(peer("far-1", 8), true);
    CPPUNIT_ASSERT(!m_schedule.takeDue({ 7, 3 }));
    CPPUNIT_ASSERT_EQUAL(std::string("far-1"),
                         fetchedWithin(milliseconds(500), { 7, 3 }));
  }

  // Guards against bytes between data centres for changes that the platform or
  // a neighbour delivers a moment later.
  void fetchesNothingThatArrivedMeanwhile()
  {
    m_schedule.onPeerAhead(peer("far-1", 8), true);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         fetchedWithin(milliseconds(3000), { 8, 3 }));
  }

  // Guards against a fetch from a peer that has just died being the last one.
  void asksAnotherPeerWhenNoReplyArrives()
  {
    m_schedule.onPeerAhead(peer("far-1", 8), true);
    CPPUNIT_ASSERT_EQUAL(std::string("far-1"),
                         fetchedWithin(milliseconds(500), { 7, 3 }));
    m_schedule.onPeerAhead(peer("far-2", 8), true);
    CPPUNIT_ASSERT_EQUAL(std::string("far-2"),
                         fetchedWithin(milliseconds(1500), { 7, 3 }));
  }

  // Guards against fetches from the peer that is heard most often alone, while
  // its replies don't arrive.
  void asksEachPeerOnceBeforeAnyTwice()
  {
    for (const char* host : { "near-1", "near-2", "near-3" }) {
      m_schedule.onPeerAhead(peer(host, 8), false);
    }
    std::set<std::string> asked;
    for (int i = 0; i < 20; ++i) {
      m_schedule.onPeerAhead(peer("near-3", 8), false);
      asked.insert(fetchedWithin(milliseconds(100), { 7, 3 }));
    }
    asked.erase("");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), asked.size());
  }

  // Guards against a wait of hosts that have no items yet, or hear of a change
  // from a neighbour.
  void fetchesAtOnceWithoutDelay()
  {
    m_schedule.onPeerAhead(peer("far-1", 8), true);
    m_schedule.onPeerAhead(peer("near-1", 8), false);
    const auto due = m_schedule.takeDue({ 7, 3 });
    CPPUNIT_ASSERT(due && due->host == "near-1");
  }

private:
  static ItemsPeer peer(const char* aHost, std::uint64_t aRevision)
  {
    return { aHost, { "127.0.0.1", 1 }, { aRevision, 3 } };
  }

  /// @returns the host of the first fetch that falls due within a time, empty
  ///          when none does
  std::string fetchedWithin(milliseconds aTime, const ItemsState& aHeld)
  {
    constexpr milliseconds kStep{ 100 };
    for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      m_clock.advance(kStep);
      if (const auto due = m_schedule.takeDue(aHeld)) {
        return due->host;
      }
    }
    return {};
  }

  ManualClock m_clock;
  FetchSchedule m_schedule{ m_clock };
};

CPPUNIT_TEST_SUITE_REGISTRATION(FetchScheduleTest);
