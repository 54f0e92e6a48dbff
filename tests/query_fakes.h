#ifndef TOUCANRIDGE_TESTS_QUERY_FAKES_H
#define TOUCANRIDGE_TESTS_QUERY_FAKES_H

/// Fakes, rules and hosts shared by the tests of queries.

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <sstream>
#include <string>

#include "backend_p.h"
#include "query_engine_p.h"

namespace toucanridge {

/// Rules with one application "s" of aServices services on two servers each,
/// the classes "cover" (wait coverage), "quick" (wait latency) and "once" (not
/// idempotent), and the rules of aExtra, one a line.
/// @param[in] aService slot and connection settings of every service
inline RuleSet
makeRules(std::size_t aServices,
          const std::string& aExtra,
          std::uint32_t aSnapshot = 7,
          const std::string& aService = "slots 2 connections 8 connect-cost "
                                        "1ms cold-slots 1")
{
  std::ostringstream text;
  const char* const by = " # asked by T : test\n";
  text << "data-centre a in" << by << "data-centre b in" << by;
  for (std::size_t i = 1; i <= aServices; ++i) {
    text << "service s/" << (i < 10 ? "0" : "") << i << " servers 127.0.0."
         << 2 * i << ":80,127.0.0." << 2 * i + 1 << ":80 " << aService << by;
  }
  text << "snapshot s " << aSnapshot << " services 01.."
       << (aServices < 10 ? "0" : "") << aServices << by;
  const char* const fanOutAll = " fan-out all";
  text << "class cover application s deadline 900ms priority 7 wait coverage "
          "idempotent yes"
       << fanOutAll << by
       << "class quick application s deadline 900ms priority 9 wait latency "
          "idempotent yes"
       << fanOutAll << by
       << "class once application s deadline 900ms priority 5 wait coverage "
          "idempotent no fan-out one"
       << by;
  std::istringstream extra(aExtra);
  for (std::string line; std::getline(extra, line);) {
    text << line << by;
  }
  const auto parsed = parseRules(text.str());
  if (!parsed.rules) {
    CPPUNIT_FAIL(parsed.faults.front().message);
  }
  return *parsed.rules;
}

/// Two hosts in each of the data centres "a" and "b".
inline HostList
makeHosts()
{
  HostList list;
  list.revision = 1;
  for (const char* name : { "a-1", "a-2", "b-1", "b-2" }) {
    list.hosts.push_back({ name, std::string(1, name[0]), "127.0.0.1", 1, 1 });
  }
  return list;
}

/// Records what the engine sends.
struct FakeSender final : SubRequestSenderI
{
  struct Sent
  {
    std::string host;
    std::uint64_t query = 0;
    std::uint64_t snapshot = 0;
    SubItem item;
  };
  std::deque<Sent> sent;
  std::vector<std::pair<std::string, Cancel>> cancels;

  void send(const Host& aHost, SubBatch aBatch) override
  {
    for (const SubItem& item : aBatch.items) {
      sent.push_back({ aHost.name, aBatch.query, aBatch.snapshot, item });
    }
  }
  void cancel(const Host& aHost, const Cancel& aCancel) override
  {
    cancels.emplace_back(aHost.name, aCancel);
  }
  /// @returns what was sent since the last call
  std::deque<Sent> take()
  {
    std::deque<Sent> taken;
    taken.swap(sent);
    return taken;
  }
};

/// An engine with a virtual clock; the test makes every reply.
struct EngineFixture
{
  explicit EngineFixture(const RuleSet& aRules) { setRules(1, aRules); }

  void setRules(std::uint64_t aRevision, const RuleSet& aRules)
  {
    views.set(makeView(
      aRevision, std::make_shared<const RuleSet>(aRules), makeHosts()));
  }

  void submit(const std::string& aClass)
  {
    QueryRequest request;
    request.queryClass = aClass;
    request.body = "body";
    request.ticket = "any"; // Tickets checks it before the engine is called
    engine.submit(request, [this](const QueryAnswer& aAnswer) {
      answers.push_back(aAnswer);
    });
  }

  static SubReply makeReply(const FakeSender::Sent& aSent,
                            SubStatus aStatus,
                            Errc aError = Errc::Ok,
                            bool aReached = true)
  {
    SubReply reply;
    reply.query = aSent.query;
    reply.part = aSent.item.part;
    reply.attempt = aSent.item.attempt;
    reply.status = aStatus;
    reply.error = static_cast<std::int32_t>(aError);
    reply.reachedServer = aReached;
    reply.snapshot = aSent.snapshot;
    reply.body = aSent.item.service + " from " + aSent.item.server;
    return reply;
  }

  void reply(const FakeSender::Sent& aSent,
             SubStatus aStatus,
             Errc aError = Errc::Ok,
             bool aReached = true)
  {
    engine.onReply(aSent.host, makeReply(aSent, aStatus, aError, aReached));
  }

  /// Advances the clock by one millisecond at a time and runs due work.
  void advance(std::chrono::milliseconds aBy)
  {
    for (int i = 0; i < aBy.count(); ++i) {
      clock.advance(std::chrono::milliseconds(1));
      engine.runDue();
    }
  }

  /// Runs queries whose parts all answer after aLatency, so that the engine
  /// learns it as the class's latency.
  void learnLatency(const std::string& aClass,
                    int aQueries,
                    std::chrono::milliseconds aLatency)
  {
    for (int i = 0; i < aQueries; ++i) {
      submit(aClass);
      clock.advance(aLatency);
      for (const auto& sent : sender.take()) {
        reply(sent, SubStatus::Done);
      }
    }
    answers.clear();
  }

  boost::asio::io_context context; // not run: tests call runDue()
  ManualClock clock;
  ViewHolder views;
  FakeSender sender;
  SlotChooser chooser{ 42, [](const std::string&) { return true; } };
  QueryEngine engine{ context, clock, views, sender, chooser, "a-1", 1 };
  std::vector<QueryAnswer> answers;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TESTS_QUERY_FAKES_H
