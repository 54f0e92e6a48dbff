#ifndef TOUCANRIDGE_ROUTING_P_H
#define TOUCANRIDGE_ROUTING_P_H

/// The published routes and backend servers, as the traffic code reads them.
/// Published objects are immutable; for each change, the control thread
/// publishes new ones as shared pointers.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock_p.h"
#include "http_server_p.h"

namespace toucanridge {

/// One of the services that a route's requests are distributed to.
struct RouteTarget
{
  std::string service;
  double weight = 1.0; ///< relative share of the requests
};

/// A rule of the published configuration: which requests it applies to and how
/// they are served.
struct Route
{
  std::string name;
  std::string host;   ///< of the request, without a port
  std::string prefix; ///< begins and ends with a slash
  bool idempotent = false;
  std::chrono::milliseconds timeLimit{ 10'000 }; ///< until the final answer
  std::chrono::milliseconds targetLatency{ 1000 };
  std::uint32_t priority = 0;       ///< 0 is the highest
  std::uint32_t maxAttempts = 1;    ///< servers that may run one request
  std::vector<RouteTarget> targets; ///< one of them serves a request
  std::vector<std::string> shards;  ///< if not empty, all serve a request
  std::uint32_t topRecords = 0;     ///< most records in a merged answer
  double minCoverage = 1.0; ///< share of the shards an answer needs, 0 to 1

  /// @returns true when requests are sent to all shards and the answers merged
  bool isGather() const { return !shards.empty(); }
  /// @returns a hash of the fields that a merged answer depends on; a peer with
  ///          another hash can't serve a part of the query
  std::uint64_t gatherHash() const;
};

/// The load that each server of a service accepts.
struct ServiceContract
{
  std::string name;
  std::uint32_t maxConnections = 8; ///< of one server, from all hosts together
  /// Requests a second that a cold server can handle; 0: no limit is stated.
  double coldRequestsPerSecond = 0.0;
};

/// The routes and service limits of one configuration.
class RoutingTable
{
public:
  RoutingTable() = default;
  /// @param[in] aVersion of the configuration that the routes come from
  RoutingTable(std::uint64_t aVersion,
               std::vector<Route> aRoutes,
               std::vector<ServiceContract> aServices,
               HttpLimits aLimits);
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;

  std::uint64_t version() const { return m_version; }
  const HttpLimits& limits() const { return m_limits; }
  const std::vector<Route>& routes() const { return m_routes; }
  /// @returns the host's route whose prefix is the longest match, or null
  const Route* find(std::string_view aHost, std::string_view aPath) const;
  /// @returns the service's contract, or null
  const ServiceContract* service(const std::string& aName) const;

private:
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, ServiceContract> m_services;
  HttpLimits m_limits;
  /// Routes of a host, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> m_byHost;
};

/// The published entry of a backend server.
struct BackendServer
{
  std::string id;
  std::string service;
  std::string address; ///< IPv4
  std::uint16_t port = 0;
  std::string dataCentre;
  bool draining = false;
  std::uint64_t startedMs = 0; ///< Unix time of its start, 0 if not published
  std::uint64_t sequence = 0;  ///< rises with each entry that it publishes
  std::uint32_t slots = 1;     ///< requests that it can run at once
  /// How much longer the server is cold, at the time the entry was written.
  std::chrono::milliseconds coldLeft{ 0 };
};

/// All published servers.
struct ServerCatalogue
{
  std::uint64_t revision = 0;
  std::vector<BackendServer> servers;
  std::set<std::string> evacuated; ///< data centres that get no new work
};

/// @param[in] aHost value of a Host header
/// @returns the value without its port
std::string_view
hostWithoutPort(std::string_view aHost);

} // namespace toucanridge

#endif // TOUCANRIDGE_ROUTING_P_H
