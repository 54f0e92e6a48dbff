#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "control_fleet.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

double
inSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Fails with the time taken when it reaches the limit.
void
assertWithin(Duration aLimit, Duration aTaken, const char* aWhat)
{
  std::cout << aWhat << ": " << inSeconds(aTaken) << " s, limit "
            << inSeconds(aLimit) << " s\n";
  CPPUNIT_ASSERT_MESSAGE(aWhat, aTaken < aLimit);
}

bool
allAlive(ControlFleet& aFleet)
{
  return aFleet.all([&](ControlFleet::Member& aMember) {
    for (const auto& entry : aFleet.members) {
      if (!aMember.core.membership().isAlive(entry.first)) {
        return false;
      }
    }
    return true;
  });
}

/// Limit of a node's control traffic, in bytes a second, sent and received.
constexpr double kAllowedRate = 9000.0;

/// Control traffic of all nodes, IPv4 and UDP headers included.
class Traffic
{
public:
  explicit Traffic(ControlFleet& aFleet)
    : m_bytes(bytes(aFleet))
    , m_at(aFleet.clock.now())
  {
  }

  /// @returns bytes a second and node since construction
  double rateUntil(ControlFleet& aFleet) const
  {
    return static_cast<double>(bytes(aFleet) - m_bytes) /
           inSeconds(aFleet.clock.now() - m_at) /
           static_cast<double>(aFleet.members.size());
  }

private:
  static std::uint64_t bytes(ControlFleet& aFleet)
  {
    constexpr std::uint64_t kHeaderBytes = 28;
    return aFleet.total([](ControlFleet::Member& aMember) {
      const auto& members = aMember.core.membership().counters();
      const auto& config = aMember.core.config().counters();
      return members.sentBytes + members.receivedBytes + config.sentBytes +
             config.receivedBytes +
             kHeaderBytes * (members.sentDatagrams + members.receivedDatagrams);
    });
  }

  std::uint64_t m_bytes;
  TimePoint m_at;
};

std::uint64_t
deaths(ControlFleet& aFleet)
{
  return aFleet.total([](ControlFleet::Member& aMember) {
    return aMember.core.membership().counters().deaths;
  });
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(detectsKilledHostUnderLoss);
  CPPUNIT_TEST(declaresNoLiveHostDeadUnderLoss);
  CPPUNIT_TEST(oneBrokenPathMakesNoSuspect);
  CPPUNIT_TEST(suspectRefutes);
  CPPUNIT_TEST(restartedHostIsAliveAgain);
  CPPUNIT_TEST(startedNodeLearnsDeadMembers);
  CPPUNIT_TEST(partitionHeals);
  CPPUNIT_TEST(pausedNodeSuspectsNobody);
  CPPUNIT_TEST(isolatedNodeSpreadsNoSuspicion);
  CPPUNIT_TEST(leavingIsKnownBeforeStop);
  CPPUNIT_TEST(failureHintSpeedsDetection);
  CPPUNIT_TEST(leaseProbesAreFrequent);
  CPPUNIT_TEST(malformedDatagramsAreCounted);
  CPPUNIT_TEST(broadcastReachesEachNodeOnce);
  CPPUNIT_TEST(leaseProbesReachMajority);
  CPPUNIT_TEST(fullSizeLoss);
  CPPUNIT_TEST(fullSizePartitionCost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against slow detection of a dead host: until it is suspected,
  // callers are given its address and sub-requests to it fail.
  void detectsKilledHostUnderLoss()
  {
    ControlFleet fleet(11);
    fleet.start(64, 4);
    fleet.run(seconds(10));
    fleet.loss = 0.2;
    fleet.kill("host-5");
    const Duration taken = fleet.runUntil(seconds(10), [](auto& aMember) {
      return !aMember.core.membership().isAlive("host-5");
    });
    assertWithin(seconds(10), taken, "64 nodes know of a dead host, 20% loss");
  }

  // Guards against live hosts that are declared dead on a lossy network, which
  // empties the address list: a host must refute a suspicion before it expires.
  void declaresNoLiveHostDeadUnderLoss()
  {
    ControlFleet fleet(12);
    fleet.start(64, 4);
    fleet.run(seconds(10));
    fleet.loss = 0.2;
    fleet.run(seconds(120));
    const auto suspicions = fleet.total([](auto& aMember) {
      return aMember.core.membership().counters().suspicions;
    });
    const auto probes = fleet.total([](auto& aMember) {
      return aMember.core.membership().counters().probes;
    });
    std::cout << "120 s at 20% loss, 64 nodes: " << probes << " probes, "
              << suspicions << " suspicions, " << deaths(fleet)
              << " false deaths\n";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), deaths(fleet));
  }

  // Guards against declaring a host dead because one network path is broken.
  void oneBrokenPathMakesNoSuspect()
  {
    ControlFleet fleet(13);
    fleet.start(8, 2);
    fleet.run(seconds(5));
    fleet.broken.insert({ "host-0", "host-1" });
    fleet.run(seconds(60));
    CPPUNIT_ASSERT(fleet.at(0).core.membership().counters().indirectAcks > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fleet.total([](auto& aMember) {
      return aMember.core.membership().counters().suspicions;
    }));
  }

  // Guards against a false suspicion that the suspect can't refute.
  void suspectRefutes()
  {
    ControlFleet fleet(14);
    fleet.start(16, 2);
    fleet.run(seconds(5));
    Gossip claim;
    claim.kind = GossipKind::Ack;
    claim.from = "host-2";
    claim.to = "host-3";
    claim.incarnation = fleet.at(2).incarnation;
    claim.updates = {
      { memberId("host-1"), fleet.at(1).incarnation, 0, MemberState::Suspect }
    };
    fleet.at(3).core.membership().onDatagram({ "host-2", 8001 }, encode(claim));
    CPPUNIT_ASSERT(!fleet.at(3).core.membership().isAlive("host-1"));
    fleet.run(seconds(8));
    CPPUNIT_ASSERT(allAlive(fleet));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), deaths(fleet));
    CPPUNIT_ASSERT(fleet.at(1).core.membership().counters().refutations > 0);
  }

  // Guards against a restarted host that stays unavailable because of updates
  // about its earlier process.
  void restartedHostIsAliveAgain()
  {
    ControlFleet fleet(15);
    fleet.start(16, 2);
    fleet.run(seconds(5));
    fleet.kill("host-1");
    fleet.run(seconds(20));
    CPPUNIT_ASSERT(fleet.all([](auto& aMember) {
      return aMember.core.membership().stateOf("host-1") == MemberState::Dead;
    }));
    fleet.launch("host-1");
    const Duration taken =
      fleet.runUntil(seconds(11), [&](auto&) { return allAlive(fleet); });
    assertWithin(seconds(11), taken, "restarted host alive at 16 nodes");
  }

  // Guards against a started node that considers every listed host alive and
  // sends its first queries to dead ones.
  void startedNodeLearnsDeadMembers()
  {
    ControlFleet fleet(25);
    fleet.start(64, 4);
    fleet.run(seconds(5));
    for (const char* name : { "host-5", "host-9", "host-13" }) {
      fleet.kill(name);
    }
    fleet.run(seconds(30));
    auto& started = fleet.launch("host-1");
    fleet.runUntil(seconds(5),
                   [&](auto&) { return started.core.config().isReady(); });
    CPPUNIT_ASSERT(started.core.config().isReady());
    for (const char* name : { "host-5", "host-9", "host-13" }) {
      CPPUNIT_ASSERT(!started.core.membership().isAlive(name));
    }
  }

  // Guards against two sides of a partition that consider each other dead
  // after it has healed, and against a change that stays on one side.
  void partitionHeals()
  {
    ControlFleet fleet(16);
    fleet.start(32, 4);
    fleet.run(seconds(5));
    for (auto& entry : fleet.members) {
      entry.second->group = entry.second->host.dataCentre < "dc2" ? 0 : 1;
      entry.second->platformSilent = entry.second->group == 1;
    }
    fleet.publish(fleetRules(fleet.dataCentres, "during the partition"));
    fleet.run(seconds(60));
    CPPUNIT_ASSERT(fleet.all([&](auto& aMember) {
      return fleet.all([&](auto& aOther) {
        return aMember.core.membership().isAlive(aOther.host.name) ==
               (aMember.group == aOther.group);
      });
    }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fleet.at(2).views.back().rules);
    for (auto& entry : fleet.members) {
      entry.second->group = 0;
    }
    const Duration taken = fleet.runUntil(seconds(11), [&](auto& aMember) {
      return aMember.views.back().rules == 2 && allAlive(fleet);
    });
    assertWithin(seconds(11), taken, "partition of 32 nodes healed");
  }

  // Guards against a process that resumes after a pause and suspects others
  // because of probes whose answers it could not receive meanwhile.
  void pausedNodeSuspectsNobody()
  {
    ControlFleet fleet(17);
    fleet.start(8, 2);
    fleet.run(seconds(5));
    for (int i = 0; i < 20; ++i) {
      // A probe is under way when the pause begins.
      fleet.at(0).core.membership().onFailureHint("host-1");
      fleet.at(0).paused = true;
      fleet.run(milliseconds(1700));
      fleet.at(0).paused = false;
      fleet.run(milliseconds(1300));
    }
    const auto& counters = fleet.at(0).core.membership().counters();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), counters.pauses);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counters.suspicions);
  }

  // Guards against one node that receives nothing and whose suspicions remove
  // healthy hosts from the address lists.
  void isolatedNodeSpreadsNoSuspicion()
  {
    ControlFleet fleet(18);
    fleet.start(8, 2);
    fleet.run(seconds(5));
    fleet.at(0).group = 1;
    fleet.run(seconds(20));
    fleet.at(0).group = 0;
    std::size_t falselyUnavailable = 0;
    // A rotation over seven members visits each within 13 probes, one a
    // second.
    for (int i = 0; i < 300; ++i) {
      fleet.run(milliseconds(50));
      for (std::size_t j = 1; j < 8; ++j) {
        for (std::size_t k = 1; k < 8; ++k) {
          falselyUnavailable +=
            fleet.at(j).core.membership().isAlive(fleet.at(k).host.name) ? 0
                                                                         : 1;
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), falselyUnavailable);
    CPPUNIT_ASSERT(allAlive(fleet));
  }

  // Guards against a host that stops before its peers know: requests sent to it
  // would be interrupted.
  void leavingIsKnownBeforeStop()
  {
    ControlFleet fleet(19);
    fleet.start(128, 4);
    fleet.run(seconds(5));
    auto& membership = fleet.at(7).core.membership();
    const Duration allowed = membership.spreadTime();
    membership.leave();
    const Duration taken = fleet.runUntil(allowed, [](auto& aMember) {
      return !aMember.core.membership().isAlive("host-7");
    });
    assertWithin(allowed, taken, "leaving known to 128 nodes");
    fleet.run(seconds(10));
    CPPUNIT_ASSERT(fleet.all([](auto& aMember) {
      return !aMember.core.membership().isAlive("host-7");
    }));
  }

  // Guards against ignoring failures of traffic: the next regular probe of a
  // given host among many may be far off.
  void failureHintSpeedsDetection()
  {
    ControlFleet fleet(20);
    fleet.start(64, 4);
    fleet.run(seconds(5));
    fleet.kill("host-5");
    fleet.at(0).core.membership().onFailureHint("host-5");
    fleet.run(milliseconds(1200));
    CPPUNIT_ASSERT(!fleet.at(0).core.membership().isAlive("host-5"));
  }

  // Guards against a lease that lapses although neighbours are healthy: each
  // lease of 3 s needs an acknowledged probe of a host in the same data centre.
  void leaseProbesAreFrequent()
  {
    ControlFleet fleet(21);
    fleet.start(16, 4);
    fleet.run(seconds(5));
    fleet.kill("host-5");
    fleet.loss = 0.05;
    for (auto& entry : fleet.members) {
      entry.second->longestLeaseGap = Duration(0);
    }
    fleet.run(seconds(120));
    CPPUNIT_ASSERT(fleet.all(
      [](auto& aMember) { return aMember.longestLeaseGap < seconds(3); }));
  }

  // Guards against datagrams that crash the process or are accepted although
  // they are malformed: random bytes, truncated and altered messages.
  void malformedDatagramsAreCounted()
  {
    ControlFleet fleet(22);
    fleet.start(3, 1);
    fleet.run(seconds(5));
    auto& membership = fleet.at(0).core.membership();
    Gossip message;
    message.from = "host-1";
    message.to = "host-0";
    message.updates = { { memberId("host-2"), 1, 0, MemberState::Suspect } };
    message.items.emplace_back();
    const std::string valid = encode(message);
    std::mt19937_64 random(23);
    const auto before = membership.counters().malformed;
    for (int i = 0; i < 20000; ++i) {
      std::string bytes(random() % 1400, '\0');
      std::generate(bytes.begin(), bytes.end(), [&] {
        return static_cast<char>(random());
      });
      membership.onDatagram({ "host-1", 8001 }, bytes);
      std::string altered = valid.substr(0, random() % (valid.size() + 1));
      for (int j = 0; j < 3 && !altered.empty(); ++j) {
        altered[random() % altered.size()] = static_cast<char>(random());
      }
      membership.onDatagram({ "host-1", 8001 }, altered);
    }
    CPPUNIT_ASSERT(membership.counters().malformed - before > 20000);
    const auto counted = membership.counters().malformed;
    message.items[0].payload = std::string(1200, 'x');
    membership.onDatagram({ "host-1", 8001 }, encode(message));
    membership.onDatagram({ "host-1", 8001 }, {});
    membership.onDatagram({ "host-1", 8001 }, valid.substr(0, 40));
    CPPUNIT_ASSERT_EQUAL(counted + 3, membership.counters().malformed);
  }

  // Guards against an item that is lost with one datagram, or delivered twice
  // because it arrived in several.
  void broadcastReachesEachNodeOnce()
  {
    ControlFleet fleet(24);
    fleet.start(64, 4);
    fleet.run(seconds(5));
    fleet.loss = 0.05;
    std::map<std::string, int> received;
    for (auto& entry : fleet.members) {
      entry.second->core.broadcaster().subscribe(
        BroadcastKind::Strike,
        [&received, name = entry.first](const std::string& aOrigin,
                                        const std::string& aItem) {
          CPPUNIT_ASSERT_EQUAL(std::string("host-3"), aOrigin);
          CPPUNIT_ASSERT_EQUAL(std::string("item"), aItem);
          ++received[name];
        });
    }
    fleet.at(3).core.broadcaster().publish(BroadcastKind::Strike, "item");
    fleet.run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(63), received.size());
    for (const auto& entry : received) {
      CPPUNIT_ASSERT_EQUAL(1, entry.second);
    }
  }

  // Guards against leases that never start in a large data centre because too
  // few of its hosts are probed within one lease.
  void leaseProbesReachMajority()
  {
    ControlFleet fleet(28);
    fleet.lease = "60s";
    fleet.start(70, 1);
    fleet.run(seconds(90));
    const TimePoint since = fleet.clock.now() - seconds(60);
    CPPUNIT_ASSERT(fleet.all([&](auto& aMember) {
      const auto heard = std::count_if(
        aMember.neighbours.begin(),
        aMember.neighbours.end(),
        [&](const auto& aEntry) { return aEntry.second > since; });
      return heard >= 35;
    }));
  }

  // Guards against more suspicions than can be refuted at the largest supported
  // size: live hosts declared dead, and a dead host that is detected too late.
  void fullSizeLoss()
  {
    ControlFleet fleet(26);
    fleet.start(560, 8);
    fleet.run(seconds(8));
    const Traffic before(fleet);
    fleet.loss = 0.2;
    fleet.run(seconds(30));
    const auto falseDeaths = deaths(fleet);
    fleet.kill("host-5");
    const Duration taken = fleet.runUntil(seconds(20), [](auto& aMember) {
      return !aMember.core.membership().isAlive("host-5");
    });
    const double rate = before.rateUntil(fleet);
    std::cout << "560 nodes, 30 s at 20% loss: " << falseDeaths
              << " false deaths, " << rate << " bytes/s a node\n";
    assertWithin(seconds(11), taken, "560 nodes know of a dead host, 20% loss");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), falseDeaths);
    CPPUNIT_ASSERT(rate < kAllowedRate);
  }

  // Guards against probes and updates that exceed the allowed 9 KB/s while two
  // regions are partitioned and while the partition heals.
  void fullSizePartitionCost()
  {
    ControlFleet fleet(27);
    fleet.start(560, 8);
    fleet.run(seconds(8));
    for (auto& entry : fleet.members) {
      entry.second->group = entry.second->host.dataCentre < "dc4" ? 0 : 1;
    }
    double worst = 0.0;
    for (int i = 0; i < 6; ++i) {
      const Traffic before(fleet);
      fleet.run(seconds(5));
      worst = std::max(worst, before.rateUntil(fleet));
    }
    CPPUNIT_ASSERT(!fleet.at(0).core.membership().isAlive("host-4"));
    for (auto& entry : fleet.members) {
      entry.second->group = 0;
    }
    const TimePoint healed = fleet.clock.now();
    Duration taken{ 0 };
    for (int i = 0; i < 12 && taken == Duration(0); ++i) {
      const Traffic before(fleet);
      fleet.run(seconds(5));
      worst = std::max(worst, before.rateUntil(fleet));
      taken = allAlive(fleet) ? fleet.clock.now() - healed : Duration(0);
    }
    std::cout << "560 nodes, regions apart for 30 s: " << worst
              << " bytes/s a node in the worst 5 s, whole again after "
              << inSeconds(taken) << " s at most\n";
    CPPUNIT_ASSERT(worst < kAllowedRate);
    CPPUNIT_ASSERT(taken > Duration(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
