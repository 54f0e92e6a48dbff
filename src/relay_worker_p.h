#ifndef TOUCANRIDGE_RELAY_WORKER_P_H
#define TOUCANRIDGE_RELAY_WORKER_P_H

/// The working side of relays: runs parts of peers' queries.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "peer_link_p.h"
#include "query_context_p.h"
#include "relay_wire_p.h"

namespace toucanridge {

class RelayedQuery;

class RelayWorker
{
public:
  /// A route as a configuration that this host holds has it, or nulls.
  struct FoundRoute
  {
    std::shared_ptr<const RoutingTable> routing;
    const Route* route = nullptr;
    std::shared_ptr<RouteTiming> timing;
  };
  using FindRoute = std::function<FoundRoute(const std::string& aRoute,
                                             std::uint64_t aGatherHash)>;

  RelayWorker(const QueryServices& aServices, FindRoute aFindRoute);
  ~RelayWorker();

  void onQuery(const std::string& aHost,
               const std::string& aPayload,
               const PeerLinks::Reply& aReply);
  void onCancel(const std::string& aHost, const std::string& aPayload);
  std::size_t running() const { return m_running.size(); }

private:
  friend class RelayedQuery;
  using Key = std::pair<std::string, std::uint64_t>; ///< peer and number

  void ended(const Key& aKey);

  QueryServices m_services;
  FindRoute m_findRoute;
  std::map<Key, std::shared_ptr<RelayedQuery>> m_running;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_RELAY_WORKER_P_H
