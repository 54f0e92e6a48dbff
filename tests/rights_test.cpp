#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <random>
#include <sstream>

#include "rights_p.h"
#include "slot_table_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLease{ 1000 };
constexpr milliseconds kDeadline{ 300 };
constexpr milliseconds kWait = 2 * kLease + kDeadline + kHandoverMargin;
constexpr milliseconds kSilence = kLease + kDeadline + kHandoverMargin;

/// Rules with two services of six slots and, optionally, a data centre out.
std::shared_ptr<const RuleSet>
testRules(const std::vector<std::string>& aCentres,
          const std::string& aOut = {})
{
  std::string text;
  const std::string by = " # asked by X : test\n";
  for (const std::string& name : aCentres) {
    text.append("data-centre ").append(name);
    text.append(name == aOut ? " out" : " in").append(by);
  }
  for (const char* shard : { "1", "2" }) {
    text += std::string("service s/") + shard + " servers 127.0.0." + shard +
            ":80,127.0.1." + shard +
            ":80 slots 3 connections 9 connect-cost 1ms cold-slots 1" + by;
  }
  text += "snapshot s 1 services 1..2" + by;
  text += "class c application s deadline 300ms priority 1 wait coverage "
          "idempotent yes fan-out all" +
          by + "rights lease 1s" + by;
  const RulesResult result = parseRules(text);
  CPPUNIT_ASSERT_MESSAGE(result.rules ? "" : result.faults[0].message,
                         result.rules != nullptr);
  return result.rules;
}

/// @param[in] aNames the first letter of a name is its data centre
HostList
testHosts(std::uint64_t aRevision, const std::vector<std::string>& aNames)
{
  HostList list;
  list.revision = aRevision;
  for (const std::string& name : aNames) {
    Host host;
    host.name = name;
    host.dataCentre = name.substr(0, 1);
    list.hosts.push_back(host);
  }
  return list;
}

ViewPtr
testView(std::uint64_t aRules,
         std::uint64_t aHosts,
         const std::vector<std::string>& aNames)
{
  return makeView(aRules, testRules({ "a" }), testHosts(aHosts, aNames));
}

std::map<SlotKey, std::string>
holders(const View& aView)
{
  std::map<SlotKey, std::string> found;
  for (std::size_t i = 0; i < aView.placement.size(); ++i) {
    for (const SlotPlace& place : aView.placement[i].slots) {
      found[{ aView.rules->services[i].servers[place.server].name,
              place.slot }] = place.host == SlotPlace::kNoHost
                                ? ""
                                : aView.hosts.hosts[place.host].name;
    }
  }
  return found;
}

/// One node under test with acknowledgements made by hand.
struct Bench
{
  ManualClock clock;
  SendingRights rights{ clock, "a1" };
  std::uint64_t incarnation = 1;
  std::set<std::string> withoutLease; ///< peers that lack a quorum

  void ack(const std::string& aHost, const ViewPtr& aView, ViewId aSettled)
  {
    rights.onProbeAcked(
      { aHost,
        incarnation,
        aView->id,
        aSettled,
        withoutLease.count(aHost) == 0 ? aView->id : ViewId{} },
      clock.now());
  }
  void ack(const std::string& aHost, const ViewPtr& aView)
  {
    ack(aHost, aView, { 1, 1 });
  }
  /// Advances in steps with an acknowledgement from each host.
  void run(Duration aFor,
           const std::vector<std::string>& aHosts,
           const ViewPtr& aView)
  {
    for (Duration t{ 0 }; t < aFor; t += milliseconds(100)) {
      clock.advance(milliseconds(100));
      for (const std::string& host : aHosts) {
        ack(host, aView);
      }
      rights.tick();
    }
  }
  std::size_t usable(const View& aView) const
  {
    std::size_t count = 0;
    for (const auto& entry : holders(aView)) {
      count += rights.mayUse(entry.first) ? 1 : 0;
    }
    return count;
  }
  std::size_t held(const View& aView) const
  {
    std::size_t count = 0;
    for (const auto& entry : holders(aView)) {
      count += entry.second == "a1" ? 1 : 0;
    }
    return count;
  }
};

/// Times that the slot table asks for a right: whether any slot is allowed, for
/// the chosen slot, and right before the send.
constexpr int kChecks = 3;

struct FakeRights final : public RightsI
{
  mutable int yes = 0; ///< answers true this many times
  bool mayUse(const SlotKey&) const override { return yes-- > 0; }
};

struct FakeWarmth final : public WarmthI
{
  bool mayUse(const SlotKey&, std::uint32_t) const override { return true; }
  bool mayCancel(const std::string&) const override { return true; }
  void onSent(const SlotKey&) override {}
  void onReply(const SlotKey&, const BackendReply&) override {}
};

struct FakeBackend final : public BackendI
{
  std::vector<Done> sent;
  std::uint64_t send(BackendCall, Done aDone) override
  {
    sent.push_back(std::move(aDone));
    return sent.size();
  }
  void cancel(std::uint64_t) override {}
};

/// A fleet of holders with faults drawn from a seed.
class Fleet
{
public:
  Fleet(std::uint32_t aSeed, const std::vector<int>& aSizes)
    : m_random(aSeed)
  {
    for (std::size_t i = 0; i < aSizes.size(); ++i) {
      m_centres.emplace_back(1, static_cast<char>('a' + i));
      for (int n = 1; n <= aSizes[i]; ++n) {
        m_names.push_back(m_centres.back() + std::to_string(n));
      }
    }
    m_rules = { testRules(m_centres) };
    m_lists = { testHosts(1, m_names) };
    m_nodes.resize(m_names.size());
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      restart(i);
    }
    m_sizes = aSizes;
  }

  /// @returns the violation, or an empty text
  std::string run()
  {
    for (m_step = 0; m_step < kSteps; ++m_step) {
      m_quiet = m_step >= kFaultSteps;
      m_clock.advance(milliseconds(50));
      if (m_quiet) {
        m_cuts.clear();
      } else {
        faults();
      }
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_quiet || m_nodes[i].pausedUntil <= m_clock.now()) {
          act(i);
        }
      }
      std::string violation = check();
      if (!violation.empty()) {
        return violation;
      }
    }
    return {};
  }

  static constexpr int kFaultSteps = 6000;
  static constexpr int kSteps = kFaultSteps + 400;
  int moves = 0;   ///< first uses of a slot by another holder than before
  long usable = 0; ///< slots usable or in use, summed over steps

private:
  struct Message
  {
    std::size_t from = 0;
    bool isAck = false;
    TimePoint due;
    TimePoint sentAt;
    PeerState state;
  };
  struct Running
  {
    SlotKey key;
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    ViewId view;
    TimePoint until;
  };
  struct Node
  {
    std::unique_ptr<SendingRights> rights;
    ViewPtr view;
    std::map<SlotKey, std::string> holders;
    std::uint64_t incarnation = 0;
    TimePoint startedAt;
    TimePoint pausedUntil;
    TimePoint staleUntil;
    std::deque<Message> inbox;
  };

  bool chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < aShare;
  }
  std::size_t pick(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(m_random);
  }
  TimePoint later(int aMaxMs)
  {
    return m_clock.now() + milliseconds(pick(aMaxMs) + 1);
  }

  void restart(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    const TimePoint stale = node.staleUntil;
    const std::uint64_t incarnation = node.incarnation + 1;
    node = Node{};
    node.rights = std::make_unique<SendingRights>(m_clock, m_names[aNode]);
    node.incarnation = incarnation;
    node.startedAt = m_clock.now();
    node.staleUntil = stale;
    // The platform may be stale, so an old list can be the first one read.
    adopt(node, pick(m_rules.size()), pick(m_lists.size()));
  }

  void adopt(Node& aNode, std::size_t aRules, std::size_t aList)
  {
    ViewId id{ aRules + 1, aList + 1 };
    if (aNode.view) {
      id.rules = std::max(id.rules, aNode.view->id.rules);
      id.hosts = std::max(id.hosts, aNode.view->id.hosts);
      if (id == aNode.view->id) {
        return;
      }
    }
    aNode.view =
      makeView(id.rules, m_rules[id.rules - 1], m_lists[id.hosts - 1]);
    aNode.holders = holders(*aNode.view);
    aNode.rights->adopt(aNode.view);
  }

  void faults()
  {
    const TimePoint now = m_clock.now();
    if (now >= m_nextEpisode) {
      startEpisode();
      m_nextEpisode = now + milliseconds(6000 + pick(12000));
    }
    if (now >= m_nextChange) {
      m_nextChange = now + milliseconds(300 + pick(10000));
      if (chance(0.4)) {
        m_rules.push_back(testRules(
          m_centres, chance(0.6) ? m_centres[pick(4)] : std::string()));
      } else {
        publishList();
      }
    }
    const std::size_t i = pick(m_nodes.size());
    if (chance(0.005)) {
      m_nodes[i].pausedUntil = later(6000);
    }
    if (chance(0.002)) {
      restart(i);
    }
    if (chance(0.004)) {
      m_cuts[{ m_names[i], m_names[pick(m_names.size())] }] = later(8000);
    }
  }

  /// Cuts part of a data centre, or whole ones, off from the rest. One of the
  /// sides reads an old list and old rules; some hosts pause or restart.
  void startEpisode()
  {
    const char centre = m_centres[pick(4)][0];
    const char other = chance(0.3) ? m_centres[pick(4)][0] : centre;
    const bool whole = chance(0.4);
    const bool insideIsStale = chance(0.6);
    const TimePoint until = later(9000) + milliseconds(4000);
    std::vector<bool> inside;
    for (const std::string& name : m_names) {
      inside.push_back((name[0] == centre || name[0] == other) &&
                       (whole || chance(0.5)));
    }
    m_nextChange = later(1500);
    for (std::size_t i = 0; i < m_names.size(); ++i) {
      for (std::size_t j = 0; j < m_names.size(); ++j) {
        if (inside[i] != inside[j]) {
          m_cuts[{ m_names[i], m_names[j] }] = until;
        }
      }
      if (inside[i] == insideIsStale) {
        m_nodes[i].staleUntil = until;
      }
      if (chance(0.1)) {
        m_nodes[i].pausedUntil = later(6000);
      }
      if (chance(0.1)) {
        restart(i);
      }
    }
  }

  /// Two lists of a data centre differ by less than a quorum: at most one host
  /// of three or more is missing, and of two only the second.
  void publishList()
  {
    std::vector<std::string> names = m_names;
    for (std::size_t i = 0; i < m_centres.size(); ++i) {
      if (m_sizes[i] > 1 && chance(0.5)) {
        const std::size_t missing = m_sizes[i] == 2 ? 2 : pick(m_sizes[i]) + 1;
        names.erase(std::find(
          names.begin(), names.end(), m_centres[i] + std::to_string(missing)));
      }
    }
    m_lists.push_back(testHosts(m_lists.size() + 1, names));
  }

  bool isCut(const std::string& aFrom, const std::string& aTo) const
  {
    const auto cut = [this](const std::string& a_, const std::string& aOther) {
      const auto found = m_cuts.find({ a_, aOther });
      return found != m_cuts.end() && found->second > m_clock.now();
    };
    return cut(aFrom, aTo) || cut(aTo, aFrom);
  }

  void post(std::size_t aFrom, std::size_t aTo, Message aMessage)
  {
    if (!isCut(m_names[aFrom], m_names[aTo]) && (m_quiet || !chance(0.05))) {
      aMessage.from = aFrom;
      aMessage.due = m_clock.now() + milliseconds(pick(150));
      m_nodes[aTo].inbox.push_back(aMessage);
    }
  }

  PeerState stateOf(std::size_t aNode) const
  {
    const Node& node = m_nodes[aNode];
    PeerState state{
      m_names[aNode], node.incarnation, node.view->id, {}, node.rights->leased()
    };
    if (m_clock.now() >= node.startedAt + kSilence) {
      state.settled = node.view->id;
      for (const Running& running : m_running) {
        if (running.node == aNode && running.incarnation == node.incarnation) {
          state.settled.rules =
            std::min(state.settled.rules, running.view.rules);
          state.settled.hosts =
            std::min(state.settled.hosts, running.view.hosts);
        }
      }
    }
    return state;
  }

  void act(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    // A node that wakes sends before it handles what arrived meanwhile.
    for (const auto& entry : node.holders) {
      if (node.rights->mayUse(entry.first) && chance(0.3)) {
        m_running.push_back({ entry.first,
                              aNode,
                              node.incarnation,
                              node.view->id,
                              m_clock.now() + kDeadline });
      }
    }
    std::deque<Message> inbox;
    inbox.swap(node.inbox);
    for (const Message& message : inbox) {
      if (message.due > m_clock.now()) {
        node.inbox.push_back(message);
        continue;
      }
      if (message.isAck) {
        node.rights->onProbeAcked(message.state, message.sentAt);
        // Gossip passes views on, at times late.
        if (m_quiet || chance(0.1)) {
          adopt(
            node, message.state.view.rules - 1, message.state.view.hosts - 1);
        }
      } else {
        post(
          aNode, message.from, { 0, true, {}, message.sentAt, stateOf(aNode) });
      }
    }
    if (m_quiet || node.staleUntil <= m_clock.now()) {
      if (m_quiet || chance(0.1)) {
        adopt(node, m_rules.size() - 1, m_lists.size() - 1);
      }
    }
    node.rights->tick();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (i != aNode && m_step % 4 == 0) {
        post(aNode, i, { 0, false, {}, m_clock.now(), {} });
      }
    }
  }

  std::string check()
  {
    m_running.erase(std::remove_if(m_running.begin(),
                                   m_running.end(),
                                   [&](const Running& aOne) {
                                     return aOne.until <= m_clock.now();
                                   }),
                    m_running.end());
    std::map<SlotKey, std::set<std::size_t>> users;
    for (const Running& running : m_running) {
      users[running.key].insert(running.node);
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      // Also of paused nodes, which may wake and send at any moment.
      for (const auto& entry : m_nodes[i].holders) {
        if (m_nodes[i].rights->mayUse(entry.first)) {
          users[entry.first].insert(i);
          const auto last = m_lastUser.emplace(entry.first, i);
          moves += last.first->second != i ? 1 : 0;
          last.first->second = i;
        }
      }
    }
    const std::string at = " at step " + std::to_string(m_step);
    for (const auto& [key, nodes] : users) {
      if (nodes.size() > 1) {
        return key.server + " slot " + std::to_string(key.slot) +
               " usable at " + m_names[*nodes.begin()] + " and " +
               m_names[*nodes.rbegin()] + at;
      }
    }
    usable += static_cast<long>(users.size());
    if (m_step == kSteps - 1 && users.size() != 12) {
      return std::to_string(users.size()) + " of 12 slots usable" + at;
    }
    return {};
  }

  std::mt19937 m_random;
  ManualClock m_clock;
  std::vector<std::string> m_centres;
  std::vector<std::string> m_names;
  std::vector<int> m_sizes;
  std::vector<std::shared_ptr<const RuleSet>> m_rules;
  std::vector<HostList> m_lists;
  std::vector<Node> m_nodes;
  std::vector<Running> m_running;
  std::map<std::pair<std::string, std::string>, TimePoint> m_cuts;
  std::map<SlotKey, std::size_t> m_lastUser;
  TimePoint m_nextEpisode;
  TimePoint m_nextChange;
  int m_step = 0;
  bool m_quiet = false;
};

/// A slot table over fakes, on a fleet of one host.
struct Table
{
  ManualClock clock;
  ViewHolder views;
  FakeRights rights;
  FakeWarmth warmth;
  FakeBackend backend;
  SlotTable slots{ clock, views, rights, warmth, backend, "a1" };
  std::vector<SubReply> replies;

  Table() { views.set(testView(1, 1, { "a1" })); }
  void submit(SlotTable& aSlots)
  {
    SubBatch batch;
    SubItem item;
    item.service = "s/1";
    item.server = "127.0.0.1:80";
    batch.items.push_back(item);
    aSlots.submit(
      { "a1",
        std::make_shared<const SubBatch>(batch),
        0,
        clock.now() + milliseconds(200) },
      [this](const SubReply& aReply) { replies.push_back(aReply); });
  }
};

/// @returns the view {1, 1} of three hosts, with all slots of a1 open
ViewPtr
opened(Bench& aBench)
{
  ViewPtr view = testView(1, 1, { "a1", "a2", "a3" });
  aBench.rights.adopt(view);
  aBench.run(kWait + milliseconds(200), { "a2" }, view);
  CPPUNIT_ASSERT(aBench.held(*view) > 0);
  CPPUNIT_ASSERT_EQUAL(aBench.held(*view), aBench.usable(*view));
  return view;
}

} // namespace

class RightsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RightsTest);
  CPPUNIT_TEST(waitsForMajority);
  CPPUNIT_TEST(leaseIsDatedBySend);
  CPPUNIT_TEST(anotherViewDoesNotRenew);
  CPPUNIT_TEST(startedPeerDoesNotVote);
  CPPUNIT_TEST(settledHolderEndsHandover);
  CPPUNIT_TEST(skippedViewPreventsEarlyHandover);
  CPPUNIT_TEST(severalViewsWaitForEachHolder);
  CPPUNIT_TEST(returningHolderWaitsForOthers);
  CPPUNIT_TEST(lapseUnderAnotherViewOrLongWaits);
  CPPUNIT_TEST(otherDataCentreMustMove);
  CPPUNIT_TEST(onlyHostNeedsNoPeer);
  CPPUNIT_TEST(checksAgainBeforeSend);
  CPPUNIT_TEST(slotTableFollowsRights);
  CPPUNIT_TEST(settledWaitsForRequests);
  CPPUNIT_TEST(neverTwoHoldersOfOneSlot);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a lease from a minority, which another view may overrule,
  // and against slots that open without the wait.
  void waitsForMajority()
  {
    Bench bench;
    const ViewPtr view = testView(1, 1, { "a1", "a2", "a3", "a4", "a5" });
    bench.rights.adopt(view);
    bench.run(2 * kWait, { "a2" }, view);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*view));
    bench.run(kWait - milliseconds(100), { "a2", "a3" }, view);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*view));
    bench.run(milliseconds(200), { "a2", "a3" }, view);
    CPPUNIT_ASSERT(bench.held(*view) > 0);
    CPPUNIT_ASSERT_EQUAL(bench.held(*view), bench.usable(*view));
  }

  // Guards against a late acknowledgement that extends a lease past the time
  // at which its sender could still know of it.
  void leaseIsDatedBySend()
  {
    Bench bench;
    const ViewPtr view = opened(bench);
    const TimePoint sent = bench.clock.now() + milliseconds(100);
    bench.clock.advance(milliseconds(700));
    bench.rights.onProbeAcked({ "a2", 1, view->id, view->id, view->id }, sent);
    bench.clock.advance(milliseconds(399));
    CPPUNIT_ASSERT(bench.usable(*view) > 0);
    bench.clock.advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*view));
  }

  // Guards against a holder that goes on under a view its peers have left, and
  // against one whose peers may still vote for another holder.
  void anotherViewDoesNotRenew()
  {
    for (const bool newer : { true, false }) {
      Bench bench;
      const ViewPtr view = opened(bench);
      const ViewPtr next = testView(2, 1, { "a1", "a2", "a3" });
      if (!newer) {
        bench.rights.adopt(next);
      }
      CPPUNIT_ASSERT(bench.usable(*view) > 0);
      bench.run(kLease, { "a2", "a3" }, newer ? next : view);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*view));
    }
  }

  // Guards against the vote of a host that forgot its earlier vote.
  void startedPeerDoesNotVote()
  {
    Bench bench;
    const ViewPtr view = testView(1, 1, { "a1", "a2" });
    bench.rights.adopt(view);
    for (int i = 0; i < 100; ++i) {
      bench.clock.advance(milliseconds(100));
      bench.ack("a2", view, {});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*view));
  }

  // Guards against an overlap with the earlier holder, and against a wait
  // that its report makes needless.
  void settledHolderEndsHandover()
  {
    Bench bench;
    const ViewPtr first = opened(bench);
    const ViewPtr next = testView(1, 2, { "a1", "a3" });
    bench.rights.adopt(next);
    const std::size_t kept = bench.usable(*next);
    CPPUNIT_ASSERT(kept < bench.held(*next));
    bench.run(kWait - milliseconds(100), { "a3" }, next);
    CPPUNIT_ASSERT_EQUAL(kept, bench.usable(*next));
    // Under a newer view the slot may have returned to the earlier holder.
    bench.ack("a2", testView(1, 3, { "a1", "a2", "a3" }), { 1, 3 });
    CPPUNIT_ASSERT_EQUAL(kept, bench.usable(*next));
    bench.ack("a2", next, next->id);
    CPPUNIT_ASSERT_EQUAL(bench.held(*next), bench.usable(*next));
  }

  // Guards against a holder of a view that this node never saw.
  void skippedViewPreventsEarlyHandover()
  {
    Bench bench;
    opened(bench);
    const ViewPtr next = testView(1, 3, { "a1", "a3" });
    bench.rights.adopt(next);
    const std::size_t kept = bench.usable(*next);
    bench.ack("a2", next, next->id);
    bench.ack("a3", next, next->id);
    CPPUNIT_ASSERT_EQUAL(kept, bench.usable(*next));
    bench.run(kWait + milliseconds(100), { "a3" }, next);
    CPPUNIT_ASSERT_EQUAL(bench.held(*next), bench.usable(*next));
  }

  // Guards against asking only the last of several earlier holders, which may
  // never have used the slot.
  void severalViewsWaitForEachHolder()
  {
    Bench bench;
    const ViewPtr first = opened(bench);
    const ViewPtr second = testView(1, 2, { "a1", "a3", "b1" });
    const ViewPtr third = testView(1, 3, { "a1", "b1" });
    bench.rights.adopt(second);
    bench.rights.adopt(third);
    bench.ack("b1", third);
    bench.ack("a3", third, third->id);
    CPPUNIT_ASSERT(bench.usable(*third) < bench.held(*third));
    bench.ack("a2", third, third->id);
    CPPUNIT_ASSERT_EQUAL(bench.held(*third), bench.usable(*third));
  }

  // Guards against a holder that returns while its successor still sends, and
  // against one that waits for itself.
  void returningHolderWaitsForOthers()
  {
    Bench bench;
    opened(bench);
    bench.rights.adopt(testView(1, 2, { "a2", "a3" }));
    const ViewPtr third = testView(1, 3, { "a1", "a2", "a3" });
    bench.rights.adopt(third);
    bench.ack("a2", third);
    bench.ack("a3", third);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*third));
    bench.ack("a2", third, third->id);
    bench.ack("a3", third, third->id);
    CPPUNIT_ASSERT_EQUAL(bench.held(*third), bench.usable(*third));
  }

  // Guards against a paused holder that keeps its slots on waking, though
  // another may have held them under a view in between.
  void lapseUnderAnotherViewOrLongWaits()
  {
    Bench bench;
    const ViewPtr first = opened(bench);
    bench.clock.advance(kLease + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*first));
    bench.ack("a2", first);
    CPPUNIT_ASSERT_EQUAL(bench.held(*first), bench.usable(*first));
    bench.clock.advance(kLease + milliseconds(1));
    const ViewPtr next = testView(2, 1, { "a1", "a2", "a3" });
    bench.rights.adopt(next);
    bench.run(kWait - milliseconds(100), { "a2", "a3" }, next);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*next));
    bench.run(milliseconds(200), { "a2", "a3" }, next);
    CPPUNIT_ASSERT_EQUAL(bench.held(*next), bench.usable(*next));
    // A long lapse hides a restart of a voter that forgot a newer view.
    bench.clock.advance(2 * kLease + milliseconds(1));
    bench.ack("a2", next);
    bench.ack("a3", next);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), bench.usable(*next));
  }

  // Guards against taking over the slots of a data centre that is out but cut
  // off and still sending.
  void otherDataCentreMustMove()
  {
    Bench bench;
    const HostList hosts = testHosts(1, { "a1", "a2", "b1", "b2" });
    const ViewPtr first = makeView(1, testRules({ "a", "b" }), hosts);
    const ViewPtr next = makeView(2, testRules({ "a", "b" }, "b"), hosts);
    bench.rights.adopt(first);
    bench.run(kWait + milliseconds(200), { "a2", "b1", "b2" }, first);
    bench.rights.adopt(next);
    bench.withoutLease = { "b1" };
    bench.run(2 * kWait, { "a2", "b1" }, next);
    const std::size_t kept = bench.usable(*next);
    CPPUNIT_ASSERT(kept > 0 && kept < bench.held(*next));
    bench.withoutLease.clear();
    bench.run(kWait + milliseconds(200), { "a2", "b1", "b2" }, next);
    CPPUNIT_ASSERT_EQUAL(bench.held(*next), bench.usable(*next));
  }

  // Guards against a fleet of one host that never serves.
  void onlyHostNeedsNoPeer()
  {
    Bench bench;
    const ViewPtr view = testView(1, 1, { "a1" });
    bench.rights.adopt(view);
    bench.run(kWait + milliseconds(100), {}, view);
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), bench.usable(*view));
  }

  // Guards against a pause between taking a request and sending it.
  void checksAgainBeforeSend()
  {
    Table table;
    table.rights.yes = kChecks - 1;
    table.submit(table.slots);
    CPPUNIT_ASSERT(table.backend.sent.empty());
    table.rights.yes = 0;
    table.clock.advance(milliseconds(200));
    table.slots.sweep();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.replies.size());
    CPPUNIT_ASSERT(table.replies[0].status == SubStatus::NotRun);
  }

  // Guards against rights that never reach the queue: work waits or is
  // answered without them, and is sent with them.
  void slotTableFollowsRights()
  {
    Table table;
    SendingRights rights(table.clock, "a1");
    SlotTable slots(
      table.clock, table.views, rights, table.warmth, table.backend, "a1");
    const ViewPtr view = testView(1, 1, { "a1", "b1" });
    rights.adopt(view);
    table.views.set(view);
    table.submit(slots);
    // Before the deadline, at which the entry node stops listening.
    table.clock.advance(milliseconds(175));
    slots.sweep();
    CPPUNIT_ASSERT(table.replies.at(0).status == SubStatus::NotRun);
    for (int i = 0; i < 40; ++i) {
      table.clock.advance(milliseconds(100));
      rights.onProbeAcked({ "b1", 1, view->id, view->id, view->id },
                          table.clock.now());
    }
    table.submit(slots);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.backend.sent.size());
  }

  // Guards against reporting a view settled while a request under an older
  // one, of this process or the one before, may run.
  void settledWaitsForRequests()
  {
    Table table;
    CPPUNIT_ASSERT(table.slots.settled() == ViewId{});
    table.clock.advance(kSilence);
    CPPUNIT_ASSERT(table.slots.settled() == (ViewId{ 1, 1 }));
    table.rights.yes = kChecks;
    table.submit(table.slots);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.backend.sent.size());
    table.views.set(testView(1, 2, { "a1" }));
    CPPUNIT_ASSERT(table.slots.settled() == (ViewId{ 1, 1 }));
    table.backend.sent[0](BackendReply{});
    CPPUNIT_ASSERT(table.slots.settled() == (ViewId{ 1, 2 }));
  }

  // Guards against two holders of one slot, and against a slot that stays
  // closed after the faults.
  void neverTwoHoldersOfOneSlot()
  {
    const std::vector<std::vector<int>> layouts = { { 2, 2, 2, 2 },
                                                    { 3, 3, 1, 1 },
                                                    { 5, 1, 1, 1 } };
    int moves = 0;
    long usable = 0;
    // These found faults of earlier versions: a holder of a skipped view, a
    // quorum of another list, settled reports under newer views; 35 shows a
    // lease from one peer.
    std::vector<std::uint32_t> seeds{ 1081, 1429, 1459, 2176, 35 };
    std::uint32_t first = 1;
    std::uint32_t last = 26;
    // For a search by hand: TOUCANRIDGE_SEEDS="FIRST LAST".
    if (const char* range = std::getenv("TOUCANRIDGE_SEEDS")) {
      seeds.clear();
      std::istringstream(range) >> first >> last;
    }
    for (std::uint32_t seed = first; seed <= last; ++seed) {
      seeds.push_back(seed);
    }
    for (const std::uint32_t seed : seeds) {
      Fleet fleet(seed, layouts[seed % layouts.size()]);
      const std::string violation = fleet.run();
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + violation,
                             violation.empty());
      moves += fleet.moves;
      usable += fleet.usable;
    }
    const auto runs = static_cast<long>(seeds.size());
    std::cout << "property: " << runs << " seeds, " << moves
              << " changes of holder, "
              << 100 * usable / (runs * Fleet::kSteps * 12)
              << "% of slots usable over all steps\n";
    // A generator that moves few slots would prove little.
    CPPUNIT_ASSERT(moves > 20 * runs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RightsTest);
