#include <cppunit/extensions/HelperMacros.h>

#include "answer_memory_p.h"

using namespace toucanridge;
using std::chrono::microseconds;

class AnswerMemoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AnswerMemoryTest);
  CPPUNIT_TEST(forgetsOldestFirst);
  CPPUNIT_TEST(keepsRulesOfTheirRevision);
  CPPUNIT_TEST(summarizesByClass);
  CPPUNIT_TEST(boundsUnknownClasses);
  CPPUNIT_TEST_SUITE_END();

  static QueryAnswer answer(const std::string& aId, std::uint64_t aRevision)
  {
    QueryAnswer made;
    made.requestId = aId;
    made.outcome = Outcome::Whole;
    made.coverage = { 2, 2 };
    made.revision = aRevision;
    made.rules = { { static_cast<std::uint32_t>(aRevision), "class c", "X" } };
    return made;
  }

public:
  // Guards against unbounded memory use: the oldest answer must be dropped when
  // the limit is exceeded.
  void forgetsOldestFirst()
  {
    AnswerHistory history(2);
    for (const char* id : { "a", "b", "c" }) {
      history.add("c", answer(id, 1), microseconds(1));
    }
    CPPUNIT_ASSERT(!history.find("a"));
    CPPUNIT_ASSERT(history.find("b"));
    CPPUNIT_ASSERT(history.find("c"));
  }

  // Guards against explaining an answer by the rules of a later revision, when
  // the class's rules change between two answers.
  void keepsRulesOfTheirRevision()
  {
    AnswerHistory history(8);
    history.add("c", answer("a", 1), microseconds(1));
    history.add("c", answer("b", 2), microseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1),
                         history.find("a")->rules->front().line);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2),
                         history.find("b")->rules->front().line);
  }

  // Guards against latency quantiles that include refusals, whose latency is
  // close to zero.
  void summarizesByClass()
  {
    AnswerHistory history(8);
    for (int i = 0; i < 100; ++i) {
      history.add("c", answer(std::to_string(i), 1), microseconds(1000));
      QueryAnswer refused = answer("r" + std::to_string(i), 1);
      refused.outcome = Outcome::NotRun;
      refused.reason = "overloaded";
      refused.coverage = { 0, 2 };
      history.add("c", refused, microseconds(1));
    }
    const std::vector<ClassSummary> summary = history.summary();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), summary.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100),
                         summary[0].reasons.at("overloaded"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(200), summary[0].total);
    CPPUNIT_ASSERT_EQUAL(microseconds(1000).count(),
                         summary[0].latency.front().second.count());
  }

  // Guards against unbounded memory use when callers send class names that
  // don't exist.
  void boundsUnknownClasses()
  {
    AnswerHistory history(8);
    for (int i = 0; i < 10; ++i) {
      QueryAnswer refused;
      refused.requestId = std::to_string(i);
      history.add("bogus" + std::to_string(i), refused, microseconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), history.summary().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMemoryTest);
