#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "admission_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

class AdmissionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(takesAllWithoutLoad);
  CPPUNIT_TEST(ignoresAFewLateQueries);
  CPPUNIT_TEST(refusesUntilQueriesAreInTime);
  CPPUNIT_TEST(takesAllOnceTheLoadHasGone);
  CPPUNIT_TEST_SUITE_END();

public:
  void takesAllWithoutLoad()
  {
    for (int i = 0; i < 1000; ++i) {
      m_admission.onQuery(i % 10 == 0);
      CPPUNIT_ASSERT(m_admission.admits(0.9999));
    }
  }

  // Guards against refusals when queries are late only because a few servers
  // fail: nine late queries in a row stay within the reserve.
  void ignoresAFewLateQueries()
  {
    for (int i = 0; i < 9; ++i) {
      m_admission.onQuery(true);
    }
    CPPUNIT_ASSERT(m_admission.admits(0.9999));
  }

  // Guards against an overload in which every query is late: the accepted share
  // has to settle near the capacity of the servers, and above zero.
  void refusesUntilQueriesAreInTime()
  {
    constexpr double kCapacity = 0.6; // share of the offered queries
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> uniform;
    int late = 0;
    int taken = 0;
    for (int i = 0; i < 4000; ++i) {
      m_clock.advance(milliseconds(10));
      if (!m_admission.admits(uniform(random))) {
        continue;
      }
      const bool isLate = m_admission.level() > kCapacity;
      m_admission.onQuery(isLate);
      if (i >= 1000) {
        ++taken;
        late += isLate ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(taken > 3000 * kCapacity * 0.8);
    CPPUNIT_ASSERT(late < taken / 2);
  }

  // Guards against a host that keeps refusing after the overload has ended:
  // without queries, only time can raise the level.
  void takesAllOnceTheLoadHasGone()
  {
    for (int i = 0; i < 1000; ++i) {
      m_admission.onQuery(true);
    }
    CPPUNIT_ASSERT(!m_admission.admits(0.5));
    // Some queries are still accepted, which shows when the overload ends.
    CPPUNIT_ASSERT(m_admission.admits(0.2));
    m_clock.advance(milliseconds(8000));
    CPPUNIT_ASSERT(m_admission.admits(0.9999));
  }

private:
  ManualClock m_clock;
  Admission m_admission{ m_clock };
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
