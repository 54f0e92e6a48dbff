#ifndef TOUCANRIDGE_TRAFFIC_P_H
#define TOUCANRIDGE_TRAFFIC_P_H

/// The traffic thread's part of a host that serves published routes: receives
/// callers' requests, matches them to routes, runs the queries.

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "buffer_budget_p.h"
#include "client_limits_p.h"
#include "dispatcher_p.h"
#include "entry_status_p.h"
#include "forward_client_p.h"
#include "http_server_p.h"
#include "peer_link_p.h"
#include "query_context_p.h"
#include "relay_client_p.h"
#include "relay_worker_p.h"
#include "routing_p.h"
#include "server_table_p.h"
#include "traffic_protocol_p.h"
#include "weighted_choice_p.h"

namespace toucanridge {

/// Snapshot of the control thread's state that the traffic thread works with.
struct TrafficView
{
  std::shared_ptr<const RoutingTable> routing;      ///< may be null
  std::shared_ptr<const ServerCatalogue> catalogue; ///< may be null
  std::size_t entryHostCount = 0; ///< hosts to which callers are directed
  bool isEntry = false;           ///< this host is one of them
  std::vector<Host> peers;        ///< the other entry hosts
  std::shared_ptr<const ControlReport> control; ///< for the status page
};

struct TrafficSettings
{
  std::string host;
  std::string address;
  std::uint16_t port = 0; ///< for callers
  std::uint16_t relayPort = 0;
  std::uint16_t forwardPort = 0; ///< for requests that peers forward
  std::uint16_t metricsPort = 0;
  std::string dataCentre;
  BudgetLimit budget;
  ClientLimits limits = divideClientLimits({});
  /// Counts what clients and peers make this host hold; null: no limit.
  std::shared_ptr<BufferBudget> clientBudget;
  /// Differs at each start. Sent to peers as the incarnation, base of the relay
  /// numbers and seed of random choices.
  std::uint64_t seed = 0;
};

class Traffic
{
public:
  Traffic(boost::asio::io_context& aContext,
          const ClockI& aClock,
          const TrafficProtocolI& aProtocol,
          const TrafficSettings& aSettings,
          Quarantine& aQuarantine);

  /// Listens for callers, peers and page requests.
  /// @returns an error when an address other than that of the pages can't be
  ///          bound
  std::error_code init();
  /// Applies a newer view.
  void setView(const TrafficView& aView);
  HttpServer& server() { return m_server; }
  /// Starts to leave: each connection is closed after its next answer, and each
  /// new query ends at aAnswerBy at the latest.
  void leave(TimePoint aAnswerBy);
  /// @returns requests of callers and peers that have no answer yet
  std::size_t running() const
  {
    return m_server.running() + m_forwardServer.running() +
           m_relayWorker.running();
  }
  void shutdown();
  /// @returns the number of callers' running queries when the latest request
  ///          arrived; thread-safe
  std::uint32_t load() const { return m_load; }
  const Dispatcher& dispatcher() const { return m_dispatcher; }
  const ServerTable& servers() const { return m_servers; }

private:
  /// State of a route that is kept across configuration versions, as long as
  /// the route's name and time limit stay the same.
  struct RouteState
  {
    std::shared_ptr<RouteTiming> timing;
    WeightedChoice targetChoice;
    std::chrono::milliseconds timeLimit{ 0 };
  };

  /// Has servers answer a query.
  /// @param[in] aService chosen from the route's targets; empty for a query
  ///            over shards
  void runQuery(QueryContext aQuery, const std::string& aService);
  /// Has a peer answer a query. A query that a peer has forwarded is refused.
  void forward(QueryContext aQuery, bool aFromPeer);
  /// Refuses a query that no server got.
  void refuse(const QueryContext& aQuery,
              Duration aRetryAfter,
              const char* aReason,
              const std::string& aDetails);
  const Route* matchRoute(const HttpRequest& aRequest) const;
  HttpServerResources serverResources() const;
  /// @param[in] aLimits of the configuration
  void setCallerLimits(HttpLimits aLimits);
  /// @returns false when there is no room for what the query's attempts need
  bool reserveCopies(const HttpExchangePtr& aExchange,
                     const Route& aRoute) const;
  void startQuery(const HttpExchangePtr& aExchange,
                  const Route& aRoute,
                  bool aFromPeer);
  void onRequest(const HttpExchangePtr& aExchange);
  /// Handles a request that a peer can't answer itself.
  void onForwarded(const HttpExchangePtr& aExchange);
  /// Notices that the path to the servers is lost or back, and probes for it
  /// meanwhile.
  void watchReach();
  /// Finds a route in the kept configuration versions, newest first.
  RelayWorker::FoundRoute findRoute(const std::string& aRoute,
                                    std::uint64_t aGatherHash);
  /// Opens missing connections to servers, now and at a fixed interval.
  void keepConnected();
  std::string metricsText();
  TrafficReport makeReport() const;
  void onPageRequest(const HttpExchangePtr& aExchange);
  /// Creates the state when there is none.
  RouteState& stateOf(const Route& aRoute);
  /// @returns null when no query of the route's shards has arrived yet
  std::shared_ptr<Admission> findAdmission(const Route& aRoute) const;
  /// Creates the admission when there is none.
  const std::shared_ptr<Admission>& admissionOf(const Route& aRoute);
  /// Drops state of routes that are gone from the configuration or whose time
  /// limit changed.
  void dropUnusedRouteState();

  const ClockI& m_clock;
  const TrafficProtocolI& m_protocol;
  const TrafficSettings m_settings;
  ServerTable m_servers;
  Dispatcher m_dispatcher;
  PeerLinks m_links;
  RelayClient m_relayClient;
  ForwardClient m_forwardClient;
  TrafficMetrics m_metrics;
  QueryDependencies m_deps;
  RelayWorker m_relayWorker;
  HttpServer m_server;
  HttpServer m_forwardServer; ///< for peers without a path to the servers
  HttpServer m_pageServer;    ///< metrics and status
  /// Recent configuration versions, newest last. A peer may be a few versions
  /// behind or ahead.
  std::deque<std::shared_ptr<const RoutingTable>> m_versions;
  TrafficView m_view;
  boost::asio::steady_timer m_connectTimer;
  boost::asio::steady_timer m_reachTimer;
  bool m_reachLost = false; ///< as last noticed
  TimePoint m_answerBy = TimePoint::max();
  std::atomic<std::uint32_t> m_load{ 0 };
  std::map<std::string, RouteState> m_routes; ///< by name
  /// By name of the first shard, as several routes may share their shards.
  std::map<std::string, std::shared_ptr<Admission>> m_admissions;
  std::mt19937_64 m_random;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TRAFFIC_P_H
