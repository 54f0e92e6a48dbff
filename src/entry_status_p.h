#ifndef TOUCANRIDGE_ENTRY_STATUS_P_H
#define TOUCANRIDGE_ENTRY_STATUS_P_H

/// Status report of a host that serves published routes, for operators: as JSON
/// on the status page, as tables in a terminal.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock_p.h"

namespace toucanridge {

/// One host of the fleet, as the reporting host sees it.
struct PeerStatus
{
  std::string host;
  std::string dataCentre;
  std::string state;
  std::uint64_t revision = 0; ///< of its copy of the platform's items
  bool entry = false;         ///< callers are directed to it
};

/// The control thread's part of the report, published with each view.
struct ControlReport
{
  std::string host;
  std::string dataCentre;
  bool ready = false;
  bool readsPlatform = false; ///< instead of following its peers
  bool readsFail = false;     ///< the last call to the platform failed; a
                              ///< single failure is enough
  std::uint64_t revision = 0; ///< of the copy of the platform's items
  TimePoint changedAt;        ///< when the copy last changed
  TimePoint startedAt;
  std::vector<PeerStatus> peers;
};

/// One backend server, as this host sees it.
struct ServerStatus
{
  std::string id;
  std::string service;
  std::string address; ///< "address:port"
  std::string dataCentre;
  std::string state; ///< ready, draining, evacuated, replaced or avoided
  bool cold = false;
  /// Requests a second that the server accepts from all hosts together; nothing
  /// when it states no limit.
  std::optional<double> limit;
  double slowness = 1.0;     ///< latency relative to other servers
  double failures = 0.0;     ///< share of requests that fail
  std::uint32_t running = 0; ///< attempts at this server
  std::size_t connections = 0;
  std::size_t waiting = 0; ///< requests that wait for a connection
};

/// One route of the configuration in force.
struct RouteStatus
{
  std::string name;
  std::string host;
  std::string prefix;
  std::size_t shards = 0;  ///< 0 for a route to one server
  std::size_t lacking = 0; ///< services without a usable server
  double admission = 1.0;  ///< share of the queries that is admitted
};

/// The traffic thread's part of the report.
struct TrafficReport
{
  std::uint64_t version = 0; ///< of the configuration in force
  std::size_t running = 0;   ///< queries of callers and peers
  std::vector<RouteStatus> routes;
  std::vector<ServerStatus> servers;
};

/// @param[in] aControl may be null before the first view
/// @returns JSON text
std::string
renderEntryStatus(const std::shared_ptr<const ControlReport>& aControl,
                  const TrafficReport& aTraffic,
                  TimePoint aNow);

/// @param[in] aStatus JSON text of renderEntryStatus()
/// @returns tables for a terminal
std::string
entryStatusTable(const std::string& aStatus);

} // namespace toucanridge

#endif // TOUCANRIDGE_ENTRY_STATUS_P_H
