#include "caller_http_p.h"

#include <charconv>
#include <future>
#include <thread>

#include <boost/asio/post.hpp>

#include "answer_json_p.h"
#include "http_server_p.h"
#include "http_thread_p.h"
#include "json_p.h"
#include "log_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Size limit of a request's headers; queries are sent in bodies.
constexpr std::size_t kMaxHeaderBytes = 16384;
/// How long a shutdown waits for running requests to be answered and for the
/// answers to be written.
constexpr milliseconds kShutdownWait{ 1000 };
constexpr milliseconds kShutdownPoll{ 5 };
/// Copies of a query's body while it runs: parsed, and in the messages to the
/// hosts that send it to the servers.
constexpr std::size_t kBodyCopies = 4;
constexpr const char* kOutOfMemory = "out of memory for queries";

HttpLimits
callerLimits()
{
  HttpLimits limits;
  limits.headerBytes = kMaxHeaderBytes;
  limits.bodyBytes = kMaxCallerBodyBytes;
  return limits;
}

HttpResponse
makeNotRun(unsigned aStatus, const std::string& aReason)
{
  JsonWriter body;
  body.beginObject();
  body.text("outcome", toString(Outcome::NotRun));
  body.text("reason", aReason);
  body.endObject();
  return makeJsonResponse(aStatus, body.str());
}

/// Logs a refused request.
/// @returns its response, with the outcome "not-run"
HttpResponse
makeRefusal(const HttpRequest& aRequest,
            unsigned aStatus,
            const std::string& aReason)
{
  const auto target = aRequest.target();
  logWrite(
    LogLevel::Warn,
    LogLine("request-refused")
      .add("status", aStatus)
      .addText("path", std::string(pathOf({ target.data(), target.size() })))
      .addText("reason", aReason));
  return makeNotRun(aStatus, aReason);
}

/// @returns the HTTP status for an answer
unsigned
httpStatusOf(const QueryAnswer& aAnswer)
{
  switch (aAnswer.outcome) {
    case Outcome::Whole:
    case Outcome::Partial:
      return 200;
    case Outcome::NotRun:
      return 503;
    case Outcome::Unknown:
      return 504;
  }
  return 500;
}

void
writeAddresses(JsonWriter& aBody, const AddressAnswer& aAnswer)
{
  aBody.beginArray("addresses");
  for (const CallerAddress& address : aAnswer.addresses) {
    aBody.beginObject();
    aBody.text("host", address.host);
    aBody.text("data_centre", address.dataCentre);
    aBody.text("address", address.address);
    aBody.number("port", address.port);
    aBody.endObject();
  }
  aBody.endArray();
}

void
writeTickets(JsonWriter& aBody, const std::vector<std::string>& aTickets)
{
  aBody.beginArray("tickets");
  for (const std::string& ticket : aTickets) {
    aBody.element(ticket);
  }
  aBody.endArray();
}

/// Writes the members of an answer into an open object.
void
writeAnswer(JsonWriter& aBody, const QueryAnswer& aAnswer)
{
  writeOutcome(aBody, aAnswer);
  aBody.beginArray("rules");
  for (const GoverningRule& rule : aAnswer.rules) {
    aBody.beginObject();
    writeRule(aBody, rule);
    aBody.endObject();
  }
  aBody.endArray();
  aBody.beginArray("parts");
  for (const AnswerPart& part : aAnswer.parts) {
    aBody.beginObject();
    aBody.text("service", part.service);
    aBody.text("body", part.body);
    aBody.endObject();
  }
  aBody.endArray();
}

/// @returns a numeric parameter of a request target; aDefault when it is absent
///          and 0 when it is malformed
std::uint32_t
countParameter(std::string_view aTarget,
               const char* aName,
               std::uint32_t aDefault)
{
  const auto text = queryParameter(aTarget, aName);
  if (!text) {
    return aDefault;
  }
  std::uint32_t value = 0;
  const char* const last = text->data() + text->size();
  const auto [end, error] = std::from_chars(text->data(), last, value);
  return error == std::errc() && end == last ? value : 0;
}

/// @returns the query in a request's body, or what is wrong with it
tl::expected<QueryRequest, std::string>
parseQuery(const std::string& aBody)
{
  const auto body = parseJson(aBody);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  for (const char* name : { "class", "body" }) {
    const Json* value = jsonMember(*body, name);
    if (value == nullptr || !value->IsString()) {
      return tl::make_unexpected("'" + std::string(name) + "' must be a text");
    }
  }
  QueryRequest request;
  request.queryClass = jsonText(*body, "class");
  request.body = jsonText(*body, "body");
  const Json* ticket = jsonMember(*body, "ticket");
  if (ticket != nullptr && !ticket->IsString()) {
    return tl::make_unexpected(std::string("'ticket' must be a text"));
  }
  request.ticket = jsonText(*body, "ticket");
  const Json* deadline = jsonMember(*body, "deadline_ms");
  if (deadline != nullptr && !deadline->IsInt()) {
    return tl::make_unexpected(
      std::string("'deadline_ms' must be a whole number"));
  }
  if (deadline != nullptr) {
    request.deadline = milliseconds(deadline->GetInt());
  }
  return request;
}

} // namespace

struct CallerHttp::Impl : std::enable_shared_from_this<CallerHttp::Impl>
{
  Impl(CallerApiI& aApi, std::shared_ptr<BufferBudget> aBudget)
    : api(aApi)
    , server(
        thread.context(),
        clock,
        [this](const HttpExchangePtr& aExchange) { dispatch(aExchange); },
        { std::move(aBudget), [] { return makeNotRun(503, kOutOfMemory); } })
  {
    server.setLimits(callerLimits());
  }

  using RouteHandler = HttpResponse (Impl::*)(const HttpRequest&);
  struct RouteEntry
  {
    const char* method;
    const char* path;
    RouteHandler handler;
  };
  static const RouteEntry kRoutes[];

  void dispatch(const HttpExchangePtr& aExchange);
  HttpResponse respond(const HttpRequest& aRequest);
  void query(const HttpExchangePtr& aExchange);
  HttpResponse makeAnswerResponse(const QueryAnswer& aAnswer);
  HttpResponse addresses(const HttpRequest& aRequest);
  HttpResponse tickets(const HttpRequest& aRequest);
  HttpResponse status(const HttpRequest& aRequest);
  HttpResponse metrics(const HttpRequest& aRequest);
  HttpResponse explain(const HttpRequest& aRequest);
  HttpResponse rules(const HttpRequest& aRequest);

  /// Runs a function on the server's thread and waits for it to return.
  /// @returns the function's result
  template<class Call>
  auto runOnThread(Call aCall)
  {
    std::packaged_task<decltype(aCall())()> task(std::move(aCall));
    auto result = task.get_future();
    asio::post(thread.context(), [&task] { task(); });
    return result.get();
  }

  SystemClock clock;
  CallerApiI& api;
  HttpThread thread;
  HttpServer server;
  bool listening = false;
};

namespace {

constexpr const char* kQueryPath = "/v1/query";

std::string_view
targetOf(const HttpRequest& aRequest)
{
  return { aRequest.target().data(), aRequest.target().size() };
}

std::string_view
methodOf(const HttpRequest& aRequest)
{
  const auto method = aRequest.method_string();
  return { method.data(), method.size() };
}

} // namespace

const CallerHttp::Impl::RouteEntry CallerHttp::Impl::kRoutes[] = {
  { "GET", "/v1/addresses", &Impl::addresses },
  { "POST", "/v1/tickets", &Impl::tickets },
  { "GET", "/v1/status", &Impl::status },
  { "GET", "/metrics", &Impl::metrics },
  { "GET", "/v1/explain", &Impl::explain },
  { "GET", "/v1/rules", &Impl::rules },
};

void
CallerHttp::Impl::dispatch(const HttpExchangePtr& aExchange)
{
  const HttpRequest& request = aExchange->request();
  if (pathOf(targetOf(request)) == kQueryPath && methodOf(request) == "POST") {
    query(aExchange);
  } else {
    aExchange->reply(respond(request));
  }
}

HttpResponse
CallerHttp::Impl::respond(const HttpRequest& aRequest)
{
  const std::string_view path = pathOf(targetOf(aRequest));
  bool isKnownPath = path == kQueryPath;
  for (const RouteEntry& route : kRoutes) {
    if (path == route.path) {
      isKnownPath = true;
      if (methodOf(aRequest) == route.method) {
        return (this->*route.handler)(aRequest);
      }
    }
  }
  return makeRefusal(aRequest,
                     isKnownPath ? 405 : 404,
                     isKnownPath ? "method not allowed" : "no such path");
}

HttpResponse
CallerHttp::Impl::addresses(const HttpRequest& aRequest)
{
  const std::string_view target = targetOf(aRequest);
  const AddressAnswer answer =
    api.addresses(queryParameter(target, "data_centre").value_or(""));
  JsonWriter body;
  body.beginObject();
  body.number("revision", answer.revision);
  body.number("valid_ms", answer.validFor.count());
  writeAddresses(body, answer);
  const std::uint32_t count = countParameter(target, "tickets", 0);
  if (count > 0) {
    writeTickets(body, api.tickets(count));
  }
  body.endObject();
  return makeJsonResponse(200, body.str());
}

HttpResponse
CallerHttp::Impl::tickets(const HttpRequest& aRequest)
{
  const std::uint32_t count = countParameter(targetOf(aRequest), "count", 1);
  if (count == 0) {
    return makeRefusal(aRequest, 400, "malformed count");
  }
  JsonWriter body;
  body.beginObject();
  writeTickets(body, api.tickets(count));
  body.endObject();
  return makeJsonResponse(200, body.str());
}

void
CallerHttp::Impl::query(const HttpExchangePtr& aExchange)
{
  if (!aExchange->reserveCopies(0, kBodyCopies)) {
    aExchange->reply(makeNotRun(503, kOutOfMemory));
    return;
  }
  auto parsed = parseQuery(aExchange->request().body());
  if (!parsed) {
    aExchange->reply(makeRefusal(
      aExchange->request(), 400, "malformed query: " + parsed.error()));
    return;
  }
  // The answer may arrive on any thread, and after this server has been shut
  // down or destroyed.
  api.query(
    std::move(*parsed),
    [weakSelf = weak_from_this(),
     weakExchange = std::weak_ptr(aExchange)](const QueryAnswer& aAnswer) {
      const auto self = weakSelf.lock();
      if (!self) {
        return;
      }
      asio::post(
        self->thread.context(),
        [weakExchange, response = self->makeAnswerResponse(aAnswer)]() mutable {
          if (const auto exchange = weakExchange.lock()) {
            exchange->reply(std::move(response));
          }
        });
    });
}

HttpResponse
CallerHttp::Impl::makeAnswerResponse(const QueryAnswer& aAnswer)
{
  JsonWriter body;
  body.beginObject();
  writeAnswer(body, aAnswer);
  if (aAnswer.outcome == Outcome::NotRun && !api.acceptsQueries()) {
    writeAddresses(body, api.addresses({}));
  }
  body.endObject();
  return makeJsonResponse(httpStatusOf(aAnswer), body.str());
}

HttpResponse
CallerHttp::Impl::status(const HttpRequest& /*aRequest*/)
{
  return makeJsonResponse(200, api.statusJson());
}

HttpResponse
CallerHttp::Impl::metrics(const HttpRequest& /*aRequest*/)
{
  HttpResponse response = makeResponse(200, api.metricsText());
  response.set("Content-Type", "text/plain; version=0.0.4");
  return response;
}

HttpResponse
CallerHttp::Impl::explain(const HttpRequest& aRequest)
{
  const auto id = queryParameter(targetOf(aRequest), "request_id");
  const auto queryClass = queryParameter(targetOf(aRequest), "class");
  std::string text;
  if (id) {
    text = api.explainJson(*id);
  } else if (queryClass) {
    text = api.classJson(*queryClass);
  }
  if (text.empty()) {
    return makeRefusal(aRequest,
                       404,
                       "no such request in this node's memory, or no such "
                       "class");
  }
  return makeJsonResponse(200, std::move(text));
}

HttpResponse
CallerHttp::Impl::rules(const HttpRequest& /*aRequest*/)
{
  return makeJsonResponse(200, api.rulesJson());
}

std::string
renderAnswer(const QueryAnswer& aAnswer)
{
  JsonWriter body;
  body.beginObject();
  writeAnswer(body, aAnswer);
  body.endObject();
  return body.str();
}

CallerHttp::CallerHttp(CallerApiI& aApi, std::shared_ptr<BufferBudget> aBudget)
  : m_impl(std::make_shared<Impl>(aApi, std::move(aBudget)))
{
}

CallerHttp::~CallerHttp()
{
  shutdown();
}

std::error_code
CallerHttp::init(const std::string& aAddress, std::uint16_t aPort)
{
  const std::error_code error = m_impl->runOnThread(
    [this, &aAddress, aPort] { return m_impl->server.init(aAddress, aPort); });
  m_impl->listening = !error;
  if (error) {
    logWrite(LogLevel::Error,
             LogLine("listen-failed")
               .add("address", aAddress)
               .add("port", aPort)
               .addText("reason", error.message()));
  }
  return error;
}

void
CallerHttp::shutdown()
{
  if (!m_impl->listening) {
    return;
  }
  m_impl->listening = false;
  HttpServer& server = m_impl->server;
  m_impl->runOnThread([&server] {
    server.stopAccepting();
    server.drain();
  });
  const TimePoint limit = m_impl->clock.now() + kShutdownWait;
  while (m_impl->clock.now() < limit && m_impl->runOnThread([&server] {
    server.closeIdle();
    return server.connections() > 0;
  })) {
    std::this_thread::sleep_for(kShutdownPoll);
  }
  m_impl->runOnThread([&server] { server.shutdown(); });
  m_impl->thread.shutdown();
}

} // namespace toucanridge
