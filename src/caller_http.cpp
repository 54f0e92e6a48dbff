#include "caller_http_p.h"

#include <charconv>

#include <cpprest/http_listener.h>
#include <cpprest/json.h>

#include "log_p.h"

namespace toucanridge {
namespace {

namespace http = web::http;
namespace json = web::json;

void
refuse(const http::http_request& aRequest,
       http::status_code aStatus,
       const std::string& aReason)
{
  logWrite(LogLevel::Warn,
           LogLine("request-refused")
             .add("status", aStatus)
             .addText("path", aRequest.relative_uri().path())
             .addText("reason", aReason));
  json::value body = json::value::object();
  body["outcome"] = json::value::string(toString(Outcome::NotRun));
  body["reason"] = json::value::string(aReason);
  http::http_response response(aStatus);
  response.set_body(body);
  response.headers().add("Connection", "close");
  aRequest.reply(response);
}

/// Ends the reading of a body. cpprestsdk reads one of any length into memory,
/// beside the handler; it gives up when the buffer takes no more.
void
stopReading(const http::http_request& aRequest)
{
  aRequest.body().streambuf().close(std::ios_base::out);
}

http::status_code
statusOf(const QueryAnswer& aAnswer)
{
  switch (aAnswer.outcome) {
    case Outcome::Whole:
    case Outcome::Partial:
      return http::status_codes::OK;
    case Outcome::NotRun:
      return http::status_codes::ServiceUnavailable;
    case Outcome::Unknown:
      return http::status_codes::GatewayTimeout;
  }
  return http::status_codes::InternalError;
}

json::value
toJson(const QueryAnswer& aAnswer)
{
  json::value body = json::value::object();
  body["request_id"] = json::value::string(aAnswer.requestId);
  body["outcome"] = json::value::string(toString(aAnswer.outcome));
  body["reason"] = json::value::string(aAnswer.reason);
  body["coverage"]["answered"] = json::value::number(aAnswer.coverage.answered);
  body["coverage"]["total"] = json::value::number(aAnswer.coverage.total);
  body["snapshot"] = json::value::number(aAnswer.snapshot);
  body["revision"] = json::value::number(aAnswer.revision);
  std::vector<json::value> rules;
  for (const GoverningRule& rule : aAnswer.rules) {
    json::value entry = json::value::object();
    entry["line"] = json::value::number(rule.line);
    entry["text"] = json::value::string(rule.text);
    entry["asked_by"] = json::value::string(rule.askedBy);
    rules.push_back(entry);
  }
  body["rules"] = json::value::array(rules);
  std::vector<json::value> parts;
  for (const AnswerPart& part : aAnswer.parts) {
    json::value entry = json::value::object();
    entry["service"] = json::value::string(part.service);
    entry["body"] = json::value::string(part.body);
    parts.push_back(entry);
  }
  body["parts"] = json::value::array(parts);
  return body;
}

json::value
toJson(const AddressAnswer& aAnswer)
{
  json::value body = json::value::object();
  body["revision"] = json::value::number(aAnswer.revision);
  body["valid_ms"] =
    json::value::number(static_cast<std::int64_t>(aAnswer.validFor.count()));
  std::vector<json::value> addresses;
  for (const CallerAddress& address : aAnswer.addresses) {
    json::value entry = json::value::object();
    entry["host"] = json::value::string(address.host);
    entry["data_centre"] = json::value::string(address.dataCentre);
    entry["address"] = json::value::string(address.address);
    entry["port"] = json::value::number(address.port);
    addresses.push_back(entry);
  }
  body["addresses"] = json::value::array(addresses);
  return body;
}

json::value
ticketsJson(const std::vector<std::string>& aTickets)
{
  std::vector<json::value> list;
  list.reserve(aTickets.size());
  for (const std::string& ticket : aTickets) {
    list.push_back(json::value::string(ticket));
  }
  return json::value::array(list);
}

/// @returns a small number of the URI's query; 0 when it is malformed
std::uint32_t
countOf(const std::map<std::string, std::string>& aQuery,
        const char* aName,
        std::uint32_t aDefault)
{
  const auto found = aQuery.find(aName);
  if (found == aQuery.end()) {
    return aDefault;
  }
  const std::string& text = found->second;
  std::uint32_t value = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? value : 0;
}

/// Reads the JSON of a query.
/// @throws json::json_exception on a missing or mistyped field
QueryRequest
parseQuery(const std::string& aBody)
{
  const json::value body = json::value::parse(aBody);
  QueryRequest request;
  request.queryClass = body.at("class").as_string();
  request.body = body.at("body").as_string();
  if (body.has_field("ticket")) {
    request.ticket = body.at("ticket").as_string();
  }
  if (body.has_field("deadline_ms")) {
    request.deadline =
      std::chrono::milliseconds(body.at("deadline_ms").as_integer());
  }
  return request;
}

} // namespace

struct CallerHttp::Impl
{
  explicit Impl(CallerApiI& aApi)
    : api(aApi)
  {
  }

  using Route = void (Impl::*)(const http::http_request&);
  struct Entry
  {
    const char* method;
    const char* path;
    Route handle;
  };
  static const Entry kRoutes[];

  void dispatch(const http::http_request& aRequest);
  void addresses(const http::http_request& aRequest);
  void query(const http::http_request& aRequest);
  void tickets(const http::http_request& aRequest);
  void status(const http::http_request& aRequest);
  void metrics(const http::http_request& aRequest);
  void explain(const http::http_request& aRequest);
  void rules(const http::http_request& aRequest);

  CallerApiI& api;
  std::unique_ptr<http::experimental::listener::http_listener> listener;
};

const CallerHttp::Impl::Entry CallerHttp::Impl::kRoutes[] = {
  { "GET", "/v1/addresses", &Impl::addresses },
  { "POST", "/v1/query", &Impl::query },
  { "POST", "/v1/tickets", &Impl::tickets },
  { "GET", "/v1/status", &Impl::status },
  { "GET", "/metrics", &Impl::metrics },
  { "GET", "/v1/explain", &Impl::explain },
  { "GET", "/v1/rules", &Impl::rules },
};

void
CallerHttp::Impl::dispatch(const http::http_request& aRequest)
{
  const std::string path = aRequest.relative_uri().path();
  bool known = false;
  for (const Entry& route : kRoutes) {
    if (path == route.path) {
      known = true;
      if (aRequest.method() == route.method) {
        (this->*route.handle)(aRequest);
        return;
      }
    }
  }
  refuse(aRequest,
         known ? http::status_codes::MethodNotAllowed
               : http::status_codes::NotFound,
         known ? "method not allowed" : "no such path");
}

void
CallerHttp::Impl::addresses(const http::http_request& aRequest)
{
  const auto query = web::uri::split_query(aRequest.relative_uri().query());
  const auto dataCentre = query.find("data_centre");
  const AddressAnswer answer = api.addresses(
    dataCentre == query.end() ? std::string() : dataCentre->second);
  json::value body = toJson(answer);
  const std::uint32_t count = countOf(query, "tickets", 0);
  if (count > 0) {
    body["tickets"] = ticketsJson(api.tickets(count));
  }
  aRequest.reply(http::status_codes::OK, body);
}

void
CallerHttp::Impl::tickets(const http::http_request& aRequest)
{
  const auto query = web::uri::split_query(aRequest.relative_uri().query());
  const std::uint32_t count = countOf(query, "count", 1);
  if (count == 0) {
    refuse(aRequest, http::status_codes::BadRequest, "malformed count");
    return;
  }
  json::value body = json::value::object();
  body["tickets"] = ticketsJson(api.tickets(count));
  aRequest.reply(http::status_codes::OK, body);
}

void
CallerHttp::Impl::query(const http::http_request& aRequest)
{
  // cpprestsdk would read a body of any length into memory.
  if (!aRequest.headers().has("Content-Length") ||
      aRequest.headers().content_length() > kMaxCallerBodyBytes) {
    refuse(aRequest,
           http::status_codes::RequestEntityTooLarge,
           "a body of at most 1 MiB with a Content-Length is required");
    stopReading(aRequest);
    return;
  }
  // A request is a handle; the copy shares its body.
  http::http_request request = aRequest;
  request.extract_utf8string(true).then(
    [this, aRequest](const pplx::task<std::string>& aBody) {
      QueryRequest parsed;
      try {
        parsed = parseQuery(aBody.get());
      } catch (const std::exception& error) {
        refuse(aRequest,
               http::status_codes::BadRequest,
               std::string("malformed query: ") + error.what());
        return;
      }
      api.query(std::move(parsed), [this, aRequest](const QueryAnswer& aNswer) {
        json::value body = toJson(aNswer);
        if (aNswer.outcome == Outcome::NotRun && !api.takesWork()) {
          body["addresses"] = toJson(api.addresses({}))["addresses"];
        }
        aRequest.reply(statusOf(aNswer), body);
      });
    });
}

void
CallerHttp::Impl::status(const http::http_request& aRequest)
{
  aRequest.reply(http::status_codes::OK, api.statusJson(), "application/json");
}

void
CallerHttp::Impl::metrics(const http::http_request& aRequest)
{
  aRequest.reply(
    http::status_codes::OK, api.metricsText(), "text/plain; version=0.0.4");
}

void
CallerHttp::Impl::explain(const http::http_request& aRequest)
{
  const auto query = web::uri::split_query(aRequest.relative_uri().query());
  const auto id = query.find("request_id");
  const auto queryClass = query.find("class");
  std::string text;
  if (id != query.end()) {
    text = api.explainJson(web::uri::decode(id->second));
  } else if (queryClass != query.end()) {
    text = api.classJson(web::uri::decode(queryClass->second));
  }
  if (text.empty()) {
    refuse(aRequest,
           http::status_codes::NotFound,
           "no such request in this node's memory, or no such class");
    return;
  }
  aRequest.reply(http::status_codes::OK, text, "application/json");
}

void
CallerHttp::Impl::rules(const http::http_request& aRequest)
{
  aRequest.reply(http::status_codes::OK, api.rulesJson(), "application/json");
}

std::string
renderAnswer(const QueryAnswer& aAnswer)
{
  return toJson(aAnswer).serialize();
}

CallerHttp::CallerHttp(CallerApiI& aApi)
  : m_impl(std::make_unique<Impl>(aApi))
{
}

CallerHttp::~CallerHttp() = default;

std::error_code
CallerHttp::init(const std::string& aAddress, std::uint16_t aPort)
{
  try {
    m_impl->listener =
      std::make_unique<http::experimental::listener::http_listener>(
        "http://" + aAddress + ":" + std::to_string(aPort));
    m_impl->listener->support(
      [impl = m_impl.get()](const http::http_request& aRequest) {
        impl->dispatch(aRequest);
      });
    m_impl->listener->open().wait();
  } catch (const std::exception& error) {
    logWrite(LogLevel::Error,
             LogLine("listen-failed")
               .add("address", aAddress)
               .add("port", aPort)
               .addText("reason", error.what()));
    return Errc::Unreachable;
  }
  return {};
}

void
CallerHttp::shutdown()
{
  if (m_impl->listener) {
    m_impl->listener->close().wait();
    m_impl->listener.reset();
  }
}

} // namespace toucanridge
