#include <cppunit/extensions/HelperMacros.h>

#include "routing_p.h"
#include "weighted_choice_p.h"

using namespace toucanridge;

class RoutingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(findsLongestPrefix);
  CPPUNIT_TEST(matchesHostsAndWholeSegments);
  CPPUNIT_TEST(gatherHashDependsOnTheMerge);
  CPPUNIT_TEST(choiceKeepsWeights);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against routing a request to a route with a shorter prefix, or to
  // another host's route.
  void findsLongestPrefix()
  {
    const RoutingTable table(1,
                             { route("short", "a.example", "/x/"),
                               route("long", "a.example", "/x/y/"),
                               route("other", "b.example", "/x/y/z/") },
                             {},
                             {});
    CPPUNIT_ASSERT_EQUAL(std::string("long"),
                         table.find("a.example", "/x/y/z/1")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("short"),
                         table.find("a.example", "/x/yy")->name);
  }

  // Guards against a prefix that matches within a path segment, and against a
  // match for an unknown host.
  void matchesHostsAndWholeSegments()
  {
    const RoutingTable table(1, { route("r", "a.example", "/x/") }, {}, {});
    CPPUNIT_ASSERT(table.find("a.example", "/x") == nullptr);
    CPPUNIT_ASSERT(table.find("a.example", "/xx/") == nullptr);
    CPPUNIT_ASSERT(table.find("c.example", "/x/") == nullptr);
    CPPUNIT_ASSERT(hostWithoutPort("a.example:80") == "a.example");
    CPPUNIT_ASSERT(hostWithoutPort("a.example") == "a.example");
  }

  // Guards against a peer that merges with other shards or another number of
  // records than the configuration of the query: the hash has to differ then,
  // but not for fields that the merge doesn't depend on.
  void gatherHashDependsOnTheMerge()
  {
    Route one;
    one.shards = { "s1", "s2" };
    one.topRecords = 5;
    Route other = one;
    other.timeLimit = std::chrono::milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(one.gatherHash(), other.gatherHash());
    other.topRecords = 6;
    CPPUNIT_ASSERT(one.gatherHash() != other.gatherHash());
    other = one;
    other.shards.push_back("s3");
    CPPUNIT_ASSERT(one.gatherHash() != other.gatherHash());
  }

  // Guards against targets whose share of a short run of requests differs from
  // their weight.
  void choiceKeepsWeights()
  {
    const std::vector<RouteTarget> targets{ { "a", 1.0 },
                                            { "b", 3.0 },
                                            { "c", 0.0 } };
    WeightedChoice choice;
    std::map<std::string, int> counts;
    for (int i = 0; i < 40; ++i) {
      ++counts[choice.next(targets)];
    }
    CPPUNIT_ASSERT_EQUAL(10, counts["a"]);
    CPPUNIT_ASSERT_EQUAL(30, counts["b"]);
    CPPUNIT_ASSERT_EQUAL(0, counts["c"]);
  }

private:
  static Route route(const char* aName, const char* aHost, const char* aPrefix)
  {
    Route made;
    made.name = aName;
    made.host = aHost;
    made.prefix = aPrefix;
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
