#ifndef TOUCANRIDGE_SERVER_TABLE_P_H
#define TOUCANRIDGE_SERVER_TABLE_P_H

/// The backend servers that traffic uses, each with its connections and what
/// was learnt of it. Belongs to the traffic thread.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "clock_p.h"
#include "cold_limit_p.h"
#include "entry_status_p.h"
#include "http_client_p.h"
#include "routing_p.h"
#include "server_health_p.h"

namespace toucanridge {

/// One backend server.
struct ServerEntry
{
  BackendServer server;
  std::shared_ptr<HttpPool> pool;
  ServerHealth health;
  ColdLimit cold;
  std::uint32_t running = 0; ///< attempts at it
  bool replaced = false;     ///< its address answers as another server
};
using ServerEntryPtr = std::shared_ptr<ServerEntry>;

class ServerTable
{
public:
  ServerTable(boost::asio::io_context& aContext,
              const ClockI& aClock,
              std::string aDataCentre);

  /// Takes the published servers; keeps what is known of those that stay.
  void update(const ServerCatalogue& aCatalogue, const RoutingTable& aRouting);
  /// @param[in] aSharers hosts that divide the servers' connections and limits,
  ///            0 when this one has no share
  void setSharers(std::size_t aSharers) { m_sharers = aSharers; }

  /// Opens a connection to each near server that has none, when this host has a
  /// share. Servers close connections that are idle.
  void warm();
  /// @returns servers of a service that may get new work
  const std::vector<ServerEntryPtr>& usable(const std::string& aService) const;
  bool isNear(const BackendServer& aServer) const
  {
    return aServer.dataCentre == m_dataCentre;
  }
  /// @returns every published server
  std::vector<ServerStatus> status() const;
  /// @returns connections opened to servers since the start
  std::uint64_t connectionsOpened() const;

private:
  std::size_t connectionShare(const RoutingTable& aRouting,
                              const std::string& aService) const;

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  const std::string m_dataCentre;
  std::size_t m_sharers = 0;
  std::map<std::string, ServerEntryPtr> m_servers; ///< by id
  std::map<std::string, std::vector<ServerEntryPtr>> m_usable;
  std::set<std::string> m_evacuated; ///< data centres
  std::vector<ServerEntryPtr> m_none;
  std::uint64_t m_openedBefore = 0; ///< by pools that are gone
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SERVER_TABLE_P_H
