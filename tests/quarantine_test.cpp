#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>

#include "quarantine_p.h"
#include "query_engine_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Delivers items to a second node at once.
struct FakeBroadcast final : public BroadcastI
{
  void publish(BroadcastKind, std::string aItem) override
  {
    CPPUNIT_ASSERT(aItem.size() <= kMaxBroadcastBytes);
    items.push_back(aItem);
    if (other != nullptr && other->receive) {
      other->receive("h1", aItem);
    }
  }
  void subscribe(BroadcastKind, OnItem aOnItem) override
  {
    receive = std::move(aOnItem);
  }
  std::vector<std::string> items;
  OnItem receive;
  FakeBroadcast* other = nullptr;
};

struct FakeSender final : public SubSenderI
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
  CPPUNIT_TEST(freesBystanderSoon);
  CPPUNIT_TEST(keepsPoisonLong);
  CPPUNIT_TEST(ignoresAnswersOfOtherServices);
  CPPUNIT_TEST(spreadsAndLifts);
  CPPUNIT_TEST(staysBounded);
  CPPUNIT_TEST(queryStopsAtSecondStrike);
  CPPUNIT_TEST(queryIgnoresOtherFailures);
  CPPUNIT_TEST(queryNeedsTicket);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that goes on crashing servers.
  void blocksAfterTwoLosses()
  {
    CPPUNIT_ASSERT(!hit(1, "a", "app/1"));
    CPPUNIT_ASSERT(!m_first.blocks(1));
    CPPUNIT_ASSERT(hit(1, "b", "app/1"));
    CPPUNIT_ASSERT(m_first.blocks(1));
    CPPUNIT_ASSERT(!m_first.blocks(2));
    // The only server of a service, lost again after its restart.
    CPPUNIT_ASSERT(!hit(3, "c", "app/1"));
    m_unixMs += 4000;
    CPPUNIT_ASSERT(hit(3, "c", "app/1"));
  }

  // Guards against a popular request that is quarantined by one loss, because
  // several of its queries ran on that server.
  void countsOneLossOnce()
  {
    for (int i = 0; i < 5; ++i) {
      m_unixMs += 100;
      CPPUNIT_ASSERT(!hit(1, "a", "app/1"));
    }
  }

  // Guards against a bystander that stays blocked because it ran beside a
  // request that crashed several servers.
  void freesBystanderSoon()
  {
    hit(1, "a", "app/1");
    CPPUNIT_ASSERT(hit(1, "b", "app/2"));
    m_clock.advance(Quarantine::kFirst);
    CPPUNIT_ASSERT(!m_first.blocks(1));
    m_first.answered(1, "app/1");
    m_first.answered(1, "app/2");
    CPPUNIT_ASSERT(m_first.status().empty());
    CPPUNIT_ASSERT(!hit(1, "c", "app/1"));
  }

  // Guards against a poison request that is let in again and again.
  void keepsPoisonLong()
  {
    hit(1, "a", "app/1");
    hit(1, "b", "app/1");
    m_clock.advance(Quarantine::kFirst);
    CPPUNIT_ASSERT(!m_first.blocks(1));
    m_unixMs += 10000;
    CPPUNIT_ASSERT(hit(1, "a", "app/1"));
    m_clock.advance(minutes(9));
    CPPUNIT_ASSERT(m_first.blocks(1));
    m_clock.advance(minutes(1));
    CPPUNIT_ASSERT(!m_first.blocks(1));
  }

  // Guards against clearing a request that crashes only one of its services.
  void ignoresAnswersOfOtherServices()
  {
    hit(1, "a", "app/1");
    m_first.answered(1, "app/2");
    CPPUNIT_ASSERT(hit(1, "b", "app/1"));
    // An answer of that service on another server clears its strike.
    hit(2, "a", "app/1");
    m_first.answered(2, "app/1");
    CPPUNIT_ASSERT(!hit(2, "b", "app/1"));
  }

  // Guards against a poison request that is refused at one node only, and
  // against a quarantine that operators can't end.
  void spreadsAndLifts()
  {
    m_firstNet.other = &m_secondNet;
    hit(0x1f2e3d4c5b6a7988, "a", "app/1");
    hit(0x1f2e3d4c5b6a7988, "b", "app/1");
    CPPUNIT_ASSERT(m_second.blocks(0x1f2e3d4c5b6a7988));
    m_secondNet.receive("h1", "garbage");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_second.status().size());
    CPPUNIT_ASSERT(m_second.status()[0].blocked);
    LiftRule lift;
    lift.fingerprint = 0x1f2e3d4c5b6a7988;
    m_second.setLifts({ lift });
    CPPUNIT_ASSERT(!m_second.blocks(0x1f2e3d4c5b6a7988));
    CPPUNIT_ASSERT(m_second.status()[0].lifted);
    m_second.setLifts({});
    CPPUNIT_ASSERT(m_second.blocks(0x1f2e3d4c5b6a7988));
  }

  // Guards against memory that grows with the number of struck requests.
  void staysBounded()
  {
    for (std::uint64_t i = 0; i < 5000; ++i) {
      m_clock.advance(milliseconds(1));
      hit(i, "a", "app/1");
    }
    CPPUNIT_ASSERT_EQUAL(Quarantine::kMaxEntries, m_first.status().size());
    m_clock.advance(minutes(10));
    hit(1, "a", "app/1");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_first.status().size());
  }

  // Guards against retries of a request after its second loss within a query,
  // and against running it again when the caller sends it again.
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

  // Guards against strikes for lost links, timeouts and stray replies.
  void queryIgnoresOtherFailures()
  {
    makeEngine();
    submit("desk");
    reply(0, SubStatus::TimedOut, Errc::TimedOut);
    reply(1, SubStatus::Lost, Errc::BadMessage);
    reply(2, SubStatus::NotRun, Errc::Overloaded);
    m_engine->onLinkLost("h1", {});
    CPPUNIT_ASSERT(m_first.status().empty());
  }

  // Guards against a run of a non-idempotent query that could be sent twice.
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
  bool hit(std::uint64_t aFingerprint,
           const char* aServer,
           const char* aService)
  {
    return m_first.strike(
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
    m_engine->setQuarantine(&m_first);
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

  /// Replies to the sub-request of that number in the order of sending.
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
  FakeBroadcast m_firstNet;
  FakeBroadcast m_secondNet;
  Quarantine m_first{ m_clock, &m_firstNet };
  Quarantine m_second{ m_clock, &m_secondNet };
  boost::asio::io_context m_context;
  ViewHolder m_views;
  FakeSender m_sender;
  std::unique_ptr<SlotChooser> m_chooser;
  std::unique_ptr<QueryEngine> m_engine;
  std::unique_ptr<QueryAnswer> m_answer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
