#include "client_http_p.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>

#include "http_client_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kAddressTimeout{ 1000 };
/// Longest deadline that a class may have, and time for the connection.
constexpr milliseconds kLongestQuery{ 61000 };
/// How long the answer may take beyond the deadline that was sent.
constexpr milliseconds kAnswerGrace{ 1000 };
/// The largest answers are those of rules and status, of a few megabytes in
/// the largest fleet.
constexpr std::size_t kMaxAnswerBytes = std::size_t(64) << 20U;
/// Tickets asked for at once; a batch saves a round trip for each query.
constexpr int kTicketBatch = 8;
/// Tickets are used within this time; the issuer refuses them after 120 s.
constexpr std::chrono::seconds kTicketUse{ 60 };

/// Sends one request and waits for its end.
/// @returns the result; one without a response says why in its reason
ExchangeResult
exchange(const std::string& aAddress,
         const char* aMethod,
         const std::string& aTarget,
         const std::string& aBody,
         milliseconds aTimeout)
{
  ExchangeResult result;
  const auto endpoint = parseEndpoint(aAddress);
  if (!endpoint) {
    result.reason = "not an address and port";
    return result;
  }
  boost::asio::io_context context;
  const SystemClock clock;
  HttpClientSettings settings;
  settings.connections = 1;
  settings.bodyBytes = kMaxAnswerBytes;
  const auto pool =
    std::make_shared<HttpPool>(context, clock, *endpoint, settings);
  HttpCall call;
  call.head = std::string(aMethod) + " " + aTarget + " HTTP/1.1\r\n";
  appendHeader(call.head, "Host", aAddress);
  appendHeader(call.head, "Connection", "close");
  if (!aBody.empty()) {
    appendHeader(call.head, "Content-Type", "application/json");
  }
  appendHeader(call.head, "Content-Length", std::to_string(aBody.size()));
  call.head += "\r\n";
  call.body = aBody;
  bool ended = false;
  pool->send(std::move(call), [&result, &ended](ExchangeResult aResult) {
    result = std::move(aResult);
    ended = true;
  });
  const auto limit = steady_clock::now() + aTimeout;
  while (!ended && context.run_one_until(limit) > 0) {
  }
  if (!ended) {
    // The request may have been written.
    result.end = ExchangeEnd::Broken;
    result.reason = "no answer in time";
  }
  return result;
}

/// Sends one request and reads its answer as JSON, whatever its status.
tl::expected<JsonDocument, std::string>
exchangeJson(const std::string& aAddress,
             const char* aMethod,
             const std::string& aTarget)
{
  const ExchangeResult result =
    exchange(aAddress, aMethod, aTarget, {}, kAddressTimeout);
  if (result.end != ExchangeEnd::Answered) {
    return tl::make_unexpected(std::string(result.reason));
  }
  return parseJson(result.response.body());
}

Outcome
parseOutcome(const std::string& aText)
{
  for (const Outcome outcome :
       { Outcome::Whole, Outcome::Partial, Outcome::NotRun }) {
    if (aText == toString(outcome)) {
      return outcome;
    }
  }
  return Outcome::Unknown;
}

QueryAnswer
parseAnswer(const Json& aBody)
{
  QueryAnswer answer;
  answer.requestId = jsonText(aBody, "request_id");
  answer.outcome = parseOutcome(jsonText(aBody, "outcome"));
  answer.reason = jsonText(aBody, "reason");
  answer.snapshot = jsonUnsigned(aBody, "snapshot");
  answer.revision = jsonUnsigned(aBody, "revision");
  if (const Json* coverage = jsonMember(aBody, "coverage")) {
    answer.coverage.answered =
      static_cast<std::uint32_t>(jsonUnsigned(*coverage, "answered"));
    answer.coverage.total =
      static_cast<std::uint32_t>(jsonUnsigned(*coverage, "total"));
  }
  for (const Json& rule : jsonArray(aBody, "rules")) {
    answer.rules.push_back(
      { static_cast<std::uint32_t>(jsonUnsigned(rule, "line")),
        jsonText(rule, "text"),
        jsonText(rule, "asked_by") });
  }
  for (const Json& part : jsonArray(aBody, "parts")) {
    answer.parts.push_back(
      { jsonText(part, "service"), jsonText(part, "body") });
  }
  return answer;
}

std::string
makeQuery(const QueryRequest& aRequest)
{
  JsonWriter body;
  body.beginObject();
  body.text("class", aRequest.queryClass);
  body.text("body", aRequest.body);
  if (!aRequest.ticket.empty()) {
    body.text("ticket", aRequest.ticket);
  }
  if (aRequest.deadline.count() > 0) {
    body.number("deadline_ms", aRequest.deadline.count());
  }
  body.endObject();
  return body.str();
}

} // namespace

Client::Client(std::vector<std::string> aEntries, std::string aDataCentre)
  : m_entries(std::move(aEntries))
  , m_dataCentre(std::move(aDataCentre))
{
}

/// Takes the addresses of an answer.
/// @returns false when it names none
bool
Client::takeAddresses(const Json& aBody)
{
  std::vector<std::string> found;
  for (const Json& entry : jsonArray(aBody, "addresses")) {
    found.push_back(jsonText(entry, "address") + ":" +
                    std::to_string(jsonUnsigned(entry, "port")));
  }
  if (found.empty()) {
    return false;
  }
  m_addresses = std::move(found);
  m_validUntil =
    steady_clock::now() + milliseconds(jsonUnsigned(aBody, "valid_ms"));
  return true;
}

bool
Client::refreshAddresses()
{
  if (!m_addresses.empty() && steady_clock::now() < m_validUntil) {
    return true;
  }
  std::vector<std::string> sources = m_addresses;
  sources.insert(sources.end(), m_entries.begin(), m_entries.end());
  std::string target =
    "/v1/addresses?data_centre=" + percentEncode(m_dataCentre);
  if (!m_ticketClasses.empty()) {
    target += "&tickets=" + std::to_string(kTicketBatch);
  }
  for (const std::string& source : sources) {
    const auto body = exchangeJson(source, "GET", target);
    if (body && takeAddresses(*body)) {
      m_tickets.clear();
      keepTickets(*body, source);
      return true;
    }
  }
  return false;
}

bool
Client::takeTicket(QueryRequest& aRequest)
{
  if (m_tickets.empty() || steady_clock::now() > m_ticketsUntil) {
    m_tickets.clear();
    for (const std::string& address : m_addresses) {
      const auto body = exchangeJson(
        address, "POST", "/v1/tickets?count=" + std::to_string(kTicketBatch));
      if (body) {
        keepTickets(*body, address);
      }
      if (!m_tickets.empty()) {
        break;
      }
    }
  }
  if (m_tickets.empty()) {
    return false;
  }
  aRequest.ticket = std::move(m_tickets.back());
  m_tickets.pop_back();
  return true;
}

void
Client::keepTickets(const Json& aBody, const std::string& aIssuer)
{
  const auto tickets = jsonArray(aBody, "tickets");
  if (tickets.Empty()) {
    return;
  }
  for (const Json& ticket : tickets) {
    if (ticket.IsString()) {
      m_tickets.emplace_back(ticket.GetString(), ticket.GetStringLength());
    }
  }
  m_ticketIssuer = aIssuer;
  m_ticketsUntil = steady_clock::now() + kTicketUse;
}

Client::Sent
Client::sendOnce(const std::string& aAddress,
                 const QueryRequest& aRequest,
                 milliseconds aTimeout,
                 QueryAnswer& aAnswer)
{
  const ExchangeResult result =
    exchange(aAddress, "POST", "/v1/query", makeQuery(aRequest), aTimeout);
  if (result.end != ExchangeEnd::Answered) {
    aAnswer.reason = result.reason;
    return result.end == ExchangeEnd::ConnectFailed ||
               result.end == ExchangeEnd::NotSent
             ? Sent::Never
             : Sent::Broken;
  }
  const auto body = parseJson(result.response.body());
  if (!body) {
    aAnswer.reason = body.error();
    return Sent::Broken;
  }
  aAnswer = parseAnswer(*body);
  if (aAnswer.outcome == Outcome::NotRun && takeAddresses(*body)) {
    // The host takes no work now and ran nothing; it names others.
    return Sent::Never;
  }
  return Sent::Answered;
}

/// Sends a query to one address after another until one answers. This is safe
/// for every class: with a ticket the system runs it once, and without one it
/// refuses a class that must not run twice.
QueryAnswer
Client::sendAnywhere(QueryRequest aRequest, steady_clock::time_point aLimit)
{
  std::vector<std::string> addresses = m_addresses;
  if (!aRequest.ticket.empty()) {
    // The issuer needs no hop to itself.
    const auto issuer =
      std::find(addresses.begin(), addresses.end(), m_ticketIssuer);
    if (issuer != addresses.end()) {
      std::rotate(addresses.begin(), issuer, issuer + 1);
    }
  }
  const bool bounded = aRequest.deadline.count() > 0;
  bool mayHaveRun = false;
  QueryAnswer answer;
  answer.reason = "no entry host could be reached";
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const std::string address = addresses[i];
    const auto left =
      std::chrono::duration_cast<milliseconds>(aLimit - steady_clock::now());
    if (left <= milliseconds(0)) {
      break;
    }
    if (bounded) {
      aRequest.deadline = left;
    }
    QueryAnswer got;
    const Sent sent =
      sendOnce(address, aRequest, bounded ? left + kAnswerGrace : left, got);
    if (sent == Sent::Answered) {
      const bool issuerAway =
        !aRequest.ticket.empty() && got.outcome == Outcome::Unknown &&
        got.reason == make_error_code(Errc::Unreachable).message();
      if (!issuerAway) {
        // Without a ticket a refusal speaks only of this attempt.
        if (mayHaveRun && aRequest.ticket.empty() &&
            got.outcome == Outcome::NotRun) {
          got.outcome = Outcome::Unknown;
        }
        return got;
      }
    }
    for (const std::string& named : m_addresses) {
      if (std::find(addresses.begin(), addresses.end(), named) ==
          addresses.end()) {
        addresses.push_back(named);
      }
    }
    answer.reason = got.reason;
    mayHaveRun = mayHaveRun || sent != Sent::Never;
    m_validUntil = {};
  }
  answer.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  return answer;
}

QueryAnswer
Client::query(const QueryRequest& aRequest)
{
  QueryAnswer answer;
  answer.reason = "no entry host could be reached";
  const auto limit =
    steady_clock::now() +
    (aRequest.deadline.count() > 0 ? aRequest.deadline : kLongestQuery);
  if (!refreshAddresses()) {
    return answer;
  }
  QueryRequest request = aRequest;
  const bool needsTicket = m_ticketClasses.count(request.queryClass) != 0;
  if (request.ticket.empty() && needsTicket && !takeTicket(request)) {
    answer.reason = "no ticket could be had";
    return answer;
  }
  answer = sendAnywhere(request, limit);
  if (request.ticket.empty() && answer.outcome == Outcome::NotRun &&
      answer.reason == make_error_code(Errc::TicketRequired).message()) {
    m_ticketClasses.insert(request.queryClass);
    if (takeTicket(request)) {
      answer = sendAnywhere(request, limit);
    }
  }
  return answer;
}

tl::expected<std::string, std::string>
Client::get(const std::string& aEntry, const std::string& aPath)
{
  const ExchangeResult result =
    exchange(aEntry, "GET", aPath, {}, kAddressTimeout);
  if (result.end != ExchangeEnd::Answered) {
    return tl::make_unexpected(std::string(result.reason));
  }
  if (result.response.result_int() != 200) {
    return tl::make_unexpected("status " +
                               std::to_string(result.response.result_int()) +
                               ": " + result.response.body());
  }
  return result.response.body();
}

} // namespace toucanridge
