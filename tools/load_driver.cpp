/// Open-loop load generator. Queries arrive as Poisson processes that don't
/// wait for answers. Each answer is checked, and the backend stand-ins' own
/// counters are compared with the number of requests that the queries needed.
/// The exit code is 1 when any answer was wrong or late, when a connection was
/// cut (unless --allow-cuts is set), or when the stand-ins counted a violation
/// or too many executions.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

#include <boost/program_options.hpp>

#include "answer_check.h"
#include "http_pool.h"
#include "json_p.h"
#include "rules_p.h"

namespace {

namespace po = boost::program_options;
using namespace toucanridge;
using namespace toucanridge::load;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// An answer may arrive this long after the deadline, to allow for its network
/// delay and the driver's own delay.
constexpr milliseconds kLateTolerance{ 50 };
/// A caller stops waiting for the answer this long after the deadline.
constexpr milliseconds kCallerTimeoutMargin{ 2000 };
constexpr milliseconds kControlTimeout{ 2000 };
/// Delay before callers that got no addresses request them again.
constexpr milliseconds kAddressRetryDelay{ 200 };
/// Wait before the final counters are read, because the stand-ins count
/// cancelled requests after the last answer.
constexpr milliseconds kSettleDelay{ 300 };
/// Number of faults that are printed one by one.
constexpr std::size_t kMaxFaultLines = 5;

/// What was counted for the queries of one class.
struct QueryCounts
{
  std::uint64_t sent = 0;
  std::map<std::string, std::uint64_t> outcomes;
  std::uint64_t answered = 0; ///< services that answered, over all answers
  std::uint64_t total = 0;    ///< services that were needed, over all answers
  std::map<std::string, std::uint64_t> faults;
  /// Reasons of the answers that were not whole.
  std::map<std::string, std::uint64_t> reasons;
  std::vector<double> latencyMs;
};

/// One query class under load.
struct ClassLoad
{
  ClassRule rule;
  double rate = 0;                ///< queries per second, over all data centres
  std::set<std::string> services; ///< of the application's snapshot
  QueryCounts counts;
};

/// The callers of one data centre; they share one list of addresses.
struct Site
{
  std::string dataCentre;
  std::vector<std::string> localAddresses; ///< in the same data centre
  std::vector<std::string> allAddresses;
};

/// What the stand-ins of one application counted.
struct ServerCounts
{
  std::int64_t requests = 0;
  std::int64_t refused = 0; ///< shed plus expired, so not executed
  std::int64_t slotViolations = 0;
  std::int64_t connectionViolations = 0;
  std::int64_t coldViolations = 0;
  std::int64_t repeated = 0;
  std::int64_t crashes = 0;
};
/// Counters by application.
using ServerStats = std::map<std::string, ServerCounts>;

double
percentile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(aValues.size())));
  const auto position =
    aValues.begin() +
    static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1)) - 1;
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

Outcome
parseOutcome(const std::string& aText)
{
  for (const Outcome outcome : { Outcome::Whole,
                                 Outcome::Partial,
                                 Outcome::NotRun,
                                 Outcome::Unknown }) {
    if (aText == toString(outcome)) {
      return outcome;
    }
  }
  throw std::runtime_error("unknown outcome");
}

/// @throws std::exception on malformed JSON, an unknown outcome, or an answer
///         without coverage or parts
QueryAnswer
parseAnswer(const std::string& aText)
{
  const JsonDocument body = parseJson(aText).value();
  QueryAnswer answer;
  answer.outcome = parseOutcome(jsonText(body, "outcome"));
  answer.reason = jsonText(body, "reason");
  answer.requestId = jsonText(body, "request_id");
  if (answer.requestId.empty()) {
    return answer;
  }
  answer.snapshot = jsonUnsigned(body, "snapshot");
  const Json* coverage = jsonMember(body, "coverage");
  if (coverage == nullptr || jsonMember(body, "parts") == nullptr) {
    throw std::runtime_error("the answer has no coverage or parts");
  }
  answer.coverage.answered =
    static_cast<std::uint32_t>(jsonUnsigned(*coverage, "answered"));
  answer.coverage.total =
    static_cast<std::uint32_t>(jsonUnsigned(*coverage, "total"));
  for (const Json& part : jsonArray(body, "parts")) {
    answer.parts.push_back(
      { jsonText(part, "service"), jsonText(part, "body") });
  }
  return answer;
}

ServerStats
parseStats(const std::string& aText)
{
  ServerStats stats;
  const JsonDocument servers = parseJson(aText).value();
  if (!servers.IsArray()) {
    throw std::runtime_error("the servers' counters are not a JSON list");
  }
  for (const Json& server : servers.GetArray()) {
    const std::string service = jsonText(server, "service");
    ServerCounts& counts = stats[service.substr(0, service.find('/'))];
    const auto number = [&server](const char* aName) {
      return static_cast<std::int64_t>(jsonUnsigned(server, aName));
    };
    counts.requests += number("requests");
    counts.refused += number("shed") + number("expired");
    counts.slotViolations += number("slot_violations");
    counts.connectionViolations += number("connection_violations");
    counts.coldViolations += number("cold_violations");
    counts.repeated += number("repeated");
    counts.crashes += number("crashes");
  }
  return stats;
}

class Driver
{
public:
  explicit Driver(const po::variables_map& aValues)
    : m_pool(m_context)
    , m_entries(aValues["entry"].as<std::vector<std::string>>())
    , m_statsAddress(aValues["stats"].as<std::string>())
    , m_random(aValues["seed"].as<std::uint64_t>())
    , m_duration(
        static_cast<std::int64_t>(aValues["seconds"].as<double>() * 1000.0))
    , m_allowCuts(aValues["allow-cuts"].as<bool>())
  {
    std::ifstream in(aValues["rules"].as<std::string>());
    std::ostringstream text;
    text << in.rdbuf();
    const RulesResult parsed = parseRules(text.str());
    if (!parsed.rules) {
      throw std::runtime_error("the rules file has faults");
    }
    for (const std::string& load :
         aValues["load"].as<std::vector<std::string>>()) {
      addLoad(*parsed.rules, load);
    }
    for (const DataCentreRule& rule : parsed.rules->dataCentres) {
      m_sites.push_back({ rule.name, {}, {} });
    }
  }

  int run()
  {
    const ServerStats before = readStats();
    for (Site& site : m_sites) {
      refreshAddresses(site, 0);
    }
    m_start = steady_clock::now() + milliseconds(200);
    for (ClassLoad& load : m_loads) {
      for (Site& site : m_sites) {
        auto timer = std::make_shared<asio::steady_timer>(m_context);
        scheduleArrival(load, site, timer, m_start);
      }
    }
    m_context.run();
    asio::steady_timer settle(m_context, kSettleDelay);
    settle.wait();
    const ServerStats after = readStats();
    printTable(before, after);
    return printFaults(before, after) ? 1 : 0;
  }

private:
  void addLoad(const RuleSet& aRules, const std::string& aText)
  {
    const auto colon = aText.rfind(':');
    const auto found = aRules.classes.find(aText.substr(0, colon));
    if (colon == std::string::npos || found == aRules.classes.end()) {
      throw std::runtime_error("--load: '" + aText + "' is not CLASS:RATE");
    }
    ClassLoad load;
    load.rule = found->second;
    load.rate = std::stod(aText.substr(colon + 1));
    if (!(load.rate > 0.0)) {
      throw std::runtime_error("--load: the rate must be above 0");
    }
    const auto snapshot = aRules.snapshots.find(load.rule.application);
    if (snapshot == aRules.snapshots.end()) {
      throw std::runtime_error("--load: the class has no snapshot");
    }
    load.services = { snapshot->second.services.begin(),
                      snapshot->second.services.end() };
    m_loads.push_back(std::move(load));
  }

  /// @returns true while queries are still due or pending
  bool isRunning() const
  {
    return steady_clock::now() < m_start + m_duration || m_pendingQueries > 0;
  }

  /// Requests a site's addresses, and again when their validity ends.
  /// @param[in] aFailedTries requests that failed since the last success; each
  ///            further one goes to the next source
  void refreshAddresses(Site& aSite, std::size_t aFailedTries)
  {
    std::vector<std::string> sources = aSite.allAddresses;
    sources.insert(sources.end(), m_entries.begin(), m_entries.end());
    HttpRequest request(
      http::verb::get, "/v1/addresses?data_centre=" + aSite.dataCentre, 11);
    m_pool.send(sources[aFailedTries % sources.size()],
                std::move(request),
                kControlTimeout,
                [this, &aSite, aFailedTries](const HttpReply& aReply) {
                  const milliseconds validFor = updateAddresses(aSite, aReply);
                  scheduleRefresh(aSite,
                                  validFor.count() > 0 ? validFor
                                                       : kAddressRetryDelay,
                                  validFor.count() > 0 ? 0 : aFailedTries + 1);
                });
  }

  void scheduleRefresh(Site& aSite,
                       milliseconds aDelay,
                       std::size_t aFailedTries)
  {
    if (!isRunning()) {
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, aDelay);
    timer->async_wait([this, &aSite, aFailedTries, timer](beast::error_code) {
      if (isRunning()) {
        refreshAddresses(aSite, aFailedTries);
      }
    });
  }

  /// Stores the addresses of a reply.
  /// @returns how long the addresses are valid; 0 when the reply has none
  static milliseconds updateAddresses(Site& aSite, const HttpReply& aReply)
  {
    if (!aReply.ok || aReply.status != 200) {
      return milliseconds(0);
    }
    const auto body = parseJson(aReply.body);
    if (!body) {
      return milliseconds(0);
    }
    std::vector<std::string> localAddresses;
    std::vector<std::string> allAddresses;
    for (const Json& entry : jsonArray(*body, "addresses")) {
      allAddresses.push_back(jsonText(entry, "address") + ":" +
                             std::to_string(jsonUnsigned(entry, "port")));
      if (jsonText(entry, "data_centre") == aSite.dataCentre) {
        localAddresses.push_back(allAddresses.back());
      }
    }
    if (allAddresses.empty()) {
      return milliseconds(0);
    }
    aSite.localAddresses = std::move(localAddresses);
    aSite.allAddresses = std::move(allAddresses);
    return milliseconds(jsonUnsigned(*body, "valid_ms"));
  }

  /// @returns a random address in the data centre, or else of any node, or else
  ///          an entry
  std::string pickAddress(const Site& aSite)
  {
    const std::vector<std::string>& from =
      !aSite.localAddresses.empty()
        ? aSite.localAddresses
        : (!aSite.allAddresses.empty() ? aSite.allAddresses : m_entries);
    return from[m_random() % from.size()];
  }

  /// Schedules the query that follows one due at aLast, at a random interval.
  void scheduleArrival(ClassLoad& aLoad,
                       Site& aSite,
                       const std::shared_ptr<asio::steady_timer>& aTimer,
                       steady_clock::time_point aLast)
  {
    std::exponential_distribution<double> interArrivalSeconds(
      aLoad.rate / static_cast<double>(m_sites.size()));
    const auto due =
      aLast + std::chrono::duration_cast<steady_clock::duration>(
                std::chrono::duration<double>(interArrivalSeconds(m_random)));
    if (due > m_start + m_duration) {
      return;
    }
    aTimer->expires_at(due);
    aTimer->async_wait([this, &aLoad, &aSite, aTimer, due](beast::error_code) {
      scheduleArrival(aLoad, aSite, aTimer, due);
      startQuery(aLoad, aSite, due);
    });
  }

  /// Sends a query, after getting a ticket if its class needs one.
  void startQuery(ClassLoad& aLoad, Site& aSite, steady_clock::time_point aDue)
  {
    ++m_pendingQueries;
    ++aLoad.counts.sent;
    m_driverDelayMs.push_back(
      std::chrono::duration<double, std::milli>(steady_clock::now() - aDue)
        .count());
    if (aLoad.rule.idempotent || m_ticketsUnsupported) {
      sendQuery(aLoad, aSite, "", aDue);
      return;
    }
    HttpRequest request(http::verb::post, "/v1/tickets", 11);
    m_pool.send(pickAddress(aSite),
                std::move(request),
                kControlTimeout,
                [this, &aLoad, &aSite](const HttpReply& aReply) {
                  onTicket(aLoad, aSite, aReply);
                });
  }

  void onTicket(ClassLoad& aLoad, Site& aSite, const HttpReply& aReply)
  {
    if (aReply.ok && aReply.status == 404) {
      m_ticketsUnsupported = true;
    }
    std::string ticket;
    if (aReply.ok && aReply.status == 200) {
      const auto body = parseJson(aReply.body);
      const auto tickets =
        body ? jsonArray(*body, "tickets") : jsonArray(Json(), "tickets");
      if (!tickets.Empty() && tickets[0].IsString()) {
        ticket = tickets[0].GetString();
      } else {
        ++aLoad.counts.faults["malformed"];
      }
    }
    if (ticket.empty() && !m_ticketsUnsupported) {
      // The query wasn't sent, so it can't have run.
      --m_pendingQueries;
      ++aLoad.counts.outcomes["not-run"];
      ++aLoad.counts
          .reasons["no ticket: status " + std::to_string(aReply.status)];
      return;
    }
    // The query's deadline and latency count from now, not from the ticket.
    sendQuery(aLoad, aSite, ticket, steady_clock::now());
  }

  void sendQuery(ClassLoad& aLoad,
                 Site& aSite,
                 const std::string& aTicket,
                 steady_clock::time_point aDue)
  {
    ExpectedAnswer expected;
    expected.body = aLoad.rule.name + " " + std::to_string(m_random());
    expected.services = aLoad.services;
    expected.fanOutAll = aLoad.rule.fanOut == FanOut::All;
    JsonWriter body;
    body.beginObject();
    body.text("class", aLoad.rule.name);
    body.text("body", expected.body);
    if (!aTicket.empty()) {
      body.text("ticket", aTicket);
    }
    body.endObject();
    HttpRequest request(http::verb::post, "/v1/query", 11);
    request.set(http::field::content_type, "application/json");
    request.body() = body.str();
    const auto sentAt = steady_clock::now();
    m_pool.send(pickAddress(aSite),
                std::move(request),
                aLoad.rule.deadline + kCallerTimeoutMargin,
                [this, &aLoad, expected = std::move(expected), sentAt, aDue](
                  const HttpReply& aReply) {
                  --m_pendingQueries;
                  onAnswer(aLoad, expected, aReply, sentAt, aDue);
                });
  }

  void onAnswer(ClassLoad& aLoad,
                const ExpectedAnswer& aExpected,
                const HttpReply& aReply,
                steady_clock::time_point aSentAt,
                steady_clock::time_point aDue)
  {
    QueryCounts& counts = aLoad.counts;
    const auto now = steady_clock::now();
    if (now - aSentAt > aLoad.rule.deadline + kLateTolerance) {
      recordFault(aLoad, "late", "");
    }
    if (!aReply.ok) {
      if (!aReply.connected) {
        ++counts.outcomes["not-run"];
        ++counts.reasons["no connection"];
        return;
      }
      ++counts.outcomes["unknown"];
      ++counts.reasons["connection cut"];
      if (!m_allowCuts) {
        recordFault(aLoad, "cut", "");
      }
      return;
    }
    QueryAnswer answer;
    try {
      answer = parseAnswer(aReply.body);
    } catch (const std::exception& error) {
      ++counts.outcomes["unknown"];
      recordFault(aLoad, "malformed", error.what());
      return;
    }
    ++counts.outcomes[toString(answer.outcome)];
    if (answer.outcome != Outcome::Whole) {
      ++counts.reasons[answer.reason];
    }
    if (answer.outcome != Outcome::NotRun) {
      counts.answered += answer.coverage.answered;
      counts.total += answer.coverage.total;
      counts.latencyMs.push_back(
        std::chrono::duration<double, std::milli>(now - aDue).count());
    }
    static const std::map<Fault, const char*> kNames = {
      { Fault::Content, "content" },
      { Fault::Services, "services" },
      { Fault::Snapshot, "snapshot" },
    };
    const Fault found = checkAnswer(answer, aExpected);
    if (found != Fault::None) {
      recordFault(aLoad, kNames.at(found), answer.requestId);
    }
  }

  /// Counts a fault, and prints it if it is among the first kMaxFaultLines.
  void recordFault(ClassLoad& aLoad,
                   const char* aKind,
                   const std::string& aDetail)
  {
    ++aLoad.counts.faults[aKind];
    if (m_faultLines++ < kMaxFaultLines) {
      std::cerr << "load_driver: class=" << aLoad.rule.name
                << " fault=" << aKind << " request=" << aDetail << '\n';
    }
  }

  ServerStats readStats()
  {
    ServerStats stats;
    if (m_statsAddress.empty()) {
      return stats;
    }
    asio::io_context context;
    HttpPool pool(context);
    pool.send(m_statsAddress,
              HttpRequest(http::verb::get, "/stats", 11),
              kControlTimeout,
              [&stats](const HttpReply& aReply) {
                if (aReply.ok) {
                  stats = parseStats(aReply.body);
                }
              });
    context.run();
    if (stats.empty()) {
      throw std::runtime_error("the stand-ins' /stats returned no counters");
    }
    return stats;
  }

  /// @returns the number of backend requests that the answered queries of an
  ///          application needed
  std::int64_t neededRequests(const std::string& aApplication) const
  {
    std::int64_t sum = 0;
    for (const ClassLoad& load : m_loads) {
      if (load.rule.application == aApplication) {
        sum += static_cast<std::int64_t>(load.counts.total);
      }
    }
    return sum;
  }

  /// @returns the backend requests beyond those needed, in percent of those
  ///          needed; "-" when unknown
  std::string extraLoadText(const std::string& aApplication,
                            const ServerStats& aBefore,
                            const ServerStats& aAfter) const
  {
    const auto after = aAfter.find(aApplication);
    const std::int64_t needed = neededRequests(aApplication);
    if (after == aAfter.end() || needed == 0) {
      return "-";
    }
    const std::int64_t received =
      after->second.requests - aBefore.at(aApplication).requests;
    std::ostringstream out;
    out << std::fixed << std::setprecision(1)
        << 100.0 * static_cast<double>(received - needed) /
             static_cast<double>(needed)
        << '%';
    return out.str();
  }

  void printTable(const ServerStats& aBefore, const ServerStats& aAfter)
  {
    std::cout << std::left << std::setw(14) << "class" << std::right
              << std::setw(7) << "sent" << std::setw(8) << "p50" << std::setw(8)
              << "p99" << std::setw(8) << "p99.9" << std::setw(7) << "whole"
              << std::setw(8) << "partial" << std::setw(8) << "refused"
              << std::setw(8) << "unknown" << std::setw(10) << "coverage"
              << std::setw(8) << "extra" << std::setw(7) << "wrong" << '\n';
    for (ClassLoad& load : m_loads) {
      QueryCounts& counts = load.counts;
      std::uint64_t wrong = 0;
      for (const auto& entry : counts.faults) {
        wrong += entry.second;
      }
      std::cout << std::fixed << std::setprecision(1) << std::left
                << std::setw(14) << load.rule.name << std::right << std::setw(7)
                << counts.sent << std::setw(8)
                << percentile(counts.latencyMs, 0.5) << std::setw(8)
                << percentile(counts.latencyMs, 0.99) << std::setw(8)
                << percentile(counts.latencyMs, 0.999) << std::setw(7)
                << counts.outcomes["whole"] << std::setw(8)
                << counts.outcomes["partial"] << std::setw(8)
                << counts.outcomes["not-run"] << std::setw(8)
                << counts.outcomes["unknown"] << std::setw(9)
                << std::setprecision(3)
                << (counts.total == 0
                      ? 0.0
                      : 100.0 * static_cast<double>(counts.answered) /
                          static_cast<double>(counts.total))
                << '%' << std::setw(8)
                << extraLoadText(load.rule.application, aBefore, aAfter)
                << std::setw(7) << wrong << '\n';
    }
    std::cout << "latencies in ms from the due time; extra: backend requests "
                 "beyond those needed, by application\n"
              << std::setprecision(2) << "driver's own delay: p50 "
              << percentile(m_driverDelayMs, 0.5) << " ms, p99 "
              << percentile(m_driverDelayMs, 0.99) << " ms"
              << (m_ticketsUnsupported ? "; no ticket endpoint" : "") << '\n';
    for (const ClassLoad& load : m_loads) {
      for (const auto& [reason, count] : load.counts.reasons) {
        std::cout << load.rule.name << ": " << count << " x " << reason << '\n';
      }
    }
  }

  /// @returns true when anything was wrong
  bool printFaults(const ServerStats& aBefore, const ServerStats& aAfter)
  {
    bool wrong = false;
    for (const ClassLoad& load : m_loads) {
      for (const auto& [kind, count] : load.counts.faults) {
        std::cout << "WRONG " << load.rule.name << ' ' << kind << ": " << count
                  << '\n';
        wrong = true;
      }
    }
    const auto check = [&wrong](const std::string& aApplication,
                                const char* aWhat,
                                std::int64_t aCount) {
      if (aCount > 0) {
        std::cout << "WRONG servers of " << aApplication << ' ' << aWhat << ": "
                  << aCount << '\n';
        wrong = true;
      }
    };
    for (const auto& [application, after] : aAfter) {
      const ServerCounts& before = aBefore.at(application);
      check(application,
            "slot violations",
            after.slotViolations - before.slotViolations);
      check(application,
            "connection violations",
            after.connectionViolations - before.connectionViolations);
      check(application,
            "cold violations",
            after.coldViolations - before.coldViolations);
      check(application, "repeated attempts", after.repeated - before.repeated);
      const std::int64_t executed =
        after.requests - after.refused - before.requests + before.refused;
      check(application,
            "executions beyond one per request",
            allClassesIdempotent(application)
              ? 0
              : executed - possibleExecutions(application));
    }
    return wrong;
  }

  /// @returns true when no class of an application forbids repeated execution
  bool allClassesIdempotent(const std::string& aApplication) const
  {
    return std::none_of(
      m_loads.begin(), m_loads.end(), [&](const ClassLoad& aLoad) {
        return aLoad.rule.application == aApplication && !aLoad.rule.idempotent;
      });
  }

  /// @returns the number of queries of an application that may have been
  ///          executed, for the checks `true-refusal` and `at-most-once`
  std::int64_t possibleExecutions(const std::string& aApplication) const
  {
    std::int64_t sum = 0;
    for (const ClassLoad& load : m_loads) {
      if (load.rule.application == aApplication) {
        const auto refused = load.counts.outcomes.find("not-run");
        sum += static_cast<std::int64_t>(
          load.counts.sent -
          (refused == load.counts.outcomes.end() ? 0 : refused->second));
      }
    }
    return sum;
  }

  asio::io_context m_context;
  HttpPool m_pool;
  std::vector<std::string> m_entries;
  std::string m_statsAddress;
  std::mt19937_64 m_random;
  milliseconds m_duration;
  bool m_allowCuts;
  std::vector<ClassLoad> m_loads;
  std::vector<Site> m_sites;
  steady_clock::time_point m_start;
  std::size_t m_pendingQueries = 0;
  std::size_t m_faultLines = 0;
  bool m_ticketsUnsupported = false;
  std::vector<double> m_driverDelayMs;
};

} // namespace

int
main(int aCount, char** aValues)
{
  po::options_description options("load_driver");
  options.add_options()("help", "print this help")(
    "entry",
    po::value<std::vector<std::string>>()->required(),
    "address:port to ask for addresses first; may be repeated")(
    "rules", po::value<std::string>()->required(), "rules file of the system")(
    "load",
    po::value<std::vector<std::string>>()->required(),
    "CLASS:RATE in queries per second over all data centres; may be repeated")(
    "stats",
    po::value<std::string>()->default_value(""),
    "address:port of the backend stand-ins' control endpoint")(
    "seconds", po::value<double>()->default_value(10.0), "length of the run")(
    "seed", po::value<std::uint64_t>()->default_value(1), "random seed")(
    "allow-cuts",
    po::bool_switch(),
    "don't count cut connections as wrong, for runs that kill nodes");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    return Driver(values).run();
  } catch (const std::exception& error) {
    std::cerr << "load_driver: " << error.what() << '\n';
    return 2;
  }
}
