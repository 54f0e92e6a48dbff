#ifndef TOUCANRIDGE_DISPATCHER_P_H
#define TOUCANRIDGE_DISPATCHER_P_H

/// Sends single attempts of requests to backend servers: chooses the server,
/// charges the budget for extra attempts and updates the server's health.

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
#include "request_losses_p.h"
#include "server_table_p.h"
#include "shared_budget_p.h"
#include "traffic_protocol_p.h"

namespace toucanridge {

enum class AttemptEnd : std::uint8_t
{
  Good,   ///< the server answered with success
  Failed, ///< the server answered with a failure
  Lost,   ///< no answer; the request may have run
  /// The server reports that it didn't run the request, or another server
  /// answered.
  NotRun,
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
  HttpResponse response;   ///< when good, failed or not run
  ServerAnswer answer;     ///< when good, failed or not run
  std::string server;      ///< id
  const char* reason = ""; ///< of a failure, for the log
};

/// Whether an attempt counts against the budget of extra attempts.
enum class AttemptKind : std::uint8_t
{
  First, ///< the first attempt of a request at a service
  Extra, ///< a hedge or retry
};

/// The servers that an attempt may choose from. When two hosts may query the
/// same shard for one request, both get the same scope and thus the same
/// servers, so that together they don't exceed the route's limit on the servers
/// that may run a request.
struct ServerScope
{
  /// With a preferred data centre, the scope is the first `Route::maxAttempts`
  /// usable servers of the service: those of that data centre first, then the
  /// others, in hash order. Empty: all usable servers.
  std::string preferredDataCentre;
};

/// What all attempts of a request have in common. The query keeps the
/// referenced objects alive.
struct AttemptParams
{
  HttpRequestPtr request;
  const CallerHeaders& callerHeaders;
  const Route& route;
  RouteTiming& timing;
  TimePoint deadline; ///< until which servers may work on the request
  std::shared_ptr<RequestLosses> losses; ///< null: losses aren't counted
};

/// One attempt at one server.
class Attempt
{
public:
  TimePoint sentAt() const { return m_sentAt; }
  const std::string& server() const { return m_entry->server.id; }
  /// @returns time from sending the attempt to its result, zero while it runs
  Duration latency() const { return m_latency; }
  /// Cancels the attempt; its callback won't be called.
  /// @param[in] aTypical typical latency of the same request at other servers,
  ///            zero if unknown
  void cancel(Duration aTypical = Duration(0));
  /// Records in the server's health that the attempt takes too long.
  void reportOverdue();
  /// Takes note that the server hasn't answered yet, which is not unusual.
  void reportSilent() { m_reach->onNoAnswer(m_entry->server.id); }
  /// Records in the server's health how fast it gave a good answer.
  /// @param[in] aRatio latency divided by the typical latency of the same
  ///            request
  void recordLatency(double aRatio);

private:
  friend class Dispatcher;

  const ClockI* m_clock = nullptr;
  RouteTiming* m_timing = nullptr;
  ServerReach* m_reach = nullptr;
  std::shared_ptr<RequestLosses> m_losses;
  ServerEntryPtr m_entry;
  HttpPendingCallPtr m_pendingCall;
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

/// Sends the attempts of all queries and counts them.
class Dispatcher
{
public:
  using Done = std::function<void(AttemptResult)>;

  Dispatcher(const ClockI& aClock,
             std::uint64_t aSeed,
             const TrafficProtocolI& aProtocol,
             ServerTable& aServers,
             const BudgetLimit& aBudget);

  /// Counts a request for the service towards its budget of extra attempts.
  void onRequest(const std::string& aService);
  /// Sends one attempt.
  /// @param[in] aTried ids of the servers that were sent the request already
  /// @returns null when no other server is usable or the budget is spent
  AttemptPtr send(const AttemptParams& aParams,
                  const std::string& aService,
                  const std::vector<std::string>& aTried,
                  AttemptKind aKind,
                  const ServerScope& aScope,
                  Done aDone);
  /// @returns data centres with a server of the service that may get new work
  ///          and isn't known to be unreachable or replaced
  std::set<std::string> dataCentresOf(const std::string& aService) const;
  /// @returns true when this host's data centre is among dataCentresOf()
  bool isLocal(const std::string& aService) const;
  /// @param[in] aService the service chosen from the route's targets; not used
  ///            for a route over shards
  /// @returns true when this host can reach enough servers for an answer, as
  /// far
  ///          as it knows
  bool canReach(const Route& aRoute, const std::string& aService) const;
  /// @param[in] aSharingHosts number of hosts that share the budgets equally, 0
  ///            when this host has no share
  void setSharingHosts(std::size_t aSharingHosts);
  const DispatcherCounters& counters() const { return m_counters; }

private:
  ServerEntryPtr choose(const std::vector<ServerEntryPtr>& aServers,
                        const std::vector<std::string>& aTried);
  AttemptPtr sendTo(const AttemptParams& aParams,
                    const ServerEntryPtr& aEntry,
                    AttemptKind aKind,
                    Done aDone);
  void recordLimit(ServerEntry& aEntry, const ServerAnswer& aAnswer);
  void recordRefusal(ServerEntry& aEntry, const ServerAnswer& aAnswer);
  void logFailure(const Attempt& aAttempt, const AttemptResult& aResult);
  AttemptResult recordResult(Attempt& aAttempt, ExchangeResult aResult);
  SharedBudget& budget(const std::string& aService);

  const ClockI& m_clock;
  std::mt19937_64 m_random;
  const TrafficProtocolI& m_protocol;
  ServerTable& m_servers;
  const BudgetLimit m_budgetLimit;
  const TimePoint m_started;
  std::size_t m_sharingHosts = 0;
  std::map<std::string, SharedBudget> m_budgets; ///< by service
  DispatcherCounters m_counters;
  LogRateLimiter m_failureLogLimit;
  LogRateLimiter m_limitLogLimit;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_DISPATCHER_P_H
