#ifndef TOUCANRIDGE_SERVER_TABLE_P_H
#define TOUCANRIDGE_SERVER_TABLE_P_H

/// The backend servers that requests are sent to, each with its connection pool
/// and measured health. Used only on the traffic thread.

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "clock_p.h"
#include "cold_limit_p.h"
#include "entry_status_p.h"
#include "http_client_p.h"
#include "rate_share_p.h"
#include "routing_p.h"
#include "server_health_p.h"
#include "server_reach_p.h"
#include "stated_limit_p.h"

namespace toucanridge {

/// One backend server.
struct ServerEntry
{
  BackendServer server;
  std::shared_ptr<HttpPool> pool;
  ServerHealth health;
  ColdLimit coldLimit;
  StatedLimit statedLimit;
  std::uint32_t running = 0; ///< this host's running attempts at the server
  bool replaced = false;     ///< another server answers at its address
  bool leaving = false;      ///< its answers say that it leaves
  TimePoint refusesUntil;    ///< as its latest refusal states

  /// @returns true when the server may get requests of this host
  bool takesRequests(TimePoint aNow) const
  {
    return !replaced && !leaving && aNow >= refusesUntil;
  }
};
using ServerEntryPtr = std::shared_ptr<ServerEntry>;

class ServerTable
{
public:
  /// @param[in] aConnections that may be open to all servers together; the
  ///            first one to each server isn't limited
  ServerTable(
    boost::asio::io_context& aContext,
    const ClockI& aClock,
    std::string aHost,
    std::string aDataCentre,
    std::size_t aConnections = std::numeric_limits<std::size_t>::max());

  /// Replaces the servers by the published ones. A server that is still the
  /// same instance keeps its connections and health.
  void update(const ServerCatalogue& aCatalogue, const RoutingTable& aRouting);
  /// Connections and limits are divided anew with the next update().
  /// @param[in] aSharingHosts the hosts that share the servers' connections and
  ///            limits
  void setSharingHosts(SharingHosts aSharingHosts)
  {
    m_sharingHosts = std::move(aSharingHosts);
  }
  /// Sets this host's share of the limit that a server states.
  void updateStatedShare(ServerEntry& aEntry) const;

  /// Opens a connection to each server in this host's data centre that has
  /// none, unless this host has no share. To be repeated, as servers close idle
  /// connections.
  void openConnections();
  /// Opens connections to a few servers, to find out whether the path to the
  /// servers is back.
  void probeServers();
  /// Closes the connections without a request. Those that a network fault has
  /// cut off may stay silent after its end.
  void closeIdleConnections();
  /// @returns true when the service has servers that may get new work and this
  ///          host reached none of them lately
  bool isUnreachable(const std::string& aService) const;
  ServerReach& reach() { return m_reach; }
  const ServerReach& reach() const { return m_reach; }
  /// @returns servers of a service that may get new work
  const std::vector<ServerEntryPtr>& usable(const std::string& aService) const;
  /// @returns true for a server in this host's data centre
  bool isInSameDataCentre(const BackendServer& aServer) const
  {
    return aServer.dataCentre == m_dataCentre;
  }
  /// @returns the state of every published server
  std::vector<ServerStatus> status() const;
  /// @returns connections opened to servers since the start
  std::uint64_t connectionsOpened() const;
  /// @returns number of servers that state a request limit
  std::size_t limitedServers() const;

private:
  double ownShare(const ServerEntry& aEntry, double aPerSecond) const;
  /// Sets this host's share of the rate that a server accepts while it is cold.
  void updateColdShare(ServerEntry& aEntry,
                       const ServiceContract* aContract) const;
  std::size_t connectionShare(const RoutingTable& aRouting,
                              const std::string& aService) const;

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  const std::string m_host;
  const std::string m_dataCentre;
  const HttpClientSettings m_clientSettings;
  ServerReach m_reach;
  std::size_t m_nextProbe = 0; ///< position in m_servers
  SharingHosts m_sharingHosts;
  std::map<std::string, ServerEntryPtr> m_servers;             ///< by id
  std::map<std::string, std::vector<ServerEntryPtr>> m_usable; ///< by service
  std::set<std::string> m_evacuated; ///< data centres that get no new work
  std::vector<ServerEntryPtr> m_noServers;  ///< always empty
  std::uint64_t m_openedByRetiredPools = 0; ///< connections
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SERVER_TABLE_P_H
