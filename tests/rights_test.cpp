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
constexpr milliseconds kHandoverWait = 2 * kLease + kDeadline + kHandoverMargin;
constexpr milliseconds kQuietPeriod = kLease + kDeadline + kHandoverMargin;

/// Rules with two services of six slots each and, optionally, a data centre out
/// of service.
std::shared_ptr<const RuleSet>
testRules(const std::vector<std::string>& aDataCentres,
          const std::string& aOutOfService = {})
{
  std::string text;
  const std::string requester = " # asked by X : test\n";
  for (const std::string& name : aDataCentres) {
    text.append("data-centre ").append(name);
    text.append(name == aOutOfService ? " out" : " in").append(requester);
  }
  for (const char* shard : { "1", "2" }) {
    text += std::string("service s/") + shard + " servers 127.0.0." + shard +
            ":80,127.0.1." + shard +
            ":80 slots 3 connections 9 connect-cost 1ms cold-slots 1" +
            requester;
  }
  text += "snapshot s 1 services 1..2" + requester;
  text += "class c application s deadline 300ms priority 1 wait coverage "
          "idempotent yes fan-out all" +
          requester + "rights lease 1s" + requester;
  const RulesResult result = parseRules(text);
  CPPUNIT_ASSERT_MESSAGE(result.rules ? "" : result.faults[0].message,
                         result.rules != nullptr);
  return result.rules;
}

/// @param[in] aNames host names; the first letter names the data centre
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

/// The rights of one node, driven by acknowledgements that the test makes.
struct NodeFixture
{
  ManualClock clock;
  SendingRights rights{ clock, "a1" };
  std::uint64_t incarnation = 1;
  std::set<std::string> withoutLease; ///< peers that hold no lease

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
  /// Advances the clock in steps of 100 ms, with an acknowledgement from each
  /// host in each step.
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

/// Number of times that the slot table checks rights to send a request: whether
/// any slot may be used, for the chosen slot, and right before the send.
constexpr int kRightsChecksPerSend = 3;

struct FakeRights final : public RightsI
{
  mutable int allowedCalls = 0; ///< number of calls to answer with true
  bool mayUse(const SlotKey&) const override { return allowedCalls-- > 0; }
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

/// Simulates the nodes of several data centres, with faults drawn from a seed:
/// partitions, lost links, pauses, restarts and stale control data.
class Fleet
{
public:
  Fleet(std::uint32_t aSeed, const std::vector<int>& aSizes)
    : m_random(aSeed)
  {
    for (std::size_t i = 0; i < aSizes.size(); ++i) {
      m_dataCentres.emplace_back(1, static_cast<char>('a' + i));
      for (int n = 1; n <= aSizes[i]; ++n) {
        m_names.push_back(m_dataCentres.back() + std::to_string(n));
      }
    }
    m_rules = { testRules(m_dataCentres) };
    m_lists = { testHosts(1, m_names) };
    m_nodes.resize(m_names.size());
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      restart(i);
    }
    m_sizes = aSizes;
  }

  /// @returns a description of the first violation, or an empty text
  std::string run()
  {
    for (m_step = 0; m_step < kSteps; ++m_step) {
      m_faultsEnded = m_step >= kFaultSteps;
      m_clock.advance(milliseconds(50));
      if (m_faultsEnded) {
        m_cutLinks.clear();
      } else {
        injectFaults();
      }
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_faultsEnded || m_nodes[i].pausedUntil <= m_clock.now()) {
          runNode(i);
        }
      }
      std::string violation = findViolation();
      if (!violation.empty()) {
        return violation;
      }
    }
    return {};
  }

  static constexpr int kFaultSteps = 6000;
  static constexpr int kSteps = kFaultSteps + 400;
  int holderChanges = 0;    ///< times a slot became usable at another node
  long usableSlotSteps = 0; ///< slots usable or in use, summed over steps

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
  std::size_t randomIndex(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(m_random);
  }
  TimePoint randomTimeWithin(int aMaxMs)
  {
    return m_clock.now() + milliseconds(randomIndex(aMaxMs) + 1);
  }

  void restart(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    const TimePoint staleUntil = node.staleUntil;
    const std::uint64_t incarnation = node.incarnation + 1;
    node = Node{};
    node.rights = std::make_unique<SendingRights>(m_clock, m_names[aNode]);
    node.incarnation = incarnation;
    node.startedAt = m_clock.now();
    node.staleUntil = staleUntil;
    // The platform may serve stale data, so the first list read after a start
    // can be an old one.
    adopt(node, randomIndex(m_rules.size()), randomIndex(m_lists.size()));
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

  void injectFaults()
  {
    const TimePoint now = m_clock.now();
    if (now >= m_nextPartition) {
      startPartition();
      m_nextPartition = now + milliseconds(6000 + randomIndex(12000));
    }
    if (now >= m_nextChange) {
      m_nextChange = now + milliseconds(300 + randomIndex(10000));
      if (chance(0.4)) {
        m_rules.push_back(testRules(m_dataCentres,
                                    chance(0.6) ? m_dataCentres[randomIndex(4)]
                                                : std::string()));
      } else {
        publishList();
      }
    }
    const std::size_t i = randomIndex(m_nodes.size());
    if (chance(0.005)) {
      m_nodes[i].pausedUntil = randomTimeWithin(6000);
    }
    if (chance(0.002)) {
      restart(i);
    }
    if (chance(0.004)) {
      m_cutLinks[{ m_names[i], m_names[randomIndex(m_names.size())] }] =
        randomTimeWithin(8000);
    }
  }

  /// Partitions the network between part of one or two data centres, or all of
  /// them, and the rest. One side reads stale rules and a stale host list; some
  /// hosts pause or restart.
  void startPartition()
  {
    const char dataCentre = m_dataCentres[randomIndex(4)][0];
    const char otherDataCentre =
      chance(0.3) ? m_dataCentres[randomIndex(4)][0] : dataCentre;
    const bool wholeDataCentre = chance(0.4);
    const bool insideReadsStale = chance(0.6);
    const TimePoint until = randomTimeWithin(9000) + milliseconds(4000);
    std::vector<bool> inside;
    for (const std::string& name : m_names) {
      inside.push_back((name[0] == dataCentre || name[0] == otherDataCentre) &&
                       (wholeDataCentre || chance(0.5)));
    }
    m_nextChange = randomTimeWithin(1500);
    for (std::size_t i = 0; i < m_names.size(); ++i) {
      for (std::size_t j = 0; j < m_names.size(); ++j) {
        if (inside[i] != inside[j]) {
          m_cutLinks[{ m_names[i], m_names[j] }] = until;
        }
      }
      if (inside[i] == insideReadsStale) {
        m_nodes[i].staleUntil = until;
      }
      if (chance(0.1)) {
        m_nodes[i].pausedUntil = randomTimeWithin(6000);
      }
      if (chance(0.1)) {
        restart(i);
      }
    }
  }

  /// Publishes a host list. Any two lists of a data centre differ by less than
  /// a quorum: at most one host of three or more is missing, and of two hosts
  /// only the second.
  void publishList()
  {
    std::vector<std::string> names = m_names;
    for (std::size_t i = 0; i < m_dataCentres.size(); ++i) {
      if (m_sizes[i] > 1 && chance(0.5)) {
        const std::size_t missing =
          m_sizes[i] == 2 ? 2 : randomIndex(m_sizes[i]) + 1;
        names.erase(std::find(names.begin(),
                              names.end(),
                              m_dataCentres[i] + std::to_string(missing)));
      }
    }
    m_lists.push_back(testHosts(m_lists.size() + 1, names));
  }

  bool isCut(const std::string& aFrom, const std::string& aTo) const
  {
    const auto cut = [this](const std::string& aSource,
                            const std::string& aTarget) {
      const auto found = m_cutLinks.find({ aSource, aTarget });
      return found != m_cutLinks.end() && found->second > m_clock.now();
    };
    return cut(aFrom, aTo) || cut(aTo, aFrom);
  }

  void sendMessage(std::size_t aFrom, std::size_t aTo, Message aMessage)
  {
    if (!isCut(m_names[aFrom], m_names[aTo]) &&
        (m_faultsEnded || !chance(0.05))) {
      aMessage.from = aFrom;
      aMessage.due = m_clock.now() + milliseconds(randomIndex(150));
      m_nodes[aTo].inbox.push_back(aMessage);
    }
  }

  PeerState stateOf(std::size_t aNode) const
  {
    const Node& node = m_nodes[aNode];
    PeerState state{
      m_names[aNode], node.incarnation, node.view->id, {}, node.rights->leased()
    };
    if (m_clock.now() >= node.startedAt + kQuietPeriod) {
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

  void runNode(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    // After a pause, a node sends before it processes the messages that arrived
    // during the pause.
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
        // Gossip propagates views, sometimes with a delay.
        if (m_faultsEnded || chance(0.1)) {
          adopt(
            node, message.state.view.rules - 1, message.state.view.hosts - 1);
        }
      } else {
        sendMessage(
          aNode, message.from, { 0, true, {}, message.sentAt, stateOf(aNode) });
      }
    }
    if (m_faultsEnded || node.staleUntil <= m_clock.now()) {
      if (m_faultsEnded || chance(0.1)) {
        adopt(node, m_rules.size() - 1, m_lists.size() - 1);
      }
    }
    node.rights->tick();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (i != aNode && m_step % 4 == 0) {
        sendMessage(aNode, i, { 0, false, {}, m_clock.now(), {} });
      }
    }
  }

  std::string findViolation()
  {
    m_running.erase(std::remove_if(m_running.begin(),
                                   m_running.end(),
                                   [&](const Running& aRunning) {
                                     return aRunning.until <= m_clock.now();
                                   }),
                    m_running.end());
    std::map<SlotKey, std::set<std::size_t>> users;
    for (const Running& running : m_running) {
      users[running.key].insert(running.node);
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      // Paused nodes are included, as they may resume and send at any moment.
      for (const auto& entry : m_nodes[i].holders) {
        if (m_nodes[i].rights->mayUse(entry.first)) {
          users[entry.first].insert(i);
          const auto last = m_lastUser.emplace(entry.first, i);
          holderChanges += last.first->second != i ? 1 : 0;
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
    usableSlotSteps += static_cast<long>(users.size());
    if (m_step == kSteps - 1 && users.size() != 12) {
      return std::to_string(users.size()) + " of 12 slots usable" + at;
    }
    return {};
  }

  std::mt19937 m_random;
  ManualClock m_clock;
  std::vector<std::string> m_dataCentres;
  std::vector<std::string> m_names;
  std::vector<int> m_sizes;
  std::vector<std::shared_ptr<const RuleSet>> m_rules;
  std::vector<HostList> m_lists;
  std::vector<Node> m_nodes;
  std::vector<Running> m_running;
  std::map<std::pair<std::string, std::string>, TimePoint> m_cutLinks;
  std::map<SlotKey, std::size_t> m_lastUser;
  TimePoint m_nextPartition;
  TimePoint m_nextChange;
  int m_step = 0;
  bool m_faultsEnded = false;
};

/// A slot table with fake dependencies, under a view of one host.
struct SlotTableFixture
{
  ManualClock clock;
  ViewHolder views;
  FakeRights rights;
  FakeWarmth warmth;
  FakeBackend backend;
  SlotTable slots{ clock, views, rights, warmth, backend, "a1" };
  std::vector<SubReply> replies;

  SlotTableFixture() { views.set(testView(1, 1, { "a1" })); }
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

/// Adopts a view of three hosts and opens all slots of a1.
/// @returns that view, with the id {1, 1}
ViewPtr
openAllSlots(NodeFixture& aFixture)
{
  ViewPtr view = testView(1, 1, { "a1", "a2", "a3" });
  aFixture.rights.adopt(view);
  aFixture.run(kHandoverWait + milliseconds(200), { "a2" }, view);
  CPPUNIT_ASSERT(aFixture.held(*view) > 0);
  CPPUNIT_ASSERT_EQUAL(aFixture.held(*view), aFixture.usable(*view));
  return view;
}

} // namespace

class RightsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RightsTest);
  CPPUNIT_TEST(waitsForMajority);
  CPPUNIT_TEST(leaseIsDatedBySend);
  CPPUNIT_TEST(anotherViewDoesNotRenew);
  CPPUNIT_TEST(restartedPeerDoesNotVote);
  CPPUNIT_TEST(settledHolderEndsHandover);
  CPPUNIT_TEST(skippedViewPreventsEarlyHandover);
  CPPUNIT_TEST(severalViewsWaitForEachHolder);
  CPPUNIT_TEST(returningHolderWaitsForOthers);
  CPPUNIT_TEST(lapseUnderAnotherViewOrLongWaits);
  CPPUNIT_TEST(otherDataCentreMustAdoptView);
  CPPUNIT_TEST(onlyHostNeedsNoPeer);
  CPPUNIT_TEST(checksAgainBeforeSend);
  CPPUNIT_TEST(slotTableFollowsRights);
  CPPUNIT_TEST(settledWaitsForRequests);
  CPPUNIT_TEST(neverTwoHoldersOfOneSlot);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a lease granted by a minority, while the majority may vote
  // for another view, and against slots that open before the handover wait
  // ends.
  void waitsForMajority()
  {
    NodeFixture fixture;
    const ViewPtr view = testView(1, 1, { "a1", "a2", "a3", "a4", "a5" });
    fixture.rights.adopt(view);
    fixture.run(2 * kHandoverWait, { "a2" }, view);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*view));
    fixture.run(kHandoverWait - milliseconds(100), { "a2", "a3" }, view);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*view));
    fixture.run(milliseconds(200), { "a2", "a3" }, view);
    CPPUNIT_ASSERT(fixture.held(*view) > 0);
    CPPUNIT_ASSERT_EQUAL(fixture.held(*view), fixture.usable(*view));
  }

  // Guards against a lease dated by the arrival of an acknowledgement. A late
  // acknowledgement would extend it beyond the time for which the peer voted.
  void leaseIsDatedBySend()
  {
    NodeFixture fixture;
    const ViewPtr view = openAllSlots(fixture);
    const TimePoint sent = fixture.clock.now() + milliseconds(100);
    fixture.clock.advance(milliseconds(700));
    fixture.rights.onProbeAcked({ "a2", 1, view->id, view->id, view->id },
                                sent);
    fixture.clock.advance(milliseconds(399));
    CPPUNIT_ASSERT(fixture.usable(*view) > 0);
    fixture.clock.advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*view));
  }

  // Guards against a lease renewed by acknowledgements of another view. The
  // peers may already have adopted a newer view or may still have an older one,
  // and under either another node can hold the slots.
  void anotherViewDoesNotRenew()
  {
    for (const bool newer : { true, false }) {
      NodeFixture fixture;
      const ViewPtr view = openAllSlots(fixture);
      const ViewPtr next = testView(2, 1, { "a1", "a2", "a3" });
      if (!newer) {
        fixture.rights.adopt(next);
      }
      CPPUNIT_ASSERT(fixture.usable(*view) > 0);
      fixture.run(kLease, { "a2", "a3" }, newer ? next : view);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*view));
    }
  }

  // Guards against counting the vote of a restarted peer, which has lost the
  // record of its earlier votes and so may vote for two views.
  void restartedPeerDoesNotVote()
  {
    NodeFixture fixture;
    const ViewPtr view = testView(1, 1, { "a1", "a2" });
    fixture.rights.adopt(view);
    for (int i = 0; i < 100; ++i) {
      fixture.clock.advance(milliseconds(100));
      fixture.ack("a2", view, {});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*view));
  }

  // Guards against using a slot while its earlier holder may still send, and
  // against waiting on after the earlier holder has reported the view settled.
  void settledHolderEndsHandover()
  {
    NodeFixture fixture;
    const ViewPtr first = openAllSlots(fixture);
    const ViewPtr next = testView(1, 2, { "a1", "a3" });
    fixture.rights.adopt(next);
    const std::size_t kept = fixture.usable(*next);
    CPPUNIT_ASSERT(kept < fixture.held(*next));
    fixture.run(kHandoverWait - milliseconds(100), { "a3" }, next);
    CPPUNIT_ASSERT_EQUAL(kept, fixture.usable(*next));
    // Under a newer view the slot may have returned to the earlier holder.
    fixture.ack("a2", testView(1, 3, { "a1", "a2", "a3" }), { 1, 3 });
    CPPUNIT_ASSERT_EQUAL(kept, fixture.usable(*next));
    fixture.ack("a2", next, next->id);
    CPPUNIT_ASSERT_EQUAL(fixture.held(*next), fixture.usable(*next));
  }

  // Guards against a handover without the full wait after skipped revisions. A
  // node unknown to this one may hold the slot under a skipped view.
  void skippedViewPreventsEarlyHandover()
  {
    NodeFixture fixture;
    openAllSlots(fixture);
    const ViewPtr next = testView(1, 3, { "a1", "a3" });
    fixture.rights.adopt(next);
    const std::size_t kept = fixture.usable(*next);
    fixture.ack("a2", next, next->id);
    fixture.ack("a3", next, next->id);
    CPPUNIT_ASSERT_EQUAL(kept, fixture.usable(*next));
    fixture.run(kHandoverWait + milliseconds(100), { "a3" }, next);
    CPPUNIT_ASSERT_EQUAL(fixture.held(*next), fixture.usable(*next));
  }

  // Guards against waiting only for the last of several earlier holders. It may
  // never have used the slot, while the one before it is still sending.
  void severalViewsWaitForEachHolder()
  {
    NodeFixture fixture;
    const ViewPtr first = openAllSlots(fixture);
    const ViewPtr second = testView(1, 2, { "a1", "a3", "b1" });
    const ViewPtr third = testView(1, 3, { "a1", "b1" });
    fixture.rights.adopt(second);
    fixture.rights.adopt(third);
    fixture.ack("b1", third);
    fixture.ack("a3", third, third->id);
    CPPUNIT_ASSERT(fixture.usable(*third) < fixture.held(*third));
    fixture.ack("a2", third, third->id);
    CPPUNIT_ASSERT_EQUAL(fixture.held(*third), fixture.usable(*third));
  }

  // Guards against a slot that returns to this node and opens while the holders
  // in between may still send, and against this node waiting for itself.
  void returningHolderWaitsForOthers()
  {
    NodeFixture fixture;
    openAllSlots(fixture);
    fixture.rights.adopt(testView(1, 2, { "a2", "a3" }));
    const ViewPtr third = testView(1, 3, { "a1", "a2", "a3" });
    fixture.rights.adopt(third);
    fixture.ack("a2", third);
    fixture.ack("a3", third);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*third));
    fixture.ack("a2", third, third->id);
    fixture.ack("a3", third, third->id);
    CPPUNIT_ASSERT_EQUAL(fixture.held(*third), fixture.usable(*third));
  }

  // Guards against a holder that keeps its slots after a pause in which its
  // lease lapsed, although another node may have held them under a view in
  // between.
  void lapseUnderAnotherViewOrLongWaits()
  {
    NodeFixture fixture;
    const ViewPtr first = openAllSlots(fixture);
    fixture.clock.advance(kLease + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*first));
    fixture.ack("a2", first);
    CPPUNIT_ASSERT_EQUAL(fixture.held(*first), fixture.usable(*first));
    fixture.clock.advance(kLease + milliseconds(1));
    const ViewPtr next = testView(2, 1, { "a1", "a2", "a3" });
    fixture.rights.adopt(next);
    fixture.run(kHandoverWait - milliseconds(100), { "a2", "a3" }, next);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*next));
    fixture.run(milliseconds(200), { "a2", "a3" }, next);
    CPPUNIT_ASSERT_EQUAL(fixture.held(*next), fixture.usable(*next));
    // During a long lapse, a voter may have adopted a newer view, restarted and
    // read this view again.
    fixture.clock.advance(2 * kLease + milliseconds(1));
    fixture.ack("a2", next);
    fixture.ack("a3", next);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.usable(*next));
  }

  // Guards against opening slots of a data centre that the rules take out of
  // service while its hosts, partitioned from the rest, still send under the
  // older view.
  void otherDataCentreMustAdoptView()
  {
    NodeFixture fixture;
    const HostList hosts = testHosts(1, { "a1", "a2", "b1", "b2" });
    const ViewPtr first = makeView(1, testRules({ "a", "b" }), hosts);
    const ViewPtr next = makeView(2, testRules({ "a", "b" }, "b"), hosts);
    fixture.rights.adopt(first);
    fixture.run(kHandoverWait + milliseconds(200), { "a2", "b1", "b2" }, first);
    fixture.rights.adopt(next);
    fixture.withoutLease = { "b1" };
    fixture.run(2 * kHandoverWait, { "a2", "b1" }, next);
    const std::size_t kept = fixture.usable(*next);
    CPPUNIT_ASSERT(kept > 0 && kept < fixture.held(*next));
    fixture.withoutLease.clear();
    fixture.run(kHandoverWait + milliseconds(200), { "a2", "b1", "b2" }, next);
    CPPUNIT_ASSERT_EQUAL(fixture.held(*next), fixture.usable(*next));
  }

  // Guards against a lease that requires a peer when the list has only one
  // host, which could then never serve.
  void onlyHostNeedsNoPeer()
  {
    NodeFixture fixture;
    const ViewPtr view = testView(1, 1, { "a1" });
    fixture.rights.adopt(view);
    fixture.run(kHandoverWait + milliseconds(100), {}, view);
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), fixture.usable(*view));
  }

  // Guards against sending a request whose right expired in a pause between
  // taking it from the queue and the send.
  void checksAgainBeforeSend()
  {
    SlotTableFixture fixture;
    fixture.rights.allowedCalls = kRightsChecksPerSend - 1;
    fixture.submit(fixture.slots);
    CPPUNIT_ASSERT(fixture.backend.sent.empty());
    fixture.rights.allowedCalls = 0;
    fixture.clock.advance(milliseconds(200));
    fixture.slots.sweep();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.replies.size());
    CPPUNIT_ASSERT(fixture.replies[0].status == SubStatus::NotRun);
  }

  // Guards against a slot table that disregards the rights. Without them a
  // sub-request is answered as not run before its deadline; with them it is
  // sent.
  void slotTableFollowsRights()
  {
    SlotTableFixture fixture;
    SendingRights rights(fixture.clock, "a1");
    SlotTable slots(fixture.clock,
                    fixture.views,
                    rights,
                    fixture.warmth,
                    fixture.backend,
                    "a1");
    const ViewPtr view = testView(1, 1, { "a1", "b1" });
    rights.adopt(view);
    fixture.views.set(view);
    fixture.submit(slots);
    // The reply must precede the deadline, after which the entry node no longer
    // accepts it.
    fixture.clock.advance(milliseconds(175));
    slots.sweep();
    CPPUNIT_ASSERT(fixture.replies.at(0).status == SubStatus::NotRun);
    for (int i = 0; i < 40; ++i) {
      fixture.clock.advance(milliseconds(100));
      rights.onProbeAcked({ "b1", 1, view->id, view->id, view->id },
                          fixture.clock.now());
    }
    fixture.submit(slots);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.backend.sent.size());
  }

  // Guards against reporting a view as settled while a request under an older
  // view, of this process or of the previous one, may still run.
  void settledWaitsForRequests()
  {
    SlotTableFixture fixture;
    CPPUNIT_ASSERT(fixture.slots.settled() == ViewId{});
    fixture.clock.advance(kQuietPeriod);
    CPPUNIT_ASSERT(fixture.slots.settled() == (ViewId{ 1, 1 }));
    fixture.rights.allowedCalls = kRightsChecksPerSend;
    fixture.submit(fixture.slots);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.backend.sent.size());
    fixture.views.set(testView(1, 2, { "a1" }));
    CPPUNIT_ASSERT(fixture.slots.settled() == (ViewId{ 1, 1 }));
    fixture.backend.sent[0](BackendReply{});
    CPPUNIT_ASSERT(fixture.slots.settled() == (ViewId{ 1, 2 }));
  }

  // Guards against two nodes that may use one slot at the same time, and
  // against a slot that stays closed after the faults have ended.
  void neverTwoHoldersOfOneSlot()
  {
    const std::vector<std::vector<int>> layouts = { { 2, 2, 2, 2 },
                                                    { 3, 3, 1, 1 },
                                                    { 5, 1, 1, 1 } };
    int holderChanges = 0;
    long usableSlotSteps = 0;
    // These seeds exposed faults of earlier versions: a holder under a skipped
    // view, a quorum from another host list, settled reports under newer views.
    // Seed 35 exposes a lease granted by a single peer.
    std::vector<std::uint32_t> seeds{ 1081, 1429, 1459, 2176, 35 };
    std::uint32_t first = 1;
    std::uint32_t last = 26;
    // For a manual search, TOUCANRIDGE_SEEDS="FIRST LAST" replaces all seeds by
    // a range.
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
      holderChanges += fleet.holderChanges;
      usableSlotSteps += fleet.usableSlotSteps;
    }
    const auto runs = static_cast<long>(seeds.size());
    std::cout << "property: " << runs << " seeds, " << holderChanges
              << " changes of holder, "
              << 100 * usableSlotSteps / (runs * Fleet::kSteps * 12)
              << "% of slots usable over all steps\n";
    // With few changes of holder, the test would exercise few handovers.
    CPPUNIT_ASSERT(holderChanges > 20 * runs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RightsTest);
