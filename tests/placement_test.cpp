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

/// @param[in] aLeft index of a host to leave out, or -1
HostList
fleetOf(const RuleSet& aRules, int aHosts, int aLeft)
{
  HostList list;
  list.revision = 1;
  for (int i = 0; i < aHosts; ++i) {
    if (i != aLeft) {
      Host host;
      host.dataCentre = aRules.dataCentres[i % aRules.dataCentres.size()].name;
      host.name = host.dataCentre + "-" + std::to_string(i);
      list.hosts.push_back(host);
    }
  }
  return list;
}

/// Share of services with a slot in the data centres of a side.
double
reachable(const View& aView, const std::set<std::string>& aSide)
{
  std::size_t reached = 0;
  for (const ServicePlacement& service : aView.placement) {
    for (const SlotPlace& place : service.slots) {
      if (aSide.count(aView.hosts.hosts[place.host].dataCentre) != 0) {
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
  CPPUNIT_TEST(leavingHostMovesOnlyItsSlots);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a partition that leaves a side without a service.
  void everySideReachesEveryService()
  {
    for (const char* name : { "01-pabsong", "02-jubin" }) {
      const auto rules = exampleRules(name);
      const ViewPtr view = makeView(1, rules, fleetOf(*rules, 8, -1));
      double half = 1;
      double rest = 1;
      double alone = 1;
      for (std::size_t i = 0; i < 4; ++i) {
        std::set<std::string> others;
        for (std::size_t j = 0; j < 4; ++j) {
          if (i != j) {
            others.insert(rules->dataCentres[j].name);
            half = std::min(half,
                            reachable(*view,
                                      { rules->dataCentres[i].name,
                                        rules->dataCentres[j].name }));
          }
        }
        rest = std::min(rest, reachable(*view, others));
        alone =
          std::min(alone, reachable(*view, { rules->dataCentres[i].name }));
      }
      std::cout << name << ": least share of services with a slot: " << half
                << " in any half, " << rest << " with one data centre cut off, "
                << alone << " in the one cut off\n";
      CPPUNIT_ASSERT_EQUAL(1.0, half);
      CPPUNIT_ASSERT_EQUAL(1.0, rest);
    }
  }

  // Guards against a host's departure that moves slots of other holders.
  void leavingHostMovesOnlyItsSlots()
  {
    constexpr int kHosts = 560;
    const auto rules = exampleRules("01-pabsong");
    const auto before =
      holderNames(*makeView(1, rules, fleetOf(*rules, kHosts, -1)));
    std::size_t movedInAll = 0;
    std::size_t most = 0;
    for (int left = 0; left < kHosts; ++left) {
      const HostList all = fleetOf(*rules, kHosts, -1);
      const std::string& name = all.hosts[left].name;
      const auto after =
        holderNames(*makeView(1, rules, fleetOf(*rules, kHosts, left)));
      std::size_t moved = 0;
      for (std::size_t i = 0; i < before.size(); ++i) {
        moved += before[i] != after[i] ? 1 : 0;
        CPPUNIT_ASSERT(before[i] == name || before[i] == after[i]);
      }
      movedInAll += moved;
      most = std::max(most, moved);
    }
    std::cout << "of " << before.size() << " slots at " << kHosts
              << " hosts, a leaving host moves "
              << static_cast<double>(movedInAll) / kHosts << " on average and "
              << most << " at most\n";
    CPPUNIT_ASSERT_EQUAL(before.size(), movedInAll);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
