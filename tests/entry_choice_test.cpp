#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "entry_hosts_p.h"
#include "reader_choice_p.h"
#include "relay_plan_p.h"
#include "relay_wire_p.h"

using namespace toucanridge;

class EntryChoiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryChoiceTest);
  CPPUNIT_TEST(namesFewHostsOfEachCentre);
  CPPUNIT_TEST(namesMoreUnderLoad);
  CPPUNIT_TEST(lossChangesOneHost);
  CPPUNIT_TEST(namesAnyHostWhenFewAreLeft);
  CPPUNIT_TEST(oneReaderUnlessInTrouble);
  CPPUNIT_TEST(relaysCoverFarShards);
  CPPUNIT_TEST(asksDirectlyWithoutPeers);
  CPPUNIT_TEST(bitsKeepPositions);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against queries that are spread over more hosts than the servers'
  // connections allow, and over the smallest ones.
  void namesFewHostsOfEachCentre()
  {
    EntryChoice choice = fleet(5, 13);
    choice.hosts[3].capacity = 2000;
    const auto chosen = chooseEntryHosts(choice);
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), chosen.size());
    CPPUNIT_ASSERT(has(chosen, choice.hosts[3].name));
  }

  // Guards against a fleet whose standby hosts stay idle under load.
  void namesMoreUnderLoad()
  {
    EntryChoice choice = fleet(4, 140);
    choice.running = 7200;
    const std::size_t named = chooseEntryHosts(choice).size();
    CPPUNIT_ASSERT(named >= 240);
    CPPUNIT_ASSERT(named <= 560);
  }

  // Guards against a loss that moves all callers to other hosts.
  void lossChangesOneHost()
  {
    EntryChoice choice = fleet(4, 10);
    const auto before = chooseEntryHosts(choice);
    choice.hosts.erase(std::find_if(
      choice.hosts.begin(), choice.hosts.end(), [&](const Host& aHost) {
        return aHost.name == before[0].name;
      }));
    const auto after = chooseEntryHosts(choice);
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    std::size_t kept = 0;
    for (const Host& host : after) {
      kept += has(before, host.name) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(before.size() - 1, kept);
  }

  // Guards against an empty answer while any host lives.
  void namesAnyHostWhenFewAreLeft()
  {
    EntryChoice choice = fleet(1, 2);
    choice.shardServers = { { "elsewhere", 40 } };
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseEntryHosts(choice).size());
    choice.hosts.clear();
    CPPUNIT_ASSERT(chooseEntryHosts(choice).empty());
  }

  // Guards against a fleet in which all hosts read the platform, and one in
  // which the only reader is refused.
  void oneReaderUnlessInTrouble()
  {
    std::vector<ReaderCandidate> hosts;
    hosts.reserve(14);
    for (int i = 0; i < 14; ++i) {
      hosts.push_back({ "host-" + std::to_string(i), false });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), readers(hosts));
    for (ReaderCandidate& host : hosts) {
      host.inTrouble = isReader(hosts, host.host);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), readers(hosts));
    for (ReaderCandidate& host : hosts) {
      host.inTrouble = true;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), readers(hosts));
  }

  // Guards against a shard that nobody asks, or that two hosts ask.
  void relaysCoverFarShards()
  {
    const std::vector<std::set<std::string>> centres{
      { "a", "b" }, { "b", "c" }, { "b", "c" }, { "b", "d" },
      { "c", "d" }, {},           { "b" }
    };
    for (std::size_t turn = 0; turn < 5; ++turn) {
      const RelayPlan plan = planRelays(centres, "a", { "b", "c", "d" }, turn);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.relayed.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), plan.relayed.at("b").size());
      std::vector<std::size_t> direct = plan.direct;
      std::sort(direct.begin(), direct.end());
      CPPUNIT_ASSERT(direct == std::vector<std::size_t>({ 0, 4, 5 }));
    }
  }

  // Guards against shards that wait for peers that can't be asked.
  void asksDirectlyWithoutPeers()
  {
    const std::vector<std::set<std::string>> centres(6, { "b" });
    CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                         planRelays(centres, "a", {}, 0).direct.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                         planRelays(centres, "a", { "a" }, 0).direct.size());
  }

  // Guards against a part that is taken for another shard's, and against a
  // message with more bits than the route has shards.
  void bitsKeepPositions()
  {
    const std::vector<std::size_t> positions{ 0, 7, 8, 89 };
    CPPUNIT_ASSERT(readBits(makeBits(positions, 90), 90) == positions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5),
                         readBits(std::string(100, '\xff'), 5).size());
    CPPUNIT_ASSERT(readBits("", 90).empty());
  }

private:
  static EntryChoice fleet(std::size_t aCentres, std::size_t aHosts)
  {
    EntryChoice choice;
    for (std::size_t centre = 0; centre < aCentres; ++centre) {
      const std::string name = "dc" + std::to_string(centre);
      choice.shardServers[name] = 10;
      for (std::size_t i = 0; i < aHosts; ++i) {
        Host host;
        host.name = name + "-" + std::to_string(i);
        host.dataCentre = name;
        choice.hosts.push_back(host);
      }
    }
    return choice;
  }
  static bool has(const std::vector<Host>& aHosts, const std::string& aName)
  {
    return std::any_of(aHosts.begin(), aHosts.end(), [&](const Host& aHost) {
      return aHost.name == aName;
    });
  }
  static std::size_t readers(const std::vector<ReaderCandidate>& aHosts)
  {
    return static_cast<std::size_t>(std::count_if(
      aHosts.begin(), aHosts.end(), [&](const ReaderCandidate& aHost) {
        return isReader(aHosts, aHost.host);
      }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryChoiceTest);
