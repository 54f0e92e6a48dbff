#ifndef TOUCANRIDGE_QUERY_CONTEXT_P_H
#define TOUCANRIDGE_QUERY_CONTEXT_P_H

/// The state and functions that all kinds of queries on a route share.

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "admission_p.h"
#include "answer_timing_p.h"
#include "dispatcher_p.h"
#include "forward_client_p.h"
#include "http_server_p.h"
#include "relay_client_p.h"
#include "routing_p.h"
#include "traffic_metrics_p.h"
#include "traffic_protocol_p.h"

namespace toucanridge {

/// The long-lived objects that queries use.
struct QueryDependencies
{
  boost::asio::io_context& context;
  const ClockI& clock;
  const TrafficProtocolI& protocol;
  Dispatcher& dispatcher;
  RelayClient& relays;
  ForwardClient& forwards;
  const std::string& dataCentre; ///< of this host
  TrafficMetrics& metrics;
  Quarantine& quarantine;
};

/// One caller's request and the configuration that applies until its end, also
/// when a new one is published in between.
struct QueryContext
{
  HttpExchangePtr exchange;
  CallerHeaders callerHeaders;
  std::shared_ptr<const RoutingTable> routing;
  const Route* route = nullptr; ///< owned by routing
  std::shared_ptr<RouteTiming> timing;
  std::shared_ptr<Admission> admission; ///< only for a query over shards
  QuerySchedule schedule;
  TimePoint deadline; ///< until which the caller waits
  std::shared_ptr<RequestLosses> losses;
  /// The request is suspected of crashing servers: only one may get it.
  bool isTrial = false;

  /// @returns what the query's attempts need; refers to this object
  AttemptParams attemptParams() const
  {
    return { exchange->sharedRequest(),
             callerHeaders,
             *route,
             *timing,
             deadline,
             losses };
  }
};

/// @returns the count of the servers lost by a caller's attempt
std::shared_ptr<RequestLosses>
makeLosses(Quarantine& aQuarantine,
           const HttpRequest& aRequest,
           const CallerHeaders& aCallerHeaders);

/// Counts a request's answer in the metrics and writes its log line.
/// @param[in] aStatus of the answer, 0 when the caller left before it
/// @param[in] aReason the outcome, as in the log line and the metrics
/// @param[in] aDetails servers or parts of the answer, for the log line
void
recordAnswer(const QueryDependencies& aDeps,
             const QueryContext& aQuery,
             unsigned aStatus,
             const char* aReason,
             const std::string& aDetails);

/// @param[in] aStatus of the answer that the HTTP server sent in place of the
///            query's own, 0 when the caller left
/// @returns the reason to record for a query that was abandoned
inline const char*
abandonReason(unsigned aStatus)
{
  return aStatus == 0 ? "caller left" : "host stops";
}

/// Time after which a refused caller should retry: long enough for a short
/// overload to end, short enough to leave time for the retry.
constexpr std::chrono::milliseconds kRetryAfter{ 200 };

} // namespace toucanridge

#endif // TOUCANRIDGE_QUERY_CONTEXT_P_H
