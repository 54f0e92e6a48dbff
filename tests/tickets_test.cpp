#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <queue>
#include <random>

#include "tickets_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Holds requests until answerAll() answers them.
struct FakeIo final : public TicketNodeI
{
  void run(QueryRequest, Done aDone) override
  {
    ++runs;
    pending.push_back(std::move(aDone));
  }
  bool forward(const std::string&, TicketForward) override { return false; }
  Duration deadlineOf(const QueryRequest&) const override
  {
    return milliseconds(500);
  }
  void answerAll(Outcome aOutcome, const std::string& aBody = {})
  {
    for (Done& done : pending) {
      QueryAnswer answer;
      answer.outcome = aOutcome;
      answer.parts.push_back({ "all", aBody });
      done(answer);
    }
    pending.clear();
  }
  int runs = 0;
  std::vector<Done> pending;
};

QueryRequest
makeRequest(const std::string& aTicket, const std::string& aBody = "charge")
{
  QueryRequest request;
  request.queryClass = "ship";
  request.body = aBody;
  request.ticket = aTicket;
  return request;
}

class Fleet;

/// The node on one host. Its process may restart or pause.
struct FakeNode final : public TicketNodeI
{
  FakeNode(Fleet& aFleet, std::string aName, std::uint64_t aIncarnation);
  void run(QueryRequest aRequest, Done aDone) override;
  bool forward(const std::string& aHost, TicketForward aForward) override;
  Duration deadlineOf(const QueryRequest&) const override
  {
    return milliseconds(300);
  }

  Fleet& fleet;
  std::string name;
  Tickets tickets;
};

/// Simulates hosts, and a network that delays and loses messages, in virtual
/// time.
class Fleet
{
public:
  static constexpr std::size_t kHosts = 4;

  explicit Fleet(std::uint64_t aSeed)
    : random(aSeed)
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      restart(i);
    }
  }

  std::uint64_t pick(std::uint64_t aBelow) { return random() % aBelow; }
  bool chance(std::uint64_t aPercent) { return pick(100) < aPercent; }

  void after(milliseconds aDelay, std::function<void()> aWork)
  {
    events.push({ clock.now() + aDelay, nextEvent++, std::move(aWork) });
  }

  /// Runs work on a host after a random delay. The work is dropped at random,
  /// and when the host's process has restarted by then. A paused process runs
  /// it after the pause.
  void deliver(std::size_t aHost, std::function<void(FakeNode&)> aWork)
  {
    if (chance(10)) {
      return;
    }
    const std::weak_ptr<FakeNode> weak = hosts[aHost];
    const milliseconds delay(1 + pick(chance(5) ? 400 : 20));
    after(delay, [this, aHost, weak, work = std::move(aWork)] {
      const auto node = weak.lock();
      if (node && pausedUntil[aHost] > clock.now()) {
        after(std::chrono::duration_cast<milliseconds>(pausedUntil[aHost] -
                                                       clock.now()) +
                milliseconds(1),
              [weak, work] {
                if (const auto resumed = weak.lock()) {
                  work(*resumed);
                }
              });
      } else if (node) {
        work(*node);
      }
    });
  }

  void restart(std::size_t aHost)
  {
    hosts[aHost] = std::make_shared<FakeNode>(
      *this, "h" + std::to_string(aHost), ++nextIncarnation);
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (hosts[i] && i != aHost && chance(70)) {
        hosts[i]->tickets.onLinkLost("h" + std::to_string(aHost));
      }
    }
  }

  void sweepAll()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (pausedUntil[i] <= clock.now()) {
        hosts[i]->tickets.sweep();
      }
    }
  }

  void runAll()
  {
    while (!events.empty()) {
      Event event = events.top();
      events.pop();
      if (event.at > clock.now()) {
        clock.advance(event.at - clock.now());
      }
      sweepAll();
      event.work();
    }
  }

  struct Event
  {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> work;
    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  ManualClock clock;
  std::mt19937_64 random;
  std::priority_queue<Event> events;
  std::uint64_t nextEvent = 0;
  std::uint64_t nextIncarnation = 0;
  std::array<std::shared_ptr<FakeNode>, kHosts> hosts;
  std::array<TimePoint, kHosts> pausedUntil{};
  std::map<std::string, int> runs; ///< by body
};

FakeNode::FakeNode(Fleet& aFleet, std::string aName, std::uint64_t aIncarnation)
  : fleet(aFleet)
  , name(std::move(aName))
  , tickets(aFleet.clock,
            *this,
            name,
            aIncarnation,
            aFleet.random(),
            { seconds(2), seconds(4), 32, 8192, 3, 64 })
{
}

void
FakeNode::run(QueryRequest aRequest, Done aDone)
{
  QueryAnswer answer;
  const std::uint64_t kind = fleet.pick(10);
  answer.outcome = kind == 0   ? Outcome::NotRun
                   : kind == 1 ? Outcome::Unknown
                               : Outcome::Whole;
  if (kind != 0) {
    ++fleet.runs[aRequest.body];
  }
  answer.parts.push_back({ "all", aRequest.body });
  const std::size_t self = name[1] - '0';
  const std::weak_ptr<FakeNode> weak = fleet.hosts[self];
  fleet.after(milliseconds(1 + fleet.pick(250)),
              [weak, answer, done = std::move(aDone)] {
                if (weak.lock()) {
                  done(answer);
                }
              });
}

bool
FakeNode::forward(const std::string& aHost, TicketForward aForward)
{
  const std::size_t to = aHost[1] - '0';
  const std::size_t self = name[1] - '0';
  const std::weak_ptr<FakeNode> from = fleet.hosts[self];
  const auto frame = decode<TicketForward>(encode(std::move(aForward)));
  CPPUNIT_ASSERT(frame);
  fleet.deliver(to, [this, from, frame, self, aHost](FakeNode& aNode) {
    Fleet& net = fleet;
    aNode.tickets.onForward(
      *frame, [&net, from, self, aHost](TicketReply aReply) {
        const auto reply = decode<TicketReply>(encode(std::move(aReply)));
        if (net.hosts[self] == from.lock()) {
          net.deliver(self, [reply, aHost](FakeNode& aBack) {
            aBack.tickets.onReply(aHost, *reply);
          });
        }
      });
  });
  return true;
}

} // namespace

class TicketsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TicketsTest);
  CPPUNIT_TEST(repeatsStoredAnswer);
  CPPUNIT_TEST(joinsRunningRequest);
  CPPUNIT_TEST(neverRunsAfterNotRun);
  CPPUNIT_TEST(refusesInvalidTickets);
  CPPUNIT_TEST(neverRunsBeyondLimits);
  CPPUNIT_TEST(answersAtDeadline);
  CPPUNIT_TEST(runsAtMostOnceInFaultyFleet);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_io = std::make_unique<FakeIo>();
    m_tickets = std::make_unique<Tickets>(
      m_clock, *m_io, "h1", 7, 42, TicketLimits{ seconds(10), seconds(20), 4 });
  }

  // Guards against running a request again when the caller resends it because
  // the answer was lost.
  void repeatsStoredAnswer()
  {
    const std::string ticket = m_tickets->issue(1).front();
    submit(ticket);
    m_io->answerAll(Outcome::Whole, "order 9");
    const auto again = submit(ticket);
    CPPUNIT_ASSERT_EQUAL(1, m_io->runs);
    CPPUNIT_ASSERT(again->answered);
    CPPUNIT_ASSERT_EQUAL(std::string("order 9"), again->answer.parts[0].body);
  }

  // Guards against running a request again when the caller resends it while it
  // is still running.
  void joinsRunningRequest()
  {
    const std::string ticket = m_tickets->issue(1).front();
    const auto first = submit(ticket);
    const auto second = submit(ticket);
    CPPUNIT_ASSERT_EQUAL(1, m_io->runs);
    CPPUNIT_ASSERT(!second->answered);
    m_io->answerAll(Outcome::Whole);
    CPPUNIT_ASSERT(first->answered && second->answered);
    CPPUNIT_ASSERT(Outcome::Whole == second->answer.outcome);
  }

  // Guards against running a request after its caller was told "not run".
  void neverRunsAfterNotRun()
  {
    const std::string ticket = m_tickets->issue(1).front();
    submit(ticket);
    m_io->answerAll(Outcome::NotRun);
    CPPUNIT_ASSERT(Outcome::NotRun == submit(ticket)->answer.outcome);
    CPPUNIT_ASSERT_EQUAL(1, m_io->runs);
  }

  // Guards against running a request whose ticket was issued before a restart,
  // was used for another request, is forged or is malformed.
  void refusesInvalidTickets()
  {
    const std::string ticket = m_tickets->issue(1).front();
    Tickets restarted(m_clock, *m_io, "h1", 8, 43);
    Result result;
    restarted.submit(makeRequest(ticket), [&](QueryAnswer aAnswer) {
      result = { true, std::move(aAnswer) };
    });
    CPPUNIT_ASSERT(Outcome::Unknown == result.answer.outcome);

    Ticket forged = *Ticket::parse(ticket);
    forged.check ^= 1U;
    CPPUNIT_ASSERT(Outcome::NotRun ==
                   submit(forged.toString())->answer.outcome);
    for (const char* bad : { "", "1.2.3.", "x", "0x1.2.7.h1", "-1.2.7.h1" }) {
      CPPUNIT_ASSERT(Outcome::NotRun == submit(bad)->answer.outcome);
    }
    CPPUNIT_ASSERT_EQUAL(0, m_io->runs);
    submit(ticket);
    CPPUNIT_ASSERT(Outcome::NotRun ==
                   submit(ticket, "another")->answer.outcome);
    CPPUNIT_ASSERT_EQUAL(1, m_io->runs);
  }

  // Guards against running a request again, or answering "not run", after the
  // record of its ticket was removed because of its age or the record limit.
  void neverRunsBeyondLimits()
  {
    const std::vector<std::string> list = m_tickets->issue(8);
    submit(list[0]);
    m_io->answerAll(Outcome::Whole);
    for (std::size_t i = 2; i < 7; ++i) {
      submit(list[i]);
      m_io->answerAll(Outcome::Whole);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_tickets->counters().records);
    CPPUNIT_ASSERT(Outcome::Unknown == submit(list[0])->answer.outcome);
    CPPUNIT_ASSERT(Outcome::Unknown == submit(list[1])->answer.outcome);
    CPPUNIT_ASSERT_EQUAL(6, m_io->runs);
    m_clock.advance(seconds(11));
    // Expired unused: its record would still exist if it had been used.
    CPPUNIT_ASSERT(Outcome::NotRun == submit(list[7])->answer.outcome);
    CPPUNIT_ASSERT(Outcome::Whole == submit(list[6])->answer.outcome);
    m_clock.advance(seconds(11));
    CPPUNIT_ASSERT(Outcome::Unknown == submit(list[6])->answer.outcome);
    CPPUNIT_ASSERT_EQUAL(6, m_io->runs);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_tickets->counters().records);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_tickets->counters().bytes);
  }

  // Guards against a caller that waits past its deadline, and against a false
  // "not run" when the issuer can't be reached.
  void answersAtDeadline()
  {
    const std::string ticket = m_tickets->issue(1).front();
    const auto first = submit(ticket);
    m_clock.advance(milliseconds(501));
    m_tickets->sweep();
    CPPUNIT_ASSERT(first->answered);
    CPPUNIT_ASSERT(Outcome::Unknown == first->answer.outcome);
    m_io->answerAll(Outcome::Whole);
    CPPUNIT_ASSERT(Outcome::Whole == submit(ticket)->answer.outcome);

    Ticket foreign = *Ticket::parse(ticket);
    foreign.host = "h2";
    CPPUNIT_ASSERT(Outcome::Unknown ==
                   submit(foreign.toString())->answer.outcome);
  }

  // Guards against running a request twice, a false "not run" and a caller
  // without an answer while processes restart and pause, messages are lost or
  // late, and callers resend to random nodes.
  void runsAtMostOnceInFaultyFleet()
  {
    int whole = 0;
    int unknown = 0;
    int notRun = 0;
    std::uint64_t joined = 0;
    std::uint64_t repeated = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Fleet fleet(seed);
      std::map<std::string, bool> toldNotRun;
      for (int i = 0; i < 150; ++i) {
        const std::string body = "request " + std::to_string(i);
        fleet.after(milliseconds(fleet.pick(6000)), [&, body] {
          const std::size_t issuer = fleet.pick(Fleet::kHosts);
          const std::string ticket =
            fleet.hosts[issuer]->tickets.issue(1).front();
          for (std::uint64_t n = 1 + fleet.pick(4); n > 0; --n) {
            const std::size_t entry =
              fleet.chance(50) ? issuer : fleet.pick(Fleet::kHosts);
            fleet.after(milliseconds(fleet.pick(fleet.chance(20) ? 5000 : 400)),
                        [&, body, ticket, entry] {
                          fleet.deliver(entry, [&, body, ticket](auto& aNode) {
                            aNode.tickets.submit(
                              makeRequest(ticket, body),
                              [&, body](auto aAnswer) {
                                whole += aAnswer.outcome == Outcome::Whole;
                                unknown += aAnswer.outcome == Outcome::Unknown;
                                notRun += aAnswer.outcome == Outcome::NotRun;
                                if (aAnswer.outcome == Outcome::NotRun) {
                                  toldNotRun[body] = true;
                                }
                              });
                          });
                        });
          }
        });
      }
      for (int i = 0; i < 12; ++i) {
        fleet.after(milliseconds(fleet.pick(6000)), [&] {
          const std::size_t host = fleet.pick(Fleet::kHosts);
          if (fleet.chance(40)) {
            joined += fleet.hosts[host]->tickets.counters().joined;
            repeated += fleet.hosts[host]->tickets.counters().repeated;
            fleet.restart(host);
          } else {
            fleet.pausedUntil[host] =
              fleet.clock.now() + milliseconds(fleet.pick(800));
          }
        });
      }
      fleet.runAll();
      for (const auto& [body, count] : fleet.runs) {
        const std::string what = "seed " + std::to_string(seed) + ", " + body;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 1, count);
        CPPUNIT_ASSERT_MESSAGE(what, !toldNotRun[body]);
      }
    }
    // Every outcome must occur often enough for the checks above to be
    // meaningful.
    CPPUNIT_ASSERT(whole > 1000 && unknown > 100 && notRun > 100);
    CPPUNIT_ASSERT(joined > 100 && repeated > 100);
  }

private:
  struct Result
  {
    bool answered = false;
    QueryAnswer answer;
  };

  std::shared_ptr<Result> submit(const std::string& aTicket,
                                 const std::string& aBody = "charge")
  {
    auto result = std::make_shared<Result>();
    m_tickets->submit(makeRequest(aTicket, aBody),
                      [result](QueryAnswer aAnswer) {
                        CPPUNIT_ASSERT(!result->answered);
                        *result = { true, std::move(aAnswer) };
                      });
    return result;
  }

  ManualClock m_clock;
  std::unique_ptr<FakeIo> m_io;
  std::unique_ptr<Tickets> m_tickets;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketsTest);
