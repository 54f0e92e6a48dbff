#include <cppunit/extensions/HelperMacros.h>

#include "query_fakes.h"
#include "slot_table_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxQueued = 64; ///< queue length of a server

struct FakeBackend final : BackendI
{
  struct Sent
  {
    BackendCall call;
    Done done;
  };
  std::vector<Sent> sent;
  std::vector<std::uint64_t> cancelled;

  std::uint64_t send(BackendCall aCall, Done aDone) override
  {
    sent.push_back({ std::move(aCall), std::move(aDone) });
    return sent.size();
  }
  void cancel(std::uint64_t aHandle) override { cancelled.push_back(aHandle); }
};

struct FakeRights final : RightsI
{
  bool mayUse(const SlotKey&) const override { return true; }
};

struct FakeWarmth final : WarmthI
{
  bool allowed = true;
  std::uint32_t sent = 0;
  std::vector<BackendReply> replies;

  bool warm = true;

  bool mayUse(const SlotKey&, std::uint32_t) const override { return allowed; }
  bool mayCancel(const std::string&) const override { return warm; }
  void onSent(const SlotKey&) override { ++sent; }
  void onReply(const SlotKey&, const BackendReply& aReply) override
  {
    replies.push_back(aReply);
  }
};

struct TableFixture
{
  explicit TableFixture(const std::string& aExtraRules = "")
  {
    HostList hosts;
    hosts.revision = 1;
    hosts.hosts.push_back({ "a-1", "a", "127.0.0.1", 1, 1 });
    hosts.hosts.push_back({ "b-1", "b", "127.0.0.1", 1, 1 });
    views.set(
      makeView(1,
               std::make_shared<const RuleSet>(makeRules(
                 1,
                 aExtraRules,
                 7,
                 "slots 1 connections 8 connect-cost 1ms cold-slots 1")),
               hosts));
  }

  /// Submits one request to the server whose slot this node holds.
  void submit(const std::string& aClass,
              std::uint8_t aPriority,
              std::uint64_t aQuery,
              milliseconds aDeadline = milliseconds(500))
  {
    SubBatch batch;
    batch.query = aQuery;
    batch.queryClass = aClass;
    batch.priority = aPriority;
    batch.items.push_back({ 0, 0, "s/01", server() });
    SubTask task{ "a-2",
                  std::make_shared<const SubBatch>(std::move(batch)),
                  0,
                  clock.now() + aDeadline };
    table.submit(std::move(task),
                 [this](const SubReply& aReply) { replies.push_back(aReply); });
  }

  std::string server() const
  {
    const ViewPtr view = views.get();
    for (const SlotPlace& place : view->placement[0].slots) {
      if (place.host == 0) {
        return view->rules->services[0].servers[place.server].name;
      }
    }
    CPPUNIT_FAIL("this node holds no slot");
    return {};
  }

  void finish(std::size_t aIndex)
  {
    BackendReply reply;
    reply.status = SubStatus::Done;
    reply.snapshot = 7;
    backend.sent[aIndex].done(reply);
  }

  ManualClock clock;
  ViewHolder views;
  FakeRights rights;
  FakeWarmth warmth;
  FakeBackend backend;
  SlotTable table{ clock, views, rights, warmth, backend, "a-1" };
  std::vector<SubReply> replies;
};

} // namespace

class SlotTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SlotTableTest);
  CPPUNIT_TEST(servesByPriorityThenDeadline);
  CPPUNIT_TEST(shedsLowestPriorityFirst);
  CPPUNIT_TEST(limitsClassToItsShare);
  CPPUNIT_TEST(refusesAtOnceWhenNothingIsAllowed);
  CPPUNIT_TEST(cancelsOneAttempt);
  CPPUNIT_TEST(doesNotCancelOnColdServer);
  CPPUNIT_TEST(reportsWhetherServerWasReached);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a sub-request that is queued behind one of lower priority,
  // or behind one of equal priority and a later deadline.
  void servesByPriorityThenDeadline()
  {
    TableFixture f;
    f.submit("cover", 7, 1);
    f.submit("once", 5, 2, milliseconds(100));
    f.submit("cover", 7, 3, milliseconds(400));
    f.submit("cover", 7, 4, milliseconds(300));
    for (std::size_t i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(i + 1, f.backend.sent.size());
      f.finish(i);
    }
    const std::vector<std::uint64_t> order = { 1, 4, 3, 2 };
    for (std::size_t i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(order[i], f.replies[i].query);
    }
  }

  // Guards against a full queue that sheds high-priority sub-requests while
  // ones of lower priority are queued, and against replying to a shed
  // sub-request with a status other than NotRun.
  void shedsLowestPriorityFirst()
  {
    TableFixture f;
    f.submit("cover", 7, 1); // runs
    for (std::size_t i = 0; i < kMaxQueued; ++i) {
      f.submit("once", 5, 100 + i);
    }
    CPPUNIT_ASSERT(f.replies.empty());
    f.submit("once", 5, 200);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.replies.size());
    for (std::size_t i = 0; i < kMaxQueued; ++i) {
      f.submit("quick", 9, 300 + i);
    }
    CPPUNIT_ASSERT_EQUAL(kMaxQueued + 1, f.replies.size());
    for (const SubReply& reply : f.replies) {
      CPPUNIT_ASSERT(reply.query >= 100 && reply.query <= 200);
      CPPUNIT_ASSERT(reply.status == SubStatus::NotRun);
      CPPUNIT_ASSERT(!reply.reachedServer);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.backend.sent.size());
  }

  // Guards against one class that fills the queue beyond its share, and against
  // shedding the sub-request of that class with the earliest deadline instead
  // of the one with the latest.
  void limitsClassToItsShare()
  {
    TableFixture f("share once at-most 25%\n");
    f.submit("cover", 7, 1); // runs
    for (std::size_t i = 0; i < kMaxQueued / 4; ++i) {
      f.submit("once", 5, 100 + i, milliseconds(400 + static_cast<int>(i)));
    }
    CPPUNIT_ASSERT(f.replies.empty());
    f.submit("once", 5, 99, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.replies.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100 + kMaxQueued / 4 - 1),
                         f.replies[0].query);
    f.submit("cover", 7, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.replies.size());
  }

  // Guards against sub-requests that wait for a server for which this node has
  // no grant, while another holder could serve them.
  void refusesAtOnceWhenNothingIsAllowed()
  {
    TableFixture f;
    f.warmth.allowed = false;
    f.submit("cover", 7, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.replies.size());
    CPPUNIT_ASSERT(f.replies[0].status == SubStatus::NotRun);
    CPPUNIT_ASSERT(!f.replies[0].reachedServer);
    CPPUNIT_ASSERT(f.backend.sent.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), f.warmth.sent);
  }

  // Guards against four faults: a superseded hedge attempt that keeps its slot;
  // two requests at a server on one slot, because the server detects a cancel
  // late; a cancel that affects another attempt or another origin; and a
  // cancelled request that counts as evidence of a cold server.
  void cancelsOneAttempt()
  {
    TableFixture f;
    f.submit("cover", 7, 1);
    f.submit("cover", 7, 2);
    f.table.cancel("a-2", { 1, 0, 1 }); // another attempt
    f.table.cancel("a-3", { 1 });       // another origin
    CPPUNIT_ASSERT(f.backend.cancelled.empty());
    f.table.cancel("a-2", { 1, 0, 0 });
    f.table.cancel("a-2", { 1, 0, 0 });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.backend.cancelled.size());
    f.backend.sent[0].done(BackendReply{});
    CPPUNIT_ASSERT(f.warmth.replies.at(0).cancelled);
    // The server may still run the cancelled request for a short time.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.backend.sent.size());
    f.clock.advance(milliseconds(20));
    f.table.sweep();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.backend.sent.size());
    f.table.cancel("a-2", { 2 });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.backend.cancelled.size());
  }

  // Guards against sending a second request to a cold server that has not yet
  // detected the cancel of the first one.
  void doesNotCancelOnColdServer()
  {
    TableFixture f;
    f.warmth.warm = false;
    f.submit("cover", 7, 1);
    f.submit("cover", 7, 2);
    f.table.cancel("a-2", { 1 });
    CPPUNIT_ASSERT(f.backend.cancelled.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.backend.sent.size());
    f.finish(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.backend.sent.size());
  }

  // Guards against counting a refusal by a server as an attempt that did not
  // reach it, and a failed connect as one that did.
  void reportsWhetherServerWasReached()
  {
    TableFixture f;
    BackendReply reply;
    reply.status = SubStatus::NotRun;
    for (const Errc error : { Errc::Overloaded, Errc::Unreachable }) {
      reply.error = error;
      f.submit("cover", 7, 1);
      f.backend.sent.back().done(reply);
    }
    CPPUNIT_ASSERT(f.replies.at(0).reachedServer);
    CPPUNIT_ASSERT(!f.replies.at(1).reachedServer);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotTableTest);
