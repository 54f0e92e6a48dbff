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
  CPPUNIT_TEST(choosesFewHostsPerDataCentre);
  CPPUNIT_TEST(choosesMoreHostsUnderLoad);
  CPPUNIT_TEST(lossChangesOneHost);
  CPPUNIT_TEST(choosesAnyHostWhenFewAreLeft);
  CPPUNIT_TEST(oneReaderUnlessReadsFail);
  CPPUNIT_TEST(failingReaderKnowsItsSubstitutes);
  CPPUNIT_TEST(relaysCoverRemoteShards);
  CPPUNIT_TEST(asksDirectlyWithoutPeers);
  CPPUNIT_TEST(bitsKeepPositions);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against more entry hosts than the servers' connection limits allow,
  // and against a choice that prefers hosts with less capacity.
  void choosesFewHostsPerDataCentre()
  {
    EntryChoiceInput input = fleet(5, 13);
    input.hosts[3].capacity = 2000;
    const auto chosen = chooseEntryHosts(input);
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), chosen.size());
    CPPUNIT_ASSERT(has(chosen, input.hosts[3].name));
  }

  // Guards against standby hosts that stay unused while the entry hosts are
  // overloaded: the number of entry hosts must grow with the running queries.
  void choosesMoreHostsUnderLoad()
  {
    EntryChoiceInput input = fleet(4, 140);
    input.runningQueries = 7200;
    const std::size_t chosen = chooseEntryHosts(input).size();
    CPPUNIT_ASSERT(chosen >= 240);
    CPPUNIT_ASSERT(chosen <= 560);
  }

  // Guards against a choice that changes as a whole when one host is lost,
  // which would move all callers to other hosts.
  void lossChangesOneHost()
  {
    EntryChoiceInput input = fleet(4, 10);
    const auto before = chooseEntryHosts(input);
    input.hosts.erase(std::find_if(
      input.hosts.begin(), input.hosts.end(), [&](const Host& aHost) {
        return aHost.name == before[0].name;
      }));
    const auto after = chooseEntryHosts(input);
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    std::size_t kept = 0;
    for (const Host& host : after) {
      kept += has(before, host.name) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(before.size() - 1, kept);
  }

  // Guards against an empty choice while a host is alive: when no host is in a
  // data centre with shard servers, the others have to be chosen.
  void choosesAnyHostWhenFewAreLeft()
  {
    EntryChoiceInput input = fleet(1, 2);
    input.shardServerCounts = { { "elsewhere", 40 } };
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseEntryHosts(input).size());
    input.hosts.clear();
    CPPUNIT_ASSERT(chooseEntryHosts(input).empty());
  }

  // Guards against a data centre in which all hosts read the platform, and one
  // in which no further host reads when the platform doesn't answer the reader.
  void oneReaderUnlessReadsFail()
  {
    std::vector<ReaderCandidate> hosts;
    hosts.reserve(14);
    for (int i = 0; i < 14; ++i) {
      hosts.push_back({ "host-" + std::to_string(i), false });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), countReaders(hosts));
    const auto reader =
      std::find_if(hosts.begin(), hosts.end(), [&](const auto& aHost) {
        return reads(hosts, aHost.host);
      });
    reader->readsFail = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), countReaders(hosts));
    for (ReaderCandidate& host : hosts) {
      host.readsFail = true;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), countReaders(hosts));
  }

  // Guards against substitutes that hear of a failing reader only from its next
  // regular digest.
  void failingReaderKnowsItsSubstitutes()
  {
    std::vector<ReaderCandidate> hosts;
    std::vector<std::string> names;
    for (int i = 0; i < 14; ++i) {
      names.push_back("host-" + std::to_string(i));
      hosts.push_back({ names.back(), false });
    }
    const auto reader =
      std::find_if(hosts.begin(), hosts.end(), [&](const auto& aHost) {
        return reads(hosts, aHost.host);
      });
    const auto told = substituteReaders(names, reader->host);
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), told.size());
    reader->readsFail = true;
    for (const ReaderCandidate& host : hosts) {
      const auto position = std::find(told.begin(), told.end(), host.host);
      const bool nextTwo = position < told.begin() + 2;
      CPPUNIT_ASSERT_EQUAL(nextTwo || host.host == reader->host,
                           reads(hosts, host.host));
    }
  }

  // Guards against a plan in which a shard is asked by no host or by two hosts,
  // and against a relay for too few shards.
  void relaysCoverRemoteShards()
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

  // Guards against shards that are relayed although no peer is available in
  // another data centre.
  void asksDirectlyWithoutPeers()
  {
    const std::vector<std::set<std::string>> centres(6, { "b" });
    CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                         planRelays(centres, "a", {}, 0).direct.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                         planRelays(centres, "a", { "a" }, 0).direct.size());
  }

  // Guards against a part that is attributed to another shard because its
  // position changed in the bitmap, and against positions beyond the route's
  // shards from a message with too many bits.
  void bitsKeepPositions()
  {
    const std::vector<std::size_t> positions{ 0, 7, 8, 89 };
    CPPUNIT_ASSERT(readBits(makeBits(positions, 90), 90) == positions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5),
                         readBits(std::string(100, '\xff'), 5).size());
    CPPUNIT_ASSERT(readBits("", 90).empty());
  }

private:
  static bool reads(const std::vector<ReaderCandidate>& aHosts,
                    const std::string& aHost)
  {
    return chooseReadRole(aHosts, aHost) != ReadRole::Follower;
  }

  static EntryChoiceInput fleet(std::size_t aCentres, std::size_t aHosts)
  {
    EntryChoiceInput input;
    for (std::size_t centre = 0; centre < aCentres; ++centre) {
      const std::string name = "dc" + std::to_string(centre);
      input.shardServerCounts[name] = 10;
      for (std::size_t i = 0; i < aHosts; ++i) {
        Host host;
        host.name = name + "-" + std::to_string(i);
        host.dataCentre = name;
        input.hosts.push_back(host);
      }
    }
    return input;
  }
  static bool has(const std::vector<Host>& aHosts, const std::string& aName)
  {
    return std::any_of(aHosts.begin(), aHosts.end(), [&](const Host& aHost) {
      return aHost.name == aName;
    });
  }
  static std::size_t countReaders(const std::vector<ReaderCandidate>& aHosts)
  {
    return static_cast<std::size_t>(std::count_if(
      aHosts.begin(), aHosts.end(), [&](const ReaderCandidate& aHost) {
        return reads(aHosts, aHost.host);
      }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryChoiceTest);
