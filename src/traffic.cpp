#include "traffic_p.h"

#include "gather_query_p.h"
#include "log_p.h"
#include "single_query_p.h"

namespace toucanridge {

Traffic::Traffic(boost::asio::io_context& aContext,
                 const ClockI& aClock,
                 const TrafficProtocolI& aProtocol,
                 const TrafficSettings& aSettings)
  : m_clock(aClock)
  , m_protocol(aProtocol)
  , m_settings(aSettings)
  , m_servers(aContext, aClock, aSettings.dataCentre)
  , m_dispatcher(aClock, aSettings.seed, aProtocol, m_servers, aSettings.budget)
  , m_services{ aContext, aClock, aProtocol, m_dispatcher }
  , m_server(aContext, aClock, [this](const HttpExchangePtr& aExchange) {
    onRequest(aExchange);
  })
{
}

std::error_code
Traffic::init()
{
  return m_server.init(m_settings.address, m_settings.port);
}

void
Traffic::setView(const TrafficView& aView)
{
  const bool routingChanged = aView.routing != m_view.routing;
  m_view = aView;
  m_servers.setHosts(aView.hosts);
  m_dispatcher.setHosts(aView.hosts);
  if (!m_view.routing) {
    return;
  }
  if (m_view.catalogue) {
    m_servers.update(*m_view.catalogue, *m_view.routing);
  }
  if (routingChanged) {
    m_server.setLimits(m_view.routing->limits());
    forgetRoutes();
  }
}

void
Traffic::forgetRoutes()
{
  std::map<std::string, RouteState> kept;
  for (const Route& route : m_view.routing->routes()) {
    const auto found = m_routes.find(route.name);
    if (found != m_routes.end() && found->second.timeLimit == route.timeLimit) {
      kept.insert(std::move(*found));
    }
  }
  m_routes = std::move(kept);
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

void
Traffic::onRequest(const HttpExchangePtr& aExchange)
{
  const HttpRequest& request = aExchange->request();
  if (!m_view.routing || !m_view.catalogue) {
    aExchange->reply(
      m_protocol.makeRefusal(kRetryAfter, "no configuration yet"));
    return;
  }
  const std::string_view host = headerValue(request.base(), "Host");
  const std::string_view path =
    pathOf({ request.target().data(), request.target().size() });
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
    aExchange->reply(makeResponse(404, "no route\n"));
    return;
  }
  RouteState& state = stateOf(*route);
  QueryContext query;
  query.exchange = aExchange;
  query.terms = m_protocol.readTerms(request);
  query.routing = m_view.routing;
  query.route = route;
  query.timing = state.timing;
  const Duration deadline =
    query.terms.deadline ? *query.terms.deadline : route->timeLimit;
  query.schedule = state.timing->schedule(
    *route, aExchange->receivedAt(), deadline, aExchange->isFirst());
  query.deadline = aExchange->receivedAt() + deadline;
  if (route->isGather()) {
    std::make_shared<GatherQuery>(m_services, std::move(query))->start();
  } else {
    const std::string service = state.choice.next(route->targets);
    std::make_shared<SingleQuery>(m_services, std::move(query), service)
      ->start();
  }
}

} // namespace toucanridge
