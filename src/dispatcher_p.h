#ifndef TOUCANRIDGE_DISPATCHER_P_H
#define TOUCANRIDGE_DISPATCHER_P_H

/// Sends single attempts of requests to backend servers: chooses the server,
/// spends the budgets, learns from the result.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "answer_timing_p.h"
#include "clock_p.h"
#include "log_limit_p.h"
#include "server_table_p.h"
#include "shared_budget_p.h"
#include "traffic_protocol_p.h"

namespace toucanridge {

enum class AttemptEnd : std::uint8_t
{
  Good,
  Failed,      ///< the server answered with a failure
  Lost,        ///< no answer; the request may have run
  NotRun,      ///< the server says that it didn't run
  Unreachable, ///< nothing was sent
};

/// @returns "good", "failed", "lost", "not-run" or "unreachable"
const char*
toString(AttemptEnd aEnd) noexcept;

/// @returns true when the server may have run the request
constexpr bool
mayHaveRun(AttemptEnd aEnd)
{
  return aEnd != AttemptEnd::NotRun && aEnd != AttemptEnd::Unreachable;
}

struct AttemptResult
{
  AttemptEnd end = AttemptEnd::Unreachable;
  HttpResponse response; ///< when good or failed
  ServerAnswer answer;   ///< when good or failed
  std::string server;    ///< id
  const char* reason = "";
};

/// Whether an attempt counts against the budget of extra load.
enum class AttemptKind : std::uint8_t
{
  First, ///< of a request at a service
  Extra, ///< hedge or retry
};

/// Servers among which an attempt may choose. A shard that two hosts may ask
/// for one request has the same few servers at both, so that together they
/// stay within the servers that may run it.
struct ServerScope
{
  std::string dataCentre; ///< whose servers come first; empty: all servers
};

/// A request as all its attempts see it. Kept alive by the query.
struct AttemptOrder
{
  const HttpRequest& request;
  const CallerTerms& terms;
  const Route& route;
  RouteTiming& timing;
  TimePoint deadline; ///< until which servers may work on it
};

/// One attempt at one server.
class Attempt
{
public:
  TimePoint sentAt() const { return m_sentAt; }
  const std::string& server() const { return m_entry->server.id; }
  /// @returns time from the send to the end, zero while it runs
  Duration latency() const { return m_latency; }
  /// Gives the attempt up; its callback isn't called any more.
  /// @param[in] aUsual latency of the same request elsewhere, zero if unknown
  void cancel(Duration aUsual = Duration(0));
  /// Learns from a good answer how fast the server is.
  /// @param[in] aRatio its latency divided by that of the same request
  /// elsewhere
  void learn(double aRatio);

private:
  friend class Dispatcher;

  const ClockI* m_clock = nullptr;
  RouteTiming* m_timing = nullptr;
  ServerEntryPtr m_entry;
  HttpTicketPtr m_ticket;
  std::string m_requestId;
  TimePoint m_sentAt;
  Duration m_latency{ 0 };
  bool m_running = false;
};
using AttemptPtr = std::shared_ptr<Attempt>;

struct DispatcherCounters
{
  std::uint64_t first = 0;    ///< first attempts at a service
  std::uint64_t extra = 0;    ///< hedges and retries
  std::uint64_t denied = 0;   ///< extra attempts that the budget refused
  std::uint64_t ends[5] = {}; ///< by AttemptEnd
};

class Dispatcher
{
public:
  using Done = std::function<void(AttemptResult)>;

  Dispatcher(const ClockI& aClock,
             std::uint64_t aSeed,
             const TrafficProtocolI& aProtocol,
             ServerTable& aServers,
             const BudgetLimit& aBudget);

  /// A request for the service arrived; it earns budget for extra attempts.
  void onRequest(const std::string& aService);
  /// Sends one attempt.
  /// @param[in] aTried ids of the servers that had the request
  /// @returns null when no other server is usable or the budget is spent
  AttemptPtr send(const AttemptOrder& aOrder,
                  const std::string& aService,
                  const std::vector<std::string>& aTried,
                  AttemptKind aKind,
                  const ServerScope& aScope,
                  Done aDone);
  /// @returns data centres with a server of the service that may get work and
  ///          isn't known to fail
  std::set<std::string> centresOf(const std::string& aService) const;
  /// @param[in] aSharers hosts that divide the budgets, 0 when this one has no
  ///            share
  void setSharers(std::size_t aSharers);
  const DispatcherCounters& counters() const { return m_counters; }

private:
  ServerEntryPtr choose(const std::vector<ServerEntryPtr>& aServers,
                        const std::vector<std::string>& aTried);
  AttemptPtr sendTo(const AttemptOrder& aOrder,
                    const ServerEntryPtr& aEntry,
                    Done aDone);
  void logFailure(const Attempt& aAttempt, const AttemptResult& aResult);
  AttemptResult conclude(Attempt& aAttempt, ExchangeResult aResult);
  SharedBudget& budget(const std::string& aService);

  const ClockI& m_clock;
  std::mt19937_64 m_random;
  const TrafficProtocolI& m_protocol;
  ServerTable& m_servers;
  const BudgetLimit m_limit;
  const TimePoint m_started;
  std::size_t m_sharers = 0;
  std::map<std::string, SharedBudget> m_budgets; ///< by service
  DispatcherCounters m_counters;
  LogLimit m_failureLines;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_DISPATCHER_P_H
