#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>

#include "quarantine_p.h"
#include "query_engine_p.h"
#include "request_losses_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Delivers items to the peer node immediately.
struct FakeBroadcast final : public BroadcastI
{
  void publish(BroadcastKind aKind, std::string aItem) override
  {
    CPPUNIT_ASSERT(aItem.size() <= kMaxBroadcastBytes);
    items.push_back(aItem);
    if (peer != nullptr) {
      peer->receive(aKind, aItem);
    }
  }
  void subscribe(BroadcastKind aKind, OnItem aOnItem) override
  {
    receivers[aKind] = std::move(aOnItem);
  }
  void setState(BroadcastKind, std::function<std::string()> aNext) override
  {
    state = std::move(aNext);
  }
  void onStateChanged() override { ++stateChanges; }
  void receive(BroadcastKind aKind, const std::string& aItem)
  {
    receivers.at(aKind)("h1", aItem);
  }
  /// One datagram reaches the other node.
  void sendStateTo(FakeBroadcast& aOther) const
  {
    const std::string payload = state();
    CPPUNIT_ASSERT(payload.size() <= kMaxBroadcastBytes);
    aOther.receive(BroadcastKind::Quarantine, payload);
  }
  std::vector<std::string> items;
  std::map<BroadcastKind, OnItem> receivers;
  std::function<std::string()> state;
  int stateChanges = 0;
  FakeBroadcast* peer = nullptr;
};

/// One host of a fleet.
struct FakeHost
{
  FakeHost(const ClockI& aClock,
           const std::string& aName,
           const std::vector<std::string>& aHosts)
    : quarantine(aClock, &broadcast, { 3, 2 })
  {
    quarantine.setHosts(aName, aHosts, true);
  }
  FakeBroadcast broadcast;
  Quarantine quarantine;
};

struct FakeSender final : public SubRequestSenderI
{
  void send(const Host&, SubBatch aBatch) override
  {
    batches.push_back(std::move(aBatch));
  }
  void cancel(const Host&, const Cancel&) override { ++cancels; }
  std::vector<SubBatch> batches;
  int cancels = 0;
};

constexpr const char* kRules =
  "data-centre dc in # asked by A : test\n"
  "service app/1 servers 127.0.0.1:1,127.0.0.2:1 slots 2 connections 8 "
  "connect-cost 1ms cold-slots 1 # asked by A : test\n"
  "service app/2 servers 127.0.0.3:1,127.0.0.4:1 slots 2 connections 8 "
  "connect-cost 1ms cold-slots 1 # asked by A : test\n"
  "snapshot app 7 services 1..2 # asked by A : test\n"
  "class desk application app deadline 900ms priority 3 wait coverage "
  "idempotent yes fan-out all # asked by A : test\n"
  "class ship application app deadline 900ms priority 3 wait coverage "
  "idempotent no fan-out one # asked by A : test\n";

} // namespace

class QuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(blocksAfterTwoLosses);
  CPPUNIT_TEST(countsOneLossOnce);
  CPPUNIT_TEST(releasesHarmlessRequestSoon);
  CPPUNIT_TEST(quarantinesLongerAfterRepeatedLoss);
  CPPUNIT_TEST(ignoresAnswersOfOtherServices);
  CPPUNIT_TEST(broadcastsAndLifts);
  CPPUNIT_TEST(staysBounded);
  CPPUNIT_TEST(queryStopsAtSecondStrike);
  CPPUNIT_TEST(queryIgnoresOtherFailures);
  CPPUNIT_TEST(queryNeedsTicket);
  CPPUNIT_TEST(oneAttemptOfManyLossesIsNoQuarantine);
  CPPUNIT_TEST(answeredRequestLeavesNoStrikes);
  CPPUNIT_TEST(startedHostKnowsQuarantinedRequests);
  CPPUNIT_TEST(oneHostTriesAfterQuarantine);
  CPPUNIT_TEST(trialWithoutResultIsRepeatedLater);
  CPPUNIT_TEST(answerReleasesOnAllHosts);
  CPPUNIT_TEST(oneCrashOfManyAttemptsIsNoQuarantine);
  CPPUNIT_TEST(fullTableKeepsQuarantinedRequests);
  CPPUNIT_TEST(staleRecordsChangeNothing);
  CPPUNIT_TEST(uninformedHostStartsNoTrial);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that is let through after it crashed two servers,
  // or the same server twice.
  void blocksAfterTwoLosses()
  {
    CPPUNIT_ASSERT(!recordLoss(1, "a", "app/1"));
    CPPUNIT_ASSERT(!m_quarantine.blocks(1));
    CPPUNIT_ASSERT(recordLoss(1, "b", "app/1"));
    CPPUNIT_ASSERT(m_quarantine.blocks(1));
    CPPUNIT_ASSERT(!m_quarantine.blocks(2));
    // A service with one server, which is lost again after its restart.
    CPPUNIT_ASSERT(!recordLoss(3, "c", "app/1"));
    m_unixMs += 4000;
    CPPUNIT_ASSERT(recordLoss(3, "c", "app/1"));
  }

  // Guards against a popular request that is quarantined after a single loss
  // because several queries with it were running on the lost server.
  void countsOneLossOnce()
  {
    for (int i = 0; i < 5; ++i) {
      m_unixMs += 100;
      CPPUNIT_ASSERT(!recordLoss(1, "a", "app/1"));
    }
  }

  // Guards against a harmless request that stays blocked because it was running
  // on several servers that another request crashed.
  void releasesHarmlessRequestSoon()
  {
    recordLoss(1, "a", "app/1");
    CPPUNIT_ASSERT(recordLoss(1, "b", "app/2"));
    m_clock.advance(Quarantine::kFirstQuarantine);
    CPPUNIT_ASSERT(!m_quarantine.blocks(1));
    m_quarantine.clearStrikes(1, "app/1");
    m_quarantine.clearStrikes(1, "app/2");
    CPPUNIT_ASSERT(m_quarantine.status().empty());
    CPPUNIT_ASSERT(!recordLoss(1, "c", "app/1"));
  }

  // Guards against a request that crashes servers and is quarantined only
  // briefly each time.
  void quarantinesLongerAfterRepeatedLoss()
  {
    recordLoss(1, "a", "app/1");
    recordLoss(1, "b", "app/1");
    m_clock.advance(Quarantine::kFirstQuarantine);
    CPPUNIT_ASSERT(!m_quarantine.blocks(1));
    m_unixMs += 10000;
    CPPUNIT_ASSERT(recordLoss(1, "a", "app/1"));
    m_clock.advance(minutes(9));
    CPPUNIT_ASSERT(m_quarantine.blocks(1));
    m_clock.advance(minutes(1));
    CPPUNIT_ASSERT(!m_quarantine.blocks(1));
  }

  // Guards against strikes that are cleared by answers of other services: a
  // request may crash the servers of only one of the services it needs.
  void ignoresAnswersOfOtherServices()
  {
    recordLoss(1, "a", "app/1");
    m_quarantine.clearStrikes(1, "app/2");
    CPPUNIT_ASSERT(recordLoss(1, "b", "app/1"));
    // An answer from another server of the same service clears the strike.
    recordLoss(2, "a", "app/1");
    m_quarantine.clearStrikes(2, "app/1");
    CPPUNIT_ASSERT(!recordLoss(2, "b", "app/1"));
  }

  // Guards against a quarantine that only one node enforces because strikes are
  // not broadcast, and against one that operators can't lift.
  void broadcastsAndLifts()
  {
    m_broadcast.peer = &m_peerBroadcast;
    recordLoss(0x1f2e3d4c5b6a7988, "a", "app/1");
    recordLoss(0x1f2e3d4c5b6a7988, "b", "app/1");
    CPPUNIT_ASSERT(m_peerQuarantine.blocks(0x1f2e3d4c5b6a7988));
    m_peerBroadcast.receive(BroadcastKind::Strike, "garbage");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_peerQuarantine.status().size());
    CPPUNIT_ASSERT(m_peerQuarantine.status()[0].blocked);
    QuarantineLiftRule lift;
    lift.fingerprint = 0x1f2e3d4c5b6a7988;
    m_peerQuarantine.setLifts({ lift });
    CPPUNIT_ASSERT(!m_peerQuarantine.blocks(0x1f2e3d4c5b6a7988));
    CPPUNIT_ASSERT(m_peerQuarantine.status()[0].lifted);
    m_peerQuarantine.setLifts({});
    CPPUNIT_ASSERT(m_peerQuarantine.blocks(0x1f2e3d4c5b6a7988));
  }

  // Guards against memory use that grows with the number of requests that have
  // strikes.
  void staysBounded()
  {
    for (std::uint64_t i = 0; i < 5000; ++i) {
      m_clock.advance(milliseconds(1));
      recordLoss(i, "a", "app/1");
    }
    CPPUNIT_ASSERT_EQUAL(Quarantine::kMaxEntries, m_quarantine.status().size());
    m_clock.advance(minutes(10));
    recordLoss(1, "a", "app/1");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_quarantine.status().size());
  }

  // Guards against retries of a request after a query lost its second server,
  // and against running the request when the caller sends it again.
  void queryStopsAtSecondStrike()
  {
    makeEngine();
    submit("desk");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), itemsSent());
    reply(0, SubStatus::Lost, Errc::Unreachable);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), itemsSent());
    reply(1, SubStatus::Lost, Errc::Unreachable);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), itemsSent());
    CPPUNIT_ASSERT(m_answer);
    CPPUNIT_ASSERT(Outcome::Unknown == m_answer->outcome);
    CPPUNIT_ASSERT_EQUAL(
      std::string("request is quarantined; lacking app/1, app/2"),
      m_answer->reason);
    submit("desk");
    CPPUNIT_ASSERT(Outcome::NotRun == m_answer->outcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), itemsSent());
  }

  // Guards against strikes for failures that are not the loss of a server: lost
  // links between nodes, timeouts, malformed replies and overload.
  void queryIgnoresOtherFailures()
  {
    makeEngine();
    submit("desk");
    reply(0, SubStatus::TimedOut, Errc::TimedOut);
    reply(1, SubStatus::Lost, Errc::BadMessage);
    reply(2, SubStatus::NotRun, Errc::Overloaded);
    m_engine->onLinkLost("h1", {});
    CPPUNIT_ASSERT(m_quarantine.status().empty());
  }

  // Guards against running a non-idempotent query without a ticket: if the
  // caller sent it twice, it would run twice.
  void queryNeedsTicket()
  {
    makeEngine();
    submit("ship");
    CPPUNIT_ASSERT(m_answer);
    CPPUNIT_ASSERT(Outcome::NotRun == m_answer->outcome);
    CPPUNIT_ASSERT_EQUAL(std::string("ticket required"), m_answer->reason);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), itemsSent());
  }

private:
  bool recordLoss(std::uint64_t aFingerprint,
                  const char* aServer,
                  const char* aService)
  {
    return m_quarantine.recordStrike(
      { aFingerprint, strikeHash(aServer), strikeHash(aService), m_unixMs });
  }

  void makeEngine()
  {
    const auto parsed = parseRules(kRules);
    CPPUNIT_ASSERT(parsed.rules);
    HostList hosts;
    hosts.revision = 1;
    hosts.hosts.push_back({ "h1", "dc", "127.62.3.1", 1, 2 });
    m_views.set(makeView(1, parsed.rules, hosts));
    m_chooser =
      std::make_unique<SlotChooser>(1, [](const std::string&) { return true; });
    m_engine = std::make_unique<QueryEngine>(
      m_context, m_clock, m_views, m_sender, *m_chooser, "h1", 1);
    m_engine->setQuarantine(&m_quarantine);
  }

  void submit(const char* aClass)
  {
    m_answer.reset();
    QueryRequest request;
    request.queryClass = aClass;
    request.body = "crash!";
    m_engine->submit(request, [this](QueryAnswer aAnswer) {
      m_answer = std::make_unique<QueryAnswer>(std::move(aAnswer));
    });
  }

  std::size_t itemsSent() const
  {
    std::size_t count = 0;
    for (const SubBatch& batch : m_sender.batches) {
      count += batch.items.size();
    }
    return count;
  }

  /// Replies to one sub-request.
  /// @param[in] aNumber index of the sub-request in the order of sending
  void reply(std::size_t aNumber, SubStatus aStatus, Errc aError)
  {
    for (const SubBatch& batch : m_sender.batches) {
      if (aNumber < batch.items.size()) {
        SubReply made;
        made.query = batch.query;
        made.part = batch.items[aNumber].part;
        made.attempt = batch.items[aNumber].attempt;
        made.status = aStatus;
        made.error = static_cast<std::int32_t>(aError);
        m_engine->onReply("h1", made);
        return;
      }
      aNumber -= batch.items.size();
    }
    CPPUNIT_FAIL("no such sub-request");
  }

  ManualClock m_clock;
  std::int64_t m_unixMs = 1'000'000;
  FakeBroadcast m_broadcast;
  FakeBroadcast m_peerBroadcast;
  Quarantine m_quarantine{ m_clock, &m_broadcast };
  Quarantine m_peerQuarantine{ m_clock, &m_peerBroadcast };
  boost::asio::io_context m_context;
  ViewHolder m_views;
  FakeSender m_sender;
  std::unique_ptr<SlotChooser> m_chooser;
  std::unique_ptr<QueryEngine> m_engine;
  std::unique_ptr<QueryAnswer> m_answer;

  // Guards against the refusal of a request whose servers all lost their
  // network at once, and of one that crashes servers being sent on for ever.
  void oneAttemptOfManyLossesIsNoQuarantine()
  {
    ManualClock clock;
    Quarantine quarantine(clock, nullptr, { 3, 2 });
    loseServers(quarantine, 1, 20);
    CPPUNIT_ASSERT(!quarantine.blocks(kRequest));
    loseServers(quarantine, 2, 1, 20);
    CPPUNIT_ASSERT(quarantine.blocks(kRequest));
    clock.advance(Quarantine::kFirstQuarantine);
    CPPUNIT_ASSERT(!quarantine.blocks(kRequest));
    loseServers(quarantine, 3, 1, 21);
    clock.advance(minutes(1));
    CPPUNIT_ASSERT(quarantine.blocks(kRequest));
  }

  // Guards against strikes for a request that ran beside the one that crashed
  // its servers: other servers answer it.
  void answeredRequestLeavesNoStrikes()
  {
    ManualClock clock;
    Quarantine quarantine(clock, nullptr, { 3, 2 });
    loseServers(quarantine, 1, 3);
    {
      RequestLosses losses(quarantine, kRequest, 2);
      losses.onAnswered();
      losses.onLost("s1", "service");
    }
    CPPUNIT_ASSERT(!quarantine.hasStrikes(kRequest));
  }

  // Guards against a host that lets a quarantined request through because it
  // started, or was cut off, after the strikes had been broadcast.
  void startedHostKnowsQuarantinedRequests()
  {
    makeFleet(2);
    quarantineOn(0);
    CPPUNIT_ASSERT(!blocks(1));
    m_fleet[0]->broadcast.sendStateTo(m_fleet[1]->broadcast);
    CPPUNIT_ASSERT(blocks(1));
    CPPUNIT_ASSERT(QuarantineVerdict::Refuse ==
                   m_fleet[1]->quarantine.admit(kRequest));
    // It knows that the request is suspected, so that one loss is enough.
    m_fleetClock.advance(Quarantine::kFirstQuarantine);
    CPPUNIT_ASSERT(!blocks(1));
    loseServers(m_fleet[1]->quarantine, 9, 1, 30);
    m_fleetClock.advance(minutes(9));
    CPPUNIT_ASSERT(blocks(1));
  }

  // Guards against trials by all hosts in the moment in which a quarantine ends
  // at all of them.
  void oneHostTriesAfterQuarantine()
  {
    makeFleet(8);
    quarantineOn(0);
    exchange();
    m_fleetClock.advance(Quarantine::kFirstQuarantine);
    for (int second = 0; second < 40; ++second) {
      setHosts();
      int trials = 0;
      for (auto& host : m_fleet) {
        // No host hears of a trial in the same moment.
        trials +=
          host->quarantine.admit(kRequest) == QuarantineVerdict::Try ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(second == 0 ? 1 : 0, trials);
      exchange();
      m_fleetClock.advance(seconds(second == 0 ? 0 : 1));
      if (second == 0) {
        const auto trier =
          std::find_if(m_fleet.begin(), m_fleet.end(), [](const auto& aHost) {
            return !aHost->quarantine.blocks(kRequest) &&
                   aHost->quarantine.hasStrikes(kRequest);
          });
        loseServers((*trier)->quarantine, 8, 1, 30);
        exchange();
      }
    }
  }

  // Guards against trials in quick succession while their results are lost.
  void trialWithoutResultIsRepeatedLater()
  {
    makeFleet(3);
    quarantineOn(0);
    exchange();
    int trials = 0;
    for (int second = 0; second < 120; ++second) {
      setHosts();
      for (auto& host : m_fleet) {
        trials +=
          host->quarantine.admit(kRequest) == QuarantineVerdict::Try ? 1 : 0;
      }
      exchange();
      m_fleetClock.advance(seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(3, trials); // after 10, 20 and 40 s
  }

  // Guards against a harmless request that other hosts refuse after one of them
  // has seen it answered, and against records that bring the quarantine back.
  void answerReleasesOnAllHosts()
  {
    makeFleet(3);
    quarantineOn(0);
    exchange();
    const std::string record = m_fleet[2]->broadcast.state();
    m_fleet[1]->quarantine.clearStrikes(kRequest);
    exchange();
    m_fleet[0]->broadcast.receive(BroadcastKind::Quarantine, record);
    for (auto& host : m_fleet) {
      CPPUNIT_ASSERT(QuarantineVerdict::Run ==
                     host->quarantine.admit(kRequest));
      CPPUNIT_ASSERT(host->quarantine.status().empty());
    }
    // Without a quarantine, the answer travels as a broadcast.
    m_fleet[0]->broadcast.peer = &m_fleet[1]->broadcast;
    loseServers(m_fleet[0]->quarantine, 5, 1);
    CPPUNIT_ASSERT(m_fleet[1]->quarantine.hasStrikes(kRequest));
    m_fleet[0]->quarantine.clearStrikes(kRequest);
    CPPUNIT_ASSERT(!m_fleet[1]->quarantine.hasStrikes(kRequest));
  }

  // Guards against the quarantine of a popular request of which several
  // attempts ran on one server as it crashed.
  void oneCrashOfManyAttemptsIsNoQuarantine()
  {
    makeFleet(1);
    for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
      loseServers(m_fleet[0]->quarantine, attempt, 1);
    }
    CPPUNIT_ASSERT(!blocks(0));
  }

  // Guards against a quarantine that ends because many other requests have
  // strikes.
  void fullTableKeepsQuarantinedRequests()
  {
    makeFleet(1);
    quarantineOn(0);
    for (std::uint64_t i = 0; i < 2000; ++i) {
      m_fleetClock.advance(milliseconds(1));
      m_fleet[0]->quarantine.recordStrike({ 1000 + i, i, 1, m_unixMs, 1 });
    }
    CPPUNIT_ASSERT(blocks(0));
    CPPUNIT_ASSERT_EQUAL(Quarantine::kMaxEntries,
                         m_fleet[0]->quarantine.status().size());
  }

  // Guards against records that are extended each time they pass between hosts,
  // and against malformed ones.
  void staleRecordsChangeNothing()
  {
    makeFleet(2);
    quarantineOn(0);
    for (int i = 0; i < 100; ++i) {
      m_fleetClock.advance(milliseconds(200));
      exchange();
    }
    CPPUNIT_ASSERT(!blocks(0) && !blocks(1));
    CPPUNIT_ASSERT(m_fleet[1]->broadcast.stateChanges <= 1);
    m_fleet[1]->broadcast.receive(BroadcastKind::Quarantine, "malformed");
    m_fleet[1]->broadcast.receive(
      BroadcastKind::Quarantine,
      std::string(QuarantineRecord::kBytes, '\xff')); // no such state
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         m_fleet[1]->quarantine.status().size());
  }

  // Guards against a trial by a host that has just started or was paused and
  // may not have heard of another host's.
  void uninformedHostStartsNoTrial()
  {
    makeFleet(1);
    quarantineOn(0);
    m_fleetClock.advance(Quarantine::kFirstQuarantine);
    m_fleet[0]->quarantine.setHosts("host-0", { "host-0" }, false);
    CPPUNIT_ASSERT(QuarantineVerdict::Refuse ==
                   m_fleet[0]->quarantine.admit(kRequest));
    setHosts();
    m_fleetClock.advance(seconds(8)); // paused: its list of hosts is old
    CPPUNIT_ASSERT(QuarantineVerdict::Refuse ==
                   m_fleet[0]->quarantine.admit(kRequest));
    setHosts();
    CPPUNIT_ASSERT(QuarantineVerdict::Try ==
                   m_fleet[0]->quarantine.admit(kRequest));
  }

private:
  void makeFleet(int aHosts)
  {
    m_fleet.clear();
    m_names.clear();
    for (int i = 0; i < aHosts; ++i) {
      m_names.push_back("host-" + std::to_string(i));
    }
    for (const std::string& name : m_names) {
      m_fleet.push_back(
        std::make_unique<FakeHost>(m_fleetClock, name, m_names));
    }
  }
  void setHosts()
  {
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      m_fleet[i]->quarantine.setHosts(m_names[i], m_names, true);
    }
  }
  void quarantineOn(std::size_t aHost)
  {
    loseServers(m_fleet[aHost]->quarantine, 1, 3);
    loseServers(m_fleet[aHost]->quarantine, 2, 4);
    CPPUNIT_ASSERT(blocks(aHost));
  }
  bool blocks(std::size_t aHost)
  {
    return m_fleet[aHost]->quarantine.blocks(kRequest);
  }
  /// Each host's next datagram reaches all others.
  void exchange()
  {
    for (auto& from : m_fleet) {
      for (auto& to : m_fleet) {
        if (from != to) {
          from->broadcast.sendStateTo(to->broadcast);
        }
      }
    }
  }

  ManualClock m_fleetClock;
  std::vector<std::string> m_names;
  std::vector<std::unique_ptr<FakeHost>> m_fleet;

  static constexpr std::uint64_t kRequest = 42;

  static void loseServers(Quarantine& aQuarantine,
                          std::uint64_t aAttempt,
                          int aServers,
                          int aFirst = 0)
  {
    RequestLosses losses(aQuarantine, kRequest, aAttempt);
    for (int i = aFirst; i < aFirst + aServers; ++i) {
      losses.onLost("s" + std::to_string(i), "service");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
