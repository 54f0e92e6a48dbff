#ifndef TOUCANRIDGE_QUERY_CONTEXT_P_H
#define TOUCANRIDGE_QUERY_CONTEXT_P_H

/// What every kind of query on a route needs.

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "admission_p.h"
#include "answer_timing_p.h"
#include "dispatcher_p.h"
#include "http_server_p.h"
#include "relay_client_p.h"
#include "routing_p.h"
#include "traffic_metrics_p.h"
#include "traffic_protocol_p.h"

namespace toucanridge {

/// The long-lived objects that queries use.
struct QueryServices
{
  boost::asio::io_context& context;
  const ClockI& clock;
  const TrafficProtocolI& protocol;
  Dispatcher& dispatcher;
  RelayClient& relays;
  const std::string& dataCentre; ///< of this host
  TrafficMetrics& metrics;
};

/// One caller's request and the configuration that governs it to its end.
struct QueryContext
{
  HttpExchangePtr exchange;
  CallerTerms terms;
  std::shared_ptr<const RoutingTable> routing;
  const Route* route = nullptr; ///< owned by routing
  std::shared_ptr<RouteTiming> timing;
  std::shared_ptr<Admission> admission; ///< of a query over shards
  QuerySchedule schedule;
  TimePoint deadline; ///< the caller's

  AttemptOrder order() const
  {
    return { exchange->request(), terms, *route, *timing, deadline };
  }
};

/// Counts a request's answer and writes the line that explains it.
/// @param[in] aStatus of the answer, 0 when the caller left before it
void
recordAnswer(const QueryServices& aServices,
             const QueryContext& aQuery,
             unsigned aStatus,
             const char* aReason,
             const std::string& aDetails);

/// @returns why a query ended without an answer of its own
/// @param[in] aStatus of the answer that the server gave, 0 for none
inline const char*
abandonReason(unsigned aStatus)
{
  return aStatus == 0 ? "caller left" : "host stops";
}

/// Time after which a refused caller should come back: long enough for a short
/// overload to pass, short enough to leave it time for the second try.
constexpr std::chrono::milliseconds kRetryAfter{ 200 };

} // namespace toucanridge

#endif // TOUCANRIDGE_QUERY_CONTEXT_P_H
