#ifndef TOUCANRIDGE_ROUTING_P_H
#define TOUCANRIDGE_ROUTING_P_H

/// The published routes and backend servers, as traffic reads them. Immutable;
/// the control thread publishes new ones as shared pointers.

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

/// One of the services among which a route's requests are divided.
struct RouteTarget
{
  std::string service;
  double weight = 1.0;
};

/// Requests that one rule of the published configuration governs.
struct Route
{
  std::string name;
  std::string host;   ///< of the request, without a port
  std::string prefix; ///< begins and ends with a slash
  bool idempotent = false;
  std::chrono::milliseconds timeLimit{ 10'000 }; ///< until the final answer
  std::chrono::milliseconds aim{ 1000 };         ///< answers should take less
  std::uint32_t priority = 0;                    ///< 0 is the highest
  std::uint32_t maxAttempts = 1;    ///< servers that may run one request
  std::vector<RouteTarget> targets; ///< one of them serves a request
  std::vector<std::string> shards;  ///< or all of these do
  std::uint32_t topRecords = 0;     ///< records in a merged answer
  double minCoverage = 1.0;         ///< least share of the shards, 0 to 1

  bool isGather() const { return !shards.empty(); }
  /// @returns a hash of what the merged answer depends on
  std::uint64_t gatherHash() const;
};

/// What a service's servers bear.
struct ServiceContract
{
  std::string name;
  std::uint32_t maxConnections = 8; ///< of one server, from all hosts together
  /// Requests a second that a cold server bears; 0 when none is stated.
  double coldPerSecond = 0.0;
};

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
  /// @returns the route with the longest prefix of the path, or null
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

/// A backend server as it is published.
struct BackendServer
{
  std::string id;
  std::string service;
  std::string address; ///< IPv4
  std::uint16_t port = 0;
  std::string dataCentre;
  bool draining = false;
  std::uint64_t startedMs = 0; ///< unix time of its start, 0 when not told
  std::uint32_t slots = 1;
  std::chrono::milliseconds coldLeft{ 0 }; ///< when the entry was written
};

/// All published servers.
struct ServerCatalogue
{
  std::uint64_t revision = 0;
  std::vector<BackendServer> servers;
  std::set<std::string> evacuated; ///< data centres that get nothing new
};

/// Removes a port from the value of a Host header.
std::string_view
hostWithoutPort(std::string_view aHost);

} // namespace toucanridge

#endif // TOUCANRIDGE_ROUTING_P_H
