#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

#include "rules_p.h"

using namespace toucanridge;

namespace {

std::string
readFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace

class RulesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RulesTest);
  CPPUNIT_TEST(acceptsBothExamples);
  CPPUNIT_TEST(refusesRuleWithoutComment);
  CPPUNIT_TEST(reportsEveryFaultWithPosition);
  CPPUNIT_TEST(refusesHedgeOnNonIdempotentClass);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an example that the parser refuses or reads only in part.
  void acceptsBothExamples()
  {
    for (const char* name : { "01-pabsong", "02-jubin" }) {
      const auto result =
        parseRules(readFile(std::string("examples/") + name + "/rules.txt"));
      CPPUNIT_ASSERT(result.rules);
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), result.rules->dataCentres.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(52), result.rules->services.size());
    }
  }

  // Guards against accepting a rule without a comment that names who asked for
  // it. The fault is placed where the comment is expected.
  void refusesRuleWithoutComment()
  {
    const auto result = parseRules("data-centre a in\n");
    CPPUNIT_ASSERT(!result.rules);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), result.faults[0].line);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(17), result.faults[0].column);
  }

  // Guards against a parser that stops at the first fault of a file.
  void reportsEveryFaultWithPosition()
  {
    const auto result = parseRules("data-centre a up # asked by X : y\n"
                                   "bogus a # asked by X : y\n"
                                   "rights lease 5 # asked by X : y\n");
    CPPUNIT_ASSERT(!result.rules);
    CPPUNIT_ASSERT(result.faults.size() >= 3);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(15), result.faults[0].column);
  }

  // Guards against accepting a hedge for a class that is not idempotent: it
  // would send a second copy of a request that must run at most once.
  void refusesHedgeOnNonIdempotentClass()
  {
    const auto result = parseRules(
      "data-centre a in # asked by X : y\n"
      "service s/all servers 127.0.0.1:80 slots 1 connections 2 connect-cost "
      "1ms # asked by X : y\n"
      "snapshot s 1 services all # asked by X : y\n"
      "class c application s deadline 1s priority 1 wait coverage idempotent "
      "no fan-out one # asked by X : y\n"
      "hedge c after p95 budget 5% # asked by X : y\n");
    CPPUNIT_ASSERT(!result.rules);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.faults.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(5), result.faults[0].line);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RulesTest);
