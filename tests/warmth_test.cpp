#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>

#include "query_fakes.h"
#include "warmth_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kSlots = 4;
constexpr std::uint32_t kColdSlots = 2;
/// Replies after which the simulated server is warm.
constexpr std::uint32_t kRepliesUntilWarm = 50;
constexpr milliseconds kWarmLatency{ 6 };
constexpr milliseconds kColdLatency{ 18 };
/// Shortest time from a crash until the server serves again.
constexpr milliseconds kRestartTime{ 1000 };

RuleSet
rulesOfOneServer()
{
  return makeRules(1,
                   "server 127.0.0.3:80 leaving",
                   7,
                   "slots 4 connections 8 connect-cost 1ms cold-slots 2");
}

/// Simulates several nodes and one backend server in virtual time. Messages are
/// delayed and lost, views arrive late, nodes and the server restart.
class Fleet
{
public:
  explicit Fleet(std::uint32_t aSeed)
    : m_random(aSeed)
  {
    for (const Host& host : makeHosts().hosts) {
      m_nodes.push_back(std::make_unique<Node>(*this, host.name));
      m_hosts.push_back(host);
    }
    changeHosts(m_hosts, milliseconds(0));
  }

  bool chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < aShare;
  }
  std::int64_t uniform(std::int64_t aFrom, std::int64_t aTo)
  {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(m_random);
  }

  /// Publishes a host list, which each node applies within aMaxDelay.
  void changeHosts(const std::vector<Host>& aHosts, milliseconds aMaxDelay)
  {
    HostList list;
    list.revision = ++m_revision;
    list.hosts = aHosts;
    const ViewPtr view =
      makeView(1, std::make_shared<const RuleSet>(rulesOfOneServer()), list);
    for (auto& node : m_nodes) {
      node->next = view;
      node->nextAt = clock.now() + milliseconds(uniform(0, aMaxDelay.count()));
    }
  }

  /// Publishes the full host list, or one without a random host.
  void changeHostsAtRandom()
  {
    std::vector<Host> hosts = m_hosts;
    if (chance(0.7)) {
      hosts.erase(hosts.begin() + uniform(0, 3));
    }
    changeHosts(hosts, milliseconds(300));
  }

  void restartNode(std::size_t aIndex)
  {
    Node& node = *m_nodes[aIndex];
    for (Run& run : m_runs) {
      run.gone = run.gone || run.node == &node;
    }
    node.warmth = std::make_unique<Warmth>(clock, node.views, node, node.name);
    dropGone();
  }

  /// Crashes the server. Running requests are lost, and it is cold afterwards.
  void crash(milliseconds aDowntime)
  {
    upAt = clock.now() + aDowntime;
    ++incarnation;
    warm = false;
    served = 0;
    std::vector<Run> lost;
    lost.swap(m_runs);
    for (const Run& run : lost) {
      BackendReply reply;
      reply.error = Errc::Unreachable;
      run.node->warmth->onReply(run.key, reply);
    }
  }

  void step()
  {
    clock.advance(milliseconds(1));
    const TimePoint now = clock.now();
    for (auto& node : m_nodes) {
      if (node->next && node->nextAt <= now) {
        node->views.set(std::move(node->next));
        node->next = nullptr;
      }
    }
    deliver();
    finishRequests();
    if (traffic) {
      for (auto& node : m_nodes) {
        if (onlySender.empty() || node->name == onlySender) {
          sendRequests(*node);
        }
      }
    }
    for (auto& node : m_nodes) {
      for (WarmthMessage& message : node->warmth->tick()) {
        if (!chance(loss)) {
          auto& last = m_lastAt[node->name + ">" + message.host];
          last = std::max(last, now + milliseconds(uniform(1, 30)));
          m_messages.push_back({ last, node->name, std::move(message) });
        }
      }
    }
  }

  void run(milliseconds aTime)
  {
    for (int i = 0; i < aTime.count(); ++i) {
      step();
    }
  }

  std::string owner() const
  {
    for (const auto& node : m_nodes) {
      if (node->claims(0)) {
        return node->name;
      }
    }
    return {};
  }

  std::uint32_t running() const
  {
    return static_cast<std::uint32_t>(m_runs.size());
  }

  ManualClock clock;
  bool traffic = true;
  double loss = 0.0;
  std::string onlySender; ///< the only node that sends, empty for all
  bool warm = false;
  bool fragile = true; ///< exceeding the cold slots is a violation and a crash
  std::uint32_t served = 0;
  std::uint64_t incarnation = 100;
  TimePoint upAt;
  std::uint32_t violations = 0;
  std::uint32_t peak = 0;
  std::uint32_t completed = 0;

private:
  /// One node. The right to a slot is transferred when its previous holder no
  /// longer claims the slot and no request is in flight there.
  struct Node final : RightsI
  {
    Node(Fleet& aFleet, std::string aName)
      : fleet(aFleet)
      , name(std::move(aName))
      , warmth(std::make_unique<Warmth>(aFleet.clock, views, *this, name))
    {
    }
    bool claims(std::uint32_t aSlot) const
    {
      const ViewPtr view = views.get();
      if (!view) {
        return false;
      }
      for (const SlotPlace& place : view->placement[0].slots) {
        if (place.server == 0 && place.slot == aSlot &&
            place.host != SlotPlace::kNoHost) {
          return view->hosts.hosts[place.host].name == name;
        }
      }
      return false;
    }
    bool mayUse(const SlotKey& aKey) const override
    {
      return fleet.hasRight(*this, aKey.slot);
    }

    Fleet& fleet;
    std::string name;
    ViewHolder views;
    ViewPtr next;
    TimePoint nextAt;
    std::unique_ptr<Warmth> warmth;
  };
  struct Run
  {
    Node* node;
    SlotKey key;
    TimePoint started;
    TimePoint ends;
    bool gone = false;
  };
  struct Message
  {
    TimePoint at;
    std::string from;
    WarmthMessage message;
  };

  bool busy(std::uint32_t aSlot) const
  {
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const Run& aRun) {
      return aRun.key.slot == aSlot;
    });
  }

  bool hasRight(const Node& aNode, std::uint32_t aSlot)
  {
    const Node*& holder = m_rights[aSlot];
    if (!aNode.claims(aSlot)) {
      return false;
    }
    if (holder == nullptr || (!holder->claims(aSlot) && !busy(aSlot))) {
      holder = &aNode;
    }
    return holder == &aNode;
  }

  void sendRequests(Node& aNode)
  {
    for (std::uint32_t slot = 0; slot < kSlots; ++slot) {
      const SlotKey key{ "127.0.0.2:80", slot };
      if (!aNode.claims(slot) || busy(slot) || !chance(0.5) ||
          !aNode.warmth->mayUse(key, 0) || !aNode.mayUse(key)) {
        continue;
      }
      aNode.warmth->onSent(key);
      if (clock.now() < upAt) {
        BackendReply reply;
        reply.status = SubStatus::NotRun;
        reply.error = Errc::Unreachable;
        aNode.warmth->onReply(key, reply);
        continue;
      }
      const milliseconds time =
        (warm ? kWarmLatency : kColdLatency) + milliseconds(uniform(0, 2));
      m_runs.push_back({ &aNode, key, clock.now(), clock.now() + time });
      peak = std::max(peak, running());
      if (!warm && fragile && running() > kColdSlots) {
        ++violations;
        crash(kRestartTime);
      }
    }
  }

  void finishRequests()
  {
    const TimePoint now = clock.now();
    std::vector<Run> ended;
    for (Run& run : m_runs) {
      if (run.ends <= now) {
        run.gone = true;
        ended.push_back(run);
      }
    }
    dropGone();
    for (const Run& run : ended) {
      ++completed;
      warm = warm || ++served >= kRepliesUntilWarm;
      BackendReply reply;
      reply.status = SubStatus::Done;
      reply.incarnation = incarnation;
      reply.latency = now - run.started;
      run.node->warmth->onReply(run.key, reply);
    }
  }

  void dropGone()
  {
    m_runs.erase(std::remove_if(m_runs.begin(),
                                m_runs.end(),
                                [](const Run& aRun) { return aRun.gone; }),
                 m_runs.end());
  }

  void deliver()
  {
    for (std::size_t i = 0; i < m_messages.size();) {
      if (m_messages[i].at > clock.now()) {
        ++i;
        continue;
      }
      const Message message = m_messages[i];
      m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(i));
      for (auto& node : m_nodes) {
        if (node->name != message.message.host) {
          continue;
        }
        if (const auto* report =
              std::get_if<WarmthReport>(&message.message.body)) {
          node->warmth->onReport(message.from, *report);
        } else {
          node->warmth->onGrant(message.from,
                                std::get<WarmthGrant>(message.message.body));
        }
      }
    }
  }

  std::mt19937_64 m_random;
  std::vector<Host> m_hosts;
  std::uint64_t m_revision = 0;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::map<std::uint32_t, const Node*> m_rights;
  std::vector<Run> m_runs;
  std::vector<Message> m_messages;
  std::map<std::string, TimePoint> m_lastAt;
};

struct FakeRights final : RightsI
{
  bool mayUse(const SlotKey&) const override { return true; }
};

/// A single node. The test creates all messages to it.
struct SingleNode
{
  explicit SingleNode(bool aOwner)
  {
    setHosts({ "a-1", "a-2", "b-1", "b-2" });
    for (std::uint32_t slot = 0; slot < kSlots; ++slot) {
      const std::string host = holder(slot);
      if (slot == 0) {
        owner = host;
      } else if (host != owner && other.empty()) {
        other = host;
        key.slot = slot;
      }
    }
    if (aOwner) {
      key.slot = 0;
    }
    warmth =
      std::make_unique<Warmth>(clock, views, rights, aOwner ? owner : other);
  }

  void setHosts(const std::vector<std::string>& aNames)
  {
    HostList list;
    list.revision = ++revision;
    for (const std::string& name : aNames) {
      list.hosts.push_back({ name, name.substr(0, 1), "127.0.0.1", 1, 1 });
    }
    views.set(
      makeView(1, std::make_shared<const RuleSet>(rulesOfOneServer()), list));
  }

  std::string holder(std::uint32_t aSlot) const
  {
    const ViewPtr view = views.get();
    for (const SlotPlace& place : view->placement[0].slots) {
      if (place.server == 0 && place.slot == aSlot) {
        return view->hosts.hosts[place.host].name;
      }
    }
    return {};
  }

  void reply(SubStatus aStatus)
  {
    BackendReply reply;
    reply.status = aStatus;
    reply.incarnation = 5;
    reply.latency = kWarmLatency;
    warmth->onSent(key);
    warmth->onReply(key, reply);
  }

  /// @returns the reports that the next tick sends
  std::vector<WarmthReport> reports()
  {
    std::vector<WarmthReport> list;
    for (const WarmthMessage& message : warmth->tick()) {
      if (const auto* report = std::get_if<WarmthReport>(&message.body)) {
        list.push_back(*report);
      }
    }
    return list;
  }

  WarmthGrant grant(std::uint64_t aAnswers) const
  {
    WarmthGrant grant;
    grant.server = key.server;
    grant.incarnation = 5;
    grant.slots = ~std::uint64_t(0);
    grant.reportSequence = aAnswers;
    grant.warm = true;
    return grant;
  }

  bool mayUse() const { return warmth->mayUse(key, 0); }

  ManualClock clock;
  ViewHolder views;
  FakeRights rights;
  std::uint64_t revision = 0;
  std::string owner;
  std::string other;
  SlotKey key{ "127.0.0.2:80", 0 };
  std::unique_ptr<Warmth> warmth;
};

} // namespace

class WarmthTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WarmthTest);
  CPPUNIT_TEST(rampReachesAllSlots);
  CPPUNIT_TEST(coldTotalHoldsUnderFaults);
  CPPUNIT_TEST(restartedOwnerDoesNotThrottleWarmServer);
  CPPUNIT_TEST(limitsServerThatBecameCold);
  CPPUNIT_TEST(ownerStopsHoldersThatNoticedNothing);
  CPPUNIT_TEST(partitionedHolderKeepsWarmServer);
  CPPUNIT_TEST(leaseStartsAtTheReport);
  CPPUNIT_TEST(lateGrantIsVoidAfterAQuestion);
  CPPUNIT_TEST(lostConnectionStopsAHolder);
  CPPUNIT_TEST(holderWithRequestInFlightHasNotSettled);
  CPPUNIT_TEST(ownerAsksAgainWhenHoldersChange);
  CPPUNIT_TEST(ownerGrantsOnlyOnRecentEvidence);
  CPPUNIT_TEST(messagesEncodeEveryField);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a new server that is overloaded while it is cold, or whose
  // slots are never all used.
  void rampReachesAllSlots()
  {
    Fleet fleet(1);
    fleet.run(milliseconds(400));
    CPPUNIT_ASSERT(fleet.peak <= kColdSlots);
    fleet.run(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), fleet.violations);
    CPPUNIT_ASSERT_EQUAL(kSlots, fleet.peak);
  }

  // Guards against a cold server that runs more requests than it has cold slots
  // when the server, the owner and other holders restart, nodes apply views at
  // different times, messages are late or lost, and traffic pauses.
  void coldTotalHoldsUnderFaults()
  {
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
      Fleet fleet(seed);
      fleet.loss = 0.1;
      for (int event = 0; event < 40; ++event) {
        fleet.run(milliseconds(fleet.uniform(5, 1500)));
        switch (fleet.uniform(0, 4)) {
          case 0:
          case 1:
            fleet.crash(kRestartTime + milliseconds(fleet.uniform(0, 500)));
            break;
          case 2:
            fleet.restartNode(static_cast<std::size_t>(fleet.uniform(0, 3)));
            break;
          case 3:
            fleet.changeHostsAtRandom();
            break;
          default:
            fleet.traffic = !fleet.traffic;
            break;
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::uint32_t(0), fleet.violations);
      fleet.traffic = true;
      fleet.loss = 0.0;
      fleet.run(milliseconds(4000));
      fleet.peak = 0;
      fleet.run(milliseconds(3000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), kSlots, fleet.peak);
    }
  }

  // Guards against a new owner that treats a server as cold although other
  // holders use it as a warm one. The drop in throughput in the second after
  // the restart must stay below what the owner's own share and a ramp would
  // cost.
  void restartedOwnerDoesNotThrottleWarmServer()
  {
    Fleet fleet(3);
    fleet.run(milliseconds(6000));
    fleet.completed = 0;
    fleet.run(milliseconds(1000));
    const std::uint32_t before = fleet.completed;
    for (std::size_t node = 0; node < 4; ++node) {
      fleet.completed = 0;
      fleet.restartNode(node);
      fleet.run(milliseconds(1000));
      CPPUNIT_ASSERT(fleet.completed * 10 > before * 8);
    }
  }

  // Guards against a server that becomes cold without a restart and still gets
  // its full load.
  void limitsServerThatBecameCold()
  {
    Fleet fleet(4);
    fleet.run(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(kSlots, fleet.peak);
    fleet.fragile = false;
    fleet.warm = false;
    fleet.served = 0;
    fleet.run(milliseconds(250));
    CPPUNIT_ASSERT(!fleet.warm);
    fleet.peak = 0;
    fleet.run(milliseconds(100));
    CPPUNIT_ASSERT(fleet.peak <= kColdSlots);
    fleet.run(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(kSlots, fleet.peak);
  }

  // Guards against holders that keep sending to a server that became cold when
  // only the owner could notice that.
  void ownerStopsHoldersThatNoticedNothing()
  {
    Fleet fleet(6);
    fleet.run(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(kSlots, fleet.peak);
    fleet.fragile = false;
    fleet.warm = false;
    fleet.served = 0;
    fleet.onlySender = fleet.owner();
    fleet.run(milliseconds(300));
    CPPUNIT_ASSERT(!fleet.warm);
    fleet.onlySender.clear();
    fleet.peak = 0;
    fleet.run(milliseconds(60));
    CPPUNIT_ASSERT(fleet.peak <= kColdSlots);
  }

  // Guards against a holder that stops using a warm server because a partition
  // separates it from the owner.
  void partitionedHolderKeepsWarmServer()
  {
    Fleet fleet(5);
    fleet.run(milliseconds(6000));
    fleet.loss = 1.0;
    fleet.run(milliseconds(2000));
    fleet.peak = 0;
    fleet.run(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(kSlots, fleet.peak);
  }

  // Guards against a delayed grant whose lease lasts longer than the owner
  // assumes.
  void leaseStartsAtTheReport()
  {
    SingleNode s(false);
    CPPUNIT_ASSERT(!s.mayUse());
    const auto reports = s.reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
    s.clock.advance(Warmth::kLeaseDuration - milliseconds(1));
    s.warmth->onGrant(s.owner, s.grant(reports[0].sequence));
    CPPUNIT_ASSERT(s.mayUse());
    s.clock.advance(milliseconds(1));
    CPPUNIT_ASSERT(!s.mayUse());
  }

  // Guards against accepting a grant after the owner's report request, when
  // the owner made it before it noticed signs of cold, and against accepting a
  // grant from a node that isn't the owner.
  void lateGrantIsVoidAfterAQuestion()
  {
    SingleNode s(false);
    CPPUNIT_ASSERT(!s.mayUse());
    const auto reports = s.reports();
    s.warmth->onGrant("b-9", s.grant(reports[0].sequence));
    CPPUNIT_ASSERT(!s.mayUse());
    WarmthGrant question;
    question.server = s.key.server;
    question.round = 77;
    s.warmth->onGrant(s.owner, question);
    s.warmth->onGrant(s.owner, s.grant(reports[0].sequence));
    CPPUNIT_ASSERT(!s.mayUse());
    const auto again = s.reports();
    CPPUNIT_ASSERT(again.at(0).settled && again[0].round == 77);
    s.warmth->onGrant(s.owner, s.grant(again[0].sequence));
    CPPUNIT_ASSERT(s.mayUse());
  }

  // Guards against a holder that keeps sending after a lost connection because
  // it has seen the server warm before.
  void lostConnectionStopsAHolder()
  {
    SingleNode s(false);
    CPPUNIT_ASSERT(!s.mayUse());
    s.warmth->onGrant(s.owner, s.grant(s.reports().at(0).sequence));
    s.reply(SubStatus::Done);
    s.clock.advance(Warmth::kLeaseDuration + milliseconds(1));
    CPPUNIT_ASSERT(s.mayUse()); // seen warm
    s.reply(SubStatus::Lost);
    CPPUNIT_ASSERT(!s.mayUse());
    const auto reports = s.reports();
    CPPUNIT_ASSERT(reports.at(0).cold && !reports[0].warm);
  }

  // Guards against an owner that ends settling while a request of another node
  // is running.
  void holderWithRequestInFlightHasNotSettled()
  {
    SingleNode s(false);
    CPPUNIT_ASSERT(!s.mayUse());
    s.warmth->onGrant(s.owner, s.grant(s.reports().at(0).sequence));
    s.warmth->onSent(s.key);
    WarmthGrant question;
    question.server = s.key.server;
    question.round = 77;
    s.warmth->onGrant(s.owner, question);
    CPPUNIT_ASSERT(!s.reports().at(0).settled);
    BackendReply reply;
    reply.cancelled = true;
    s.warmth->onReply(s.key, reply);
    CPPUNIT_ASSERT(s.reports().at(0).settled);
  }

  // Guards against too many leases in total when the owner regards holders as
  // settled that settled in an earlier view.
  void ownerAsksAgainWhenHoldersChange()
  {
    SingleNode s(true);
    const std::size_t holders = reportAllSettled(s);
    CPPUNIT_ASSERT(holders > 0);
    CPPUNIT_ASSERT(s.mayUse());
    std::vector<std::string> hosts = { "a-1", "a-2", "b-1", "b-2" };
    hosts.erase(std::find(hosts.begin(), hosts.end(), s.other));
    s.setHosts(hosts);
    CPPUNIT_ASSERT_EQUAL(s.owner, s.holder(0));
    CPPUNIT_ASSERT(!s.mayUse());
    reportAllSettled(s);
    CPPUNIT_ASSERT(s.mayUse());
  }

  // Guards against a lease that outlasts the evidence it is based on: the
  // server may have restarted unnoticed by then.
  void ownerGrantsOnlyOnRecentEvidence()
  {
    SingleNode s(true);
    reportAllSettled(s);
    for (std::uint32_t i = 0; i < kSlots * Warmth::kGoodRepliesPerSlot; ++i) {
      s.reply(SubStatus::Done);
    }
    s.clock.advance(Warmth::kMaxEvidenceAge - Warmth::kLeaseDuration);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), countGrants(s));
    s.clock.advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countGrants(s));
  }

  // Guards against message fields that are left out of the encoding.
  void messagesEncodeEveryField()
  {
    WarmthReport report;
    report.server = "127.0.0.1:80";
    report.incarnation = 1;
    report.sequence = 2;
    report.round = 3;
    report.cold = report.warm = report.settled = true;
    report.good = 4;
    report.goodAgeUs = 5;
    const auto back = decode<WarmthReport>(encode(report));
    CPPUNIT_ASSERT(back);
    CPPUNIT_ASSERT_EQUAL(encode(report), encode(*back));
    CPPUNIT_ASSERT(back->server == report.server && back->goodAgeUs == 5 &&
                   back->good == 4 && back->settled && back->round == 3);
    WarmthGrant grant;
    grant.server = "127.0.0.1:80";
    grant.slots = 6;
    grant.reportSequence = 7;
    grant.round = 8;
    grant.incarnation = 9;
    grant.warm = grant.revoked = true;
    const auto granted = decode<WarmthGrant>(encode(grant));
    CPPUNIT_ASSERT(granted && granted->slots == 6 &&
                   granted->reportSequence == 7 && granted->round == 8 &&
                   granted->incarnation == 9 && granted->warm &&
                   granted->revoked);
    CPPUNIT_ASSERT(!decode<WarmthGrant>(encode(grant).substr(0, 20)));
  }

private:
  /// Reports every holder as settled in answer to the owner's report requests.
  /// @returns the number of holders asked
  static std::size_t reportAllSettled(SingleNode& aSingle)
  {
    std::size_t asked = 0;
    for (const WarmthMessage& message : aSingle.warmth->tick()) {
      if (const auto* grant = std::get_if<WarmthGrant>(&message.body)) {
        WarmthReport report;
        report.server = aSingle.key.server;
        report.round = grant->round;
        report.settled = true;
        aSingle.warmth->onReport(message.host, report);
        ++asked;
      }
    }
    return asked;
  }

  /// @returns the number of leases that the owner grants for one report
  static std::size_t countGrants(SingleNode& aSingle)
  {
    WarmthReport report;
    report.server = aSingle.key.server;
    report.sequence = 1;
    aSingle.warmth->onReport(aSingle.other, report);
    std::size_t count = 0;
    for (const WarmthMessage& message : aSingle.warmth->tick()) {
      const auto* grant = std::get_if<WarmthGrant>(&message.body);
      count += grant != nullptr && grant->slots != 0 ? 1 : 0;
    }
    return count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmthTest);
