#ifndef TOUCANRIDGE_TRAFFIC_P_H
#define TOUCANRIDGE_TRAFFIC_P_H

/// The traffic thread's part of a host that serves published routes: takes
/// callers' requests, finds the route, runs the query.

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

#include "dispatcher_p.h"
#include "entry_status_p.h"
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

/// What the control thread publishes to traffic.
struct TrafficView
{
  std::shared_ptr<const RoutingTable> routing;      ///< may be null
  std::shared_ptr<const ServerCatalogue> catalogue; ///< may be null
  std::size_t entryHosts = 0; ///< hosts that take callers' queries
  bool isEntry = false;       ///< this host is one of them
  std::vector<Host> peers;    ///< the others
  std::shared_ptr<const ControlReport> control; ///< for the status page
};

struct TrafficSettings
{
  std::string host;
  std::string address;
  std::uint16_t port = 0;
  std::uint16_t relayPort = 0;
  std::uint16_t metricsPort = 0;
  std::string dataCentre;
  BudgetLimit budget;
  std::uint64_t seed = 0;
};

class Traffic
{
public:
  Traffic(boost::asio::io_context& aContext,
          const ClockI& aClock,
          const TrafficProtocolI& aProtocol,
          const TrafficSettings& aSettings);

  /// Starts to listen.
  /// @returns an error when the address can't be bound
  std::error_code init();
  /// Takes a newer view.
  void setView(const TrafficView& aView);
  HttpServer& server() { return m_server; }
  /// From now on each answer ends its connection, and each new request has its
  /// answer by a moment.
  void leave(TimePoint aAnswerBy);
  /// @returns requests of callers and peers that have no answer yet
  std::size_t running() const
  {
    return m_server.running() + m_worker.running();
  }
  void shutdown();
  /// @returns callers' queries that run; any thread
  std::uint32_t load() const { return m_load; }
  const Dispatcher& dispatcher() const { return m_dispatcher; }
  const ServerTable& servers() const { return m_servers; }

private:
  /// What is learnt of one route, kept over configurations by its name.
  struct RouteState
  {
    std::shared_ptr<RouteTiming> timing;
    WeightedChoice choice;
    std::chrono::milliseconds timeLimit{ 0 };
  };

  /// Nothing of the query was sent.
  void refuseForLoad(const QueryContext& aQuery);
  const Route* match(const HttpRequest& aRequest) const;
  void begin(const HttpExchangePtr& aExchange, const Route& aRoute);
  void onRequest(const HttpExchangePtr& aExchange);
  RelayWorker::FoundRoute findRoute(const std::string& aRoute,
                                    std::uint64_t aGatherHash);
  void warmLater();
  std::string metricsText();
  TrafficReport report() const;
  void onPage(const HttpExchangePtr& aExchange);
  RouteState& stateOf(const Route& aRoute);
  /// @returns null when no query of the route's shards has come yet
  std::shared_ptr<Admission> findAdmission(const Route& aRoute) const;
  const std::shared_ptr<Admission>& admissionOf(const Route& aRoute);
  void forgetRoutes();

  const ClockI& m_clock;
  const TrafficProtocolI& m_protocol;
  const TrafficSettings m_settings;
  ServerTable m_servers;
  Dispatcher m_dispatcher;
  PeerLinks m_links;
  RelayClient m_relays;
  TrafficMetrics m_metrics;
  QueryServices m_services;
  RelayWorker m_worker;
  HttpServer m_server;
  HttpServer m_pages; ///< metrics and status
  /// Newest last; a peer may be a few versions behind or ahead.
  std::deque<std::shared_ptr<const RoutingTable>> m_versions;
  TrafficView m_view;
  boost::asio::steady_timer m_warmTimer;
  TimePoint m_answerBy = TimePoint::max();
  std::atomic<std::uint32_t> m_load{ 0 };
  std::map<std::string, RouteState> m_routes; ///< by name
  /// By the first of the shards, which several routes share.
  std::map<std::string, std::shared_ptr<Admission>> m_admissions;
  std::mt19937_64 m_random;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TRAFFIC_P_H
