#ifndef TOUCANRIDGE_RELAY_WORKER_P_H
#define TOUCANRIDGE_RELAY_WORKER_P_H

/// Server side of relays: runs parts of peers' queries.

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
  /// A route and the configuration that it was found in; all null when none of
  /// the configurations that this host holds has it.
  struct FoundRoute
  {
    std::shared_ptr<const RoutingTable> routing;
    const Route* route = nullptr;
    std::shared_ptr<RouteTiming> timing;
  };
  /// Finds a route by its name and its Route::gatherHash().
  using FindRoute = std::function<FoundRoute(const std::string& aRoute,
                                             std::uint64_t aGatherHash)>;

  /// @param[in] aBudget counts the requests that peers make this host hold;
  ///            null: no limit
  RelayWorker(const QueryDependencies& aDeps,
              FindRoute aFindRoute,
              std::shared_ptr<BufferBudget> aBudget);
  ~RelayWorker();

  /// Handles a RelayQuery message from a peer.
  void onQuery(const std::string& aHost,
               const std::string& aPayload,
               const PeerLinks::Reply& aReply);
  /// Handles a RelayCancel message from a peer.
  void onCancel(const std::string& aHost, const std::string& aPayload);
  /// @returns the number of running queries
  std::size_t running() const { return m_running.size(); }

private:
  friend class RelayedQuery;
  using Key = std::pair<std::string, std::uint64_t>; ///< peer, relay id

  void remove(const Key& aKey);
  void refuse(const std::string& aHost,
              const RelayQuery& aQuery,
              const char* aReason,
              const PeerLinks::Reply& aReply);

  QueryDependencies m_deps;
  FindRoute m_findRoute;
  const std::shared_ptr<BufferBudget> m_budget;
  std::map<Key, std::shared_ptr<RelayedQuery>> m_running;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_RELAY_WORKER_P_H
