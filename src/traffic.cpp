#include "traffic_p.h"

#include <algorithm>

#include "forward_query_p.h"
#include "gather_query_p.h"
#include "log_p.h"
#include "single_query_p.h"
#include "trial_query_p.h"

namespace toucanridge {
namespace {

/// Configuration versions kept for peers' queries: while changes follow each
/// other quickly, a few versions may pass during one query.
constexpr std::size_t kVersionsKept = 8;
/// Retry delay for callers refused for overload: short enough that a retry can
/// still be answered within the target latency of most routes.
constexpr std::chrono::milliseconds kOverloadRetryAfter{ 40 };
/// Retry delay for callers refused because clients make this host hold too
/// much; it lasts until their requests end.
constexpr std::chrono::milliseconds kMemoryRetryAfter{ 200 };
/// A request that crashes servers isn't worth an early retry.
constexpr std::chrono::milliseconds kQuarantineRetryAfter{ 5000 };
/// Interval at which connections that servers closed are opened again.
constexpr std::chrono::milliseconds kConnectInterval{ 1000 };
/// Interval of checks whether the path to the servers is lost or back.
constexpr std::chrono::milliseconds kReachInterval{ 200 };

/// @returns the refusal of a forwarded request that this host can't answer
HttpResponse
makeNoPath(const TrafficProtocolI& aProtocol)
{
  HttpResponse refusal =
    aProtocol.makeRefusal(kRetryAfter, "no path to servers");
  refusal.set(kNoPathHeader, "1");
  return refusal;
}

} // namespace

Traffic::Traffic(boost::asio::io_context& aContext,
                 const ClockI& aClock,
                 const TrafficProtocolI& aProtocol,
                 const TrafficSettings& aSettings,
                 Quarantine& aQuarantine)
  : m_clock(aClock)
  , m_protocol(aProtocol)
  , m_settings(aSettings)
  , m_servers(aContext,
              aClock,
              aSettings.host,
              aSettings.dataCentre,
              aSettings.limits.servers)
  , m_dispatcher(aClock, aSettings.seed, aProtocol, m_servers, aSettings.budget)
  , m_links(aContext,
            Hello{ aSettings.host, aSettings.seed },
            { aSettings.clientBudget, aSettings.limits.peers })
  , m_relayClient(aClock, m_links, aSettings.host, aSettings.seed << 16U)
  , m_forwardClient(aContext, aClock, aSettings.dataCentre)
  , m_deps{ aContext,
            aClock,
            aProtocol,
            m_dispatcher,
            m_relayClient,
            m_forwardClient,
            m_settings.dataCentre,
            m_metrics,
            aQuarantine }
  , m_relayWorker(
      m_deps,
      [this](const std::string& aRoute, std::uint64_t aGatherHash) {
        return findRoute(aRoute, aGatherHash);
      },
      aSettings.clientBudget)
  , m_server(
      aContext,
      aClock,
      [this](const HttpExchangePtr& aExchange) { onRequest(aExchange); },
      serverResources())
  , m_forwardServer(
      aContext,
      aClock,
      [this](const HttpExchangePtr& aExchange) { onForwarded(aExchange); },
      serverResources())
  , m_pageServer(
      aContext,
      aClock,
      [this](const HttpExchangePtr& aExchange) { onPageRequest(aExchange); },
      serverResources())
  , m_connectTimer(aContext)
  , m_reachTimer(aContext)
  , m_random(aSettings.seed)
{
  setCallerLimits({});
  m_pageServer.setLimits(pageLimits(aSettings.limits.pages));
}

HttpServerResources
Traffic::serverResources() const
{
  return { m_settings.clientBudget, [this] {
            return m_protocol.makeRefusal(kMemoryRetryAfter, "out of memory");
          } };
}

void
Traffic::setCallerLimits(HttpLimits aLimits)
{
  aLimits.connections = m_settings.limits.callers;
  m_server.setLimits(aLimits);
  aLimits.connections = m_settings.limits.forwards;
  m_forwardServer.setLimits(aLimits);
}

std::error_code
Traffic::init()
{
  PeerLinks::Handlers handlers;
  handlers.onRequest = [this](const std::string& aHost,
                              MessageType aType,
                              const std::string& aPayload,
                              const PeerLinks::Reply& aReply) {
    if (aType == MessageType::RelayQuery) {
      m_relayWorker.onQuery(aHost, aPayload, aReply);
    } else if (aType == MessageType::RelayCancel) {
      m_relayWorker.onCancel(aHost, aPayload);
    }
  };
  handlers.onReply = [this](const std::string& aHost,
                            MessageType aType,
                            const std::string& aPayload) {
    if (aType == MessageType::RelayReply) {
      m_relayClient.onReply(aHost, aPayload);
    }
  };
  handlers.onLost = [this](const std::string& aHost,
                           const std::vector<std::uint64_t>&) {
    m_relayClient.onLost(aHost);
  };
  std::error_code error =
    m_links.init(m_settings.address, m_settings.relayPort, std::move(handlers));
  if (!error) {
    error = m_forwardServer.init(m_settings.address, m_settings.forwardPort);
  }
  const std::error_code pagesError =
    m_pageServer.init(m_settings.address, m_settings.metricsPort);
  if (pagesError) {
    // Not fatal: a host without the metrics and status pages still serves
    // callers.
    logWrite(LogLevel::Error,
             LogLine("pages-unavailable")
               .add("port", m_settings.metricsPort)
               .addText("reason", pagesError.message()));
  }
  keepConnected();
  watchReach();
  return error ? error : m_server.init(m_settings.address, m_settings.port);
}

void
Traffic::onPageRequest(const HttpExchangePtr& aExchange)
{
  const auto target = aExchange->request().target();
  const std::string_view path = pathOf({ target.data(), target.size() });
  if (path == "/metrics") {
    HttpResponse page = makeResponse(200, metricsText());
    page.set("Content-Type", "text/plain; version=0.0.4");
    aExchange->reply(std::move(page));
  } else if (path == "/status") {
    aExchange->reply(makeJsonResponse(
      200, renderEntryStatus(m_view.control, makeReport(), m_clock.now())));
  } else {
    aExchange->reply(makeResponse(404, "no such page\n"));
  }
}

TrafficReport
Traffic::makeReport() const
{
  TrafficReport report;
  report.running = running();
  report.servers = m_servers.status();
  if (!m_view.routing) {
    return report;
  }
  report.version = m_view.routing->version();
  for (const Route& route : m_view.routing->routes()) {
    RouteStatus status;
    status.name = route.name;
    status.host = route.host;
    status.prefix = route.prefix;
    status.shards = route.shards.size();
    for (const std::string& shard : route.shards) {
      status.lacking += m_servers.usable(shard).empty() ? 1 : 0;
    }
    for (const auto& target : route.targets) {
      status.lacking += m_servers.usable(target.service).empty() ? 1 : 0;
    }
    if (const auto admission = findAdmission(route)) {
      status.admission = std::min(1.0, admission->level());
    }
    report.routes.push_back(std::move(status));
  }
  return report;
}

std::string
Traffic::metricsText()
{
  const DispatcherCounters& attempts = m_dispatcher.counters();
  const auto setGauge =
    [this](const char* aName, const char* aHelp, auto aValue) {
      m_metrics.setGauge(aName, aHelp, static_cast<double>(aValue));
    };
  setGauge(
    "toucanridge_first_attempts", "first attempts at servers", attempts.first);
  setGauge("toucanridge_extra_attempts", "hedges and retries", attempts.extra);
  setGauge("toucanridge_denied_attempts",
           "hedges and retries that the budget refused",
           attempts.denied);
  setGauge(
    "toucanridge_running", "queries without an answer", m_server.running());
  setGauge(
    "toucanridge_relayed", "peers' queries that run", m_relayWorker.running());
  setGauge("toucanridge_connections",
           "connections of callers",
           m_server.connections());
  setGauge("toucanridge_server_connections_opened",
           "connections opened to servers",
           m_servers.connectionsOpened());
  setGauge("toucanridge_limited_servers",
           "servers that state a request limit",
           m_servers.limitedServers());
  setGauge("toucanridge_malformed",
           "callers' requests that could not be read",
           m_server.malformed());
  setGauge("toucanridge_refused_unread",
           "callers' requests refused before their body was read",
           m_server.refusedUnread());
  if (const auto& budget = m_settings.clientBudget) {
    for (std::size_t i = 0; i < kBufferUses; ++i) {
      const auto use = static_cast<BufferUse>(i);
      const std::string name =
        std::string("toucanridge_held_bytes_") + toString(use);
      setGauge(
        name.c_str(), "held for clients and peers, by use", budget->used(use));
    }
    setGauge("toucanridge_evicted_connections",
             "connections closed as clients and peers held too much",
             budget->evictions());
  }
  setGauge("toucanridge_log_lines_dropped",
           "log lines dropped because the queue was full",
           logDropped());
  setGauge("toucanridge_version",
           "version of the configuration in force",
           m_view.routing ? m_view.routing->version() : 0);
  return m_metrics.text();
}

void
Traffic::keepConnected()
{
  m_connectTimer.expires_after(kConnectInterval);
  m_connectTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      keepConnected();
    }
  });
  m_servers.openConnections();
}

void
Traffic::watchReach()
{
  m_reachTimer.expires_after(kReachInterval);
  m_reachTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      watchReach();
    }
  });
  const bool isLost = m_servers.reach().isLost();
  if (isLost != m_reachLost) {
    m_reachLost = isLost;
    logWrite(LogLevel::Warn,
             LogLine(isLost ? "servers-out-of-reach" : "servers-in-reach"));
    m_servers.closeIdleConnections();
  }
  if (isLost) {
    m_servers.probeServers();
  }
}

void
Traffic::shutdown()
{
  m_connectTimer.cancel();
  m_reachTimer.cancel();
  m_forwardClient.shutdown();
  m_forwardServer.shutdown();
  m_links.shutdown();
  m_pageServer.shutdown();
  m_server.shutdown();
}

void
Traffic::leave(TimePoint aAnswerBy)
{
  m_answerBy = aAnswerBy;
  m_server.drain();
  m_forwardServer.drain();
}

void
Traffic::setView(const TrafficView& aView)
{
  const bool routingChanged = aView.routing != m_view.routing;
  const bool isFirstView = !m_view.routing && aView.routing;
  m_view = aView;
  // The entry hosts divide the limits among them; a standby host has no share.
  SharingHosts sharing;
  if (aView.isEntry) {
    sharing.count = aView.entryHostCount;
    sharing.known.push_back({ m_settings.host, m_settings.dataCentre });
    for (const Host& peer : aView.peers) {
      sharing.known.push_back({ peer.name, peer.dataCentre });
    }
  }
  m_dispatcher.setSharingHosts(sharing.count);
  m_servers.setSharingHosts(std::move(sharing));
  m_relayClient.setPeers(aView.peers);
  m_forwardClient.setPeers(aView.peers);
  if (!m_view.routing) {
    return;
  }
  if (m_view.catalogue) {
    m_servers.update(*m_view.catalogue, *m_view.routing);
    if (isFirstView) {
      m_servers.openConnections();
    }
  }
  if (routingChanged) {
    setCallerLimits(m_view.routing->limits());
    m_versions.push_back(m_view.routing);
    if (m_versions.size() > kVersionsKept) {
      m_versions.pop_front();
    }
    dropUnusedRouteState();
  }
}

void
Traffic::dropUnusedRouteState()
{
  std::map<std::string, RouteState> kept;
  for (const Route& route : m_view.routing->routes()) {
    const auto found = m_routes.find(route.name);
    if (found != m_routes.end() && found->second.timeLimit == route.timeLimit) {
      kept.insert(std::move(*found));
    }
  }
  m_routes = std::move(kept);
  std::map<std::string, std::shared_ptr<Admission>> admissions;
  for (const Route& route : m_view.routing->routes()) {
    if (const auto admission = findAdmission(route)) {
      admissions.emplace(route.shards.front(), admission);
    }
  }
  m_admissions = std::move(admissions);
}

std::shared_ptr<Admission>
Traffic::findAdmission(const Route& aRoute) const
{
  const auto found = aRoute.isGather()
                       ? m_admissions.find(aRoute.shards.front())
                       : m_admissions.end();
  return found == m_admissions.end() ? nullptr : found->second;
}

const std::shared_ptr<Admission>&
Traffic::admissionOf(const Route& aRoute)
{
  auto& admission = m_admissions[aRoute.shards.front()];
  if (!admission) {
    admission = std::make_shared<Admission>(m_clock);
  }
  return admission;
}

Traffic::RouteState&
Traffic::stateOf(const Route& aRoute)
{
  RouteState& state = m_routes[aRoute.name];
  if (!state.timing) {
    state.timing = std::make_shared<RouteTiming>(m_clock);
    state.timeLimit = aRoute.timeLimit;
  }
  return state;
}

RelayWorker::FoundRoute
Traffic::findRoute(const std::string& aRoute, std::uint64_t aGatherHash)
{
  RelayWorker::FoundRoute found;
  for (auto i = m_versions.rbegin(); i != m_versions.rend(); ++i) {
    for (const Route& route : (*i)->routes()) {
      if (route.name == aRoute && route.isGather() &&
          route.gatherHash() == aGatherHash) {
        found.routing = *i;
        found.route = &route;
        found.timing = stateOf(route).timing;
        return found;
      }
    }
  }
  return found;
}

void
Traffic::refuse(const QueryContext& aQuery,
                Duration aRetryAfter,
                const char* aReason,
                const std::string& aDetails)
{
  HttpResponse refusal = m_protocol.makeRefusal(aRetryAfter, aReason);
  const unsigned status = refusal.result_int();
  aQuery.exchange->reply(std::move(refusal));
  recordAnswer(m_deps, aQuery, status, aReason, aDetails);
}

/// @returns the route of a request in the current configuration, null when none
///          matches
const Route*
Traffic::matchRoute(const HttpRequest& aRequest) const
{
  const std::string_view host = headerValue(aRequest.base(), "Host");
  const std::string_view path =
    pathOf({ aRequest.target().data(), aRequest.target().size() });
  const Route* route = m_view.routing->find(host, path);
  if (route == nullptr) {
    route = m_view.routing->find(hostWithoutPort(host), path);
  }
  if (route == nullptr) {
    logWrite(LogLevel::Info,
             LogLine("no-route")
               .add("version", m_view.routing->version())
               .addText("host", std::string(host))
               .addText("path", std::string(path)));
  }
  return route;
}

void
Traffic::onRequest(const HttpExchangePtr& aExchange)
{
  m_load = static_cast<std::uint32_t>(m_server.running());
  if (!m_view.routing || !m_view.catalogue) {
    aExchange->reply(
      m_protocol.makeRefusal(kRetryAfter, "no configuration yet"));
    return;
  }
  const Route* route = matchRoute(aExchange->request());
  if (route == nullptr) {
    aExchange->reply(makeResponse(404, "no route\n"));
    return;
  }
  startQuery(aExchange, *route, false);
}

void
Traffic::onForwarded(const HttpExchangePtr& aExchange)
{
  const Route* route = m_view.routing && m_view.catalogue
                         ? matchRoute(aExchange->request())
                         : nullptr;
  if (route == nullptr) {
    // The host that forwards has another version of the configuration.
    aExchange->reply(makeNoPath(m_protocol));
    return;
  }
  startQuery(aExchange, *route, true);
}

void
Traffic::forward(QueryContext aQuery, bool aFromPeer)
{
  if (aFromPeer) {
    aQuery.exchange->reply(makeNoPath(m_protocol));
    return;
  }
  std::make_shared<ForwardQuery>(m_deps, std::move(aQuery))->start();
}

bool
Traffic::reserveCopies(const HttpExchangePtr& aExchange,
                       const Route& aRoute) const
{
  // Each attempt has a head of its own. A relay has the head and the body, as a
  // message and as its encoded bytes.
  const std::size_t relays =
    aRoute.isGather() ? m_relayClient.availableDataCentres().size() : 0;
  const std::size_t attempts =
    aRoute.isGather() ? aRoute.shards.size() : aRoute.maxAttempts;
  return aExchange->reserveCopies(attempts + 2 * relays, 2 * relays);
}

void
Traffic::startQuery(const HttpExchangePtr& aExchange,
                    const Route& aRoute,
                    bool aFromPeer)
{
  RouteState& state = stateOf(aRoute);
  QueryContext query;
  query.exchange = aExchange;
  query.callerHeaders = m_protocol.readCallerHeaders(aExchange->request());
  query.routing = m_view.routing;
  query.route = &aRoute;
  query.timing = state.timing;
  const Duration deadline = query.callerHeaders.deadline
                              ? *query.callerHeaders.deadline
                              : aRoute.timeLimit;
  query.schedule = state.timing->schedule(aRoute,
                                          aExchange->receivedAt(),
                                          deadline,
                                          aExchange->isFirstOnConnection());
  query.schedule.limitTo(m_answerBy);
  query.deadline = aExchange->receivedAt() + deadline;
  query.losses =
    makeLosses(m_deps.quarantine, aExchange->request(), query.callerHeaders);
  if (!reserveCopies(aExchange, aRoute)) {
    refuse(query, kMemoryRetryAfter, "out of memory", "");
    return;
  }
  const std::string service =
    aRoute.isGather() ? "" : state.targetChoice.next(aRoute.targets);
  const bool canReach = m_dispatcher.canReach(aRoute, service);
  if (!canReach && !query.losses->isBlocked()) {
    forward(std::move(query), aFromPeer);
    return;
  }
  const QuarantineVerdict verdict =
    canReach ? query.losses->admit() : QuarantineVerdict::Refuse;
  query.isTrial = verdict == QuarantineVerdict::Try;
  if (verdict == QuarantineVerdict::Refuse) {
    refuse(query, kQuarantineRetryAfter, "quarantined", "");
  } else if (query.isTrial && aRoute.isGather()) {
    std::make_shared<TrialQuery>(
      m_deps,
      std::move(query),
      [this](QueryContext aQuery) { runQuery(std::move(aQuery), {}); })
      ->start();
  } else {
    runQuery(std::move(query), service);
  }
}

void
Traffic::runQuery(QueryContext aQuery, const std::string& aService)
{
  if (!aQuery.route->isGather()) {
    std::make_shared<SingleQuery>(m_deps, std::move(aQuery), aService)->start();
    return;
  }
  aQuery.admission = admissionOf(*aQuery.route);
  if (aQuery.admission->admits(
        std::uniform_real_distribution<double>()(m_random))) {
    std::make_shared<GatherQuery>(m_deps, std::move(aQuery))->start();
  } else {
    refuse(aQuery,
           kOverloadRetryAfter,
           "shards are overloaded",
           "level " + std::to_string(aQuery.admission->level()));
  }
}

} // namespace toucanridge
