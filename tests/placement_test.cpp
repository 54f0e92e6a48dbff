#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "view_p.h"

using namespace toucanridge;

namespace {

std::shared_ptr<const RuleSet>
exampleRules(const std::string& aName)
{
  std::ifstream in("examples/" + aName + "/rules.txt");
  std::ostringstream text;
  text << in.rdbuf();
  const RulesResult result = parseRules(text.str());
  CPPUNIT_ASSERT(result.rules);
  return result.rules;
}

/// Spreads hosts evenly over the data centres of the rules.
/// @param[in] aRemoved index of a host to leave out, or -1
HostList
makeHosts(const RuleSet& aRules, int aHosts, int aRemoved)
{
  HostList list;
  list.revision = 1;
  for (int i = 0; i < aHosts; ++i) {
    if (i != aRemoved) {
      Host host;
      host.dataCentre = aRules.dataCentres[i % aRules.dataCentres.size()].name;
      host.name = host.dataCentre + "-" + std::to_string(i);
      list.hosts.push_back(host);
    }
  }
  return list;
}

/// @returns the share of services with a slot in at least one of these data
///          centres
double
reachableShare(const View& aView, const std::set<std::string>& aDataCentres)
{
  std::size_t reached = 0;
  for (const ServicePlacement& service : aView.placement) {
    for (const SlotPlace& place : service.slots) {
      if (aDataCentres.count(aView.hosts.hosts[place.host].dataCentre) != 0) {
        ++reached;
        break;
      }
    }
  }
  return static_cast<double>(reached) /
         static_cast<double>(aView.placement.size());
}

std::vector<std::string>
holderNames(const View& aView)
{
  std::vector<std::string> names;
  for (const ServicePlacement& service : aView.placement) {
    for (const SlotPlace& place : service.slots) {
      names.push_back(aView.hosts.hosts[place.host].name);
    }
  }
  return names;
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(everySideReachesEveryService);
  CPPUNIT_TEST(removedHostMovesOnlyItsSlots);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a network partition after which a side that can still serve,
  // any two data centres or any three, holds no slot of some service.
  void everySideReachesEveryService()
  {
    for (const char* name : { "01-pabsong", "02-jubin" }) {
      const auto rules = exampleRules(name);
      const ViewPtr view = makeView(1, rules, makeHosts(*rules, 8, -1));
      double minInHalf = 1;
      double minWithOneCut = 1;
      double minInCutOne = 1;
      for (std::size_t i = 0; i < 4; ++i) {
        std::set<std::string> others;
        for (std::size_t j = 0; j < 4; ++j) {
          if (i != j) {
            others.insert(rules->dataCentres[j].name);
            minInHalf =
              std::min(minInHalf,
                       reachableShare(*view,
                                      { rules->dataCentres[i].name,
                                        rules->dataCentres[j].name }));
          }
        }
        minWithOneCut = std::min(minWithOneCut, reachableShare(*view, others));
        minInCutOne = std::min(
          minInCutOne, reachableShare(*view, { rules->dataCentres[i].name }));
      }
      std::cout << name
                << ": least share of services with a slot: " << minInHalf
                << " in any half, " << minWithOneCut
                << " with one data centre cut off, " << minInCutOne
                << " in the one cut off\n";
      CPPUNIT_ASSERT_EQUAL(1.0, minInHalf);
      CPPUNIT_ASSERT_EQUAL(1.0, minWithOneCut);
    }
  }

  // Guards against a placement in which removing one host from the list also
  // moves slots of the remaining hosts.
  void removedHostMovesOnlyItsSlots()
  {
    constexpr int kHosts = 560;
    const auto rules = exampleRules("01-pabsong");
    const auto before =
      holderNames(*makeView(1, rules, makeHosts(*rules, kHosts, -1)));
    std::size_t movedTotal = 0;
    std::size_t maxMoved = 0;
    for (int removed = 0; removed < kHosts; ++removed) {
      const HostList all = makeHosts(*rules, kHosts, -1);
      const std::string& name = all.hosts[removed].name;
      const auto after =
        holderNames(*makeView(1, rules, makeHosts(*rules, kHosts, removed)));
      std::size_t moved = 0;
      for (std::size_t i = 0; i < before.size(); ++i) {
        moved += before[i] != after[i] ? 1 : 0;
        CPPUNIT_ASSERT(before[i] == name || before[i] == after[i]);
      }
      movedTotal += moved;
      maxMoved = std::max(maxMoved, moved);
    }
    std::cout << "of " << before.size() << " slots at " << kHosts
              << " hosts, a leaving host moves "
              << static_cast<double>(movedTotal) / kHosts << " on average and "
              << maxMoved << " at most\n";
    CPPUNIT_ASSERT_EQUAL(before.size(), movedTotal);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
