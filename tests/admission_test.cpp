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
      CPPUNIT_ASSERT(m_admission.takes(0.9999));
    }
  }

  // Guards against refusals when faults of a few servers make queries late.
  void ignoresAFewLateQueries()
  {
    for (int i = 0; i < 9; ++i) {
      m_admission.onQuery(true);
    }
    CPPUNIT_ASSERT(m_admission.takes(0.9999));
  }

  // Guards against an overload that makes every query late: the share that is
  // taken has to settle near what the servers bear, and above zero.
  void refusesUntilQueriesAreInTime()
  {
    constexpr double kBorne = 0.6; // of the queries offered
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> uniform;
    int late = 0;
    int taken = 0;
    for (int i = 0; i < 4000; ++i) {
      m_clock.advance(milliseconds(10));
      if (!m_admission.takes(uniform(random))) {
        continue;
      }
      const bool isLate = m_admission.level() > kBorne;
      m_admission.onQuery(isLate);
      if (i >= 1000) {
        ++taken;
        late += isLate ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(taken > 3000 * kBorne * 0.8);
    CPPUNIT_ASSERT(late < taken / 2);
  }

  // Guards against a host that goes on refusing when nobody asks any more.
  void takesAllOnceTheLoadHasGone()
  {
    for (int i = 0; i < 1000; ++i) {
      m_admission.onQuery(true);
    }
    CPPUNIT_ASSERT(!m_admission.takes(0.5));
    CPPUNIT_ASSERT(m_admission.takes(0.2)); // some show whether load has gone
    m_clock.advance(milliseconds(8000));
    CPPUNIT_ASSERT(m_admission.takes(0.9999));
  }

private:
  ManualClock m_clock;
  Admission m_admission{ m_clock };
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
