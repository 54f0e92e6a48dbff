#include <cppunit/extensions/HelperMacros.h>

#include "traffic_metrics_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

class TrafficMetricsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TrafficMetricsTest);
  CPPUNIT_TEST(countsByRouteStatusAndReason);
  CPPUNIT_TEST(bucketsAreCumulative);
  CPPUNIT_TEST(boundsSeries);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against answers that are counted under another route, status or
  // reason, so that the failures of one route are hidden by another's answers.
  void countsByRouteStatusAndReason()
  {
    TrafficMetrics metrics;
    metrics.onAnswer("a", 200, "whole", milliseconds(30));
    metrics.onAnswer("a", 200, "whole", milliseconds(30));
    metrics.onAnswer("b", 504, "deadline passed", milliseconds(900));
    metrics.setGauge("toucanridge_running", "queries", 3);
    const std::string text = metrics.text();
    for (const char* line :
         { "toucanridge_answers_total{route=\"a\",status=\"200\",reason="
           "\"whole\"} 2\n",
           "toucanridge_answers_total{route=\"b\",status=\"504\",reason="
           "\"deadline passed\"} 1\n",
           "# TYPE toucanridge_running gauge\ntoucanridge_running 3\n" }) {
      CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }
  }

  // Guards against histogram buckets that count only the answers between two
  // bounds: the exposition format needs cumulative buckets, with +Inf equal to
  // the count.
  void bucketsAreCumulative()
  {
    TrafficMetrics metrics;
    for (const int ms : { 1, 50, 70, 20'000 }) {
      metrics.onAnswer("a", 200, "whole", milliseconds(ms));
    }
    const std::string text = metrics.text();
    for (const char* line : { "le=\"0.005\"} 1\n",
                              "le=\"0.06\"} 2\n",
                              "le=\"0.08\"} 3\n",
                              "le=\"10\"} 3\n",
                              "le=\"+Inf\"} 4\n",
                              "_count{route=\"a\"} 4\n" }) {
      CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }
  }

  // Guards against memory and a metrics page that grow without bound as route
  // names change from configuration to configuration.
  void boundsSeries()
  {
    TrafficMetrics metrics;
    for (int i = 0; i < 1000; ++i) {
      metrics.onAnswer("r" + std::to_string(i), 200, "whole", milliseconds(1));
    }
    const std::string text = metrics.text();
    CPPUNIT_ASSERT(text.find("route=\"r63\"") != std::string::npos);
    CPPUNIT_ASSERT(text.find("route=\"r64\"") == std::string::npos);
    CPPUNIT_ASSERT(text.find("_count{route=\"other\"} 936") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficMetricsTest);
