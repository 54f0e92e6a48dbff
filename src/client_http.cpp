#include "client_http_p.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>

#include "http_client_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time limit of all requests but queries.
constexpr milliseconds kNonQueryTimeout{ 1000 };
/// Time limit of a query without a deadline of its own: the longest deadline
/// that a class may have, 60 s, and a second for the connection.
constexpr milliseconds kMaxQueryTime{ 61000 };
/// How long the answer may take beyond the deadline that was sent.
constexpr milliseconds kAnswerGrace{ 1000 };
/// The largest responses are those for the rules and the status, a few
/// megabytes in the largest fleet.
constexpr std::size_t kMaxAnswerBytes = std::size_t(64) << 20U;
/// Tickets requested at once; a batch saves a round trip for each query.
constexpr int kTicketBatch = 8;
/// Unused tickets are discarded after this time; the issuer refuses them after
/// 120 s.
constexpr std::chrono::seconds kMaxTicketAge{ 60 };

/// Sends one request and waits for its response, for aTimeout at most.
/// @returns the result; its reason is set when there is no response
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
  call.body = std::make_shared<const std::string>(aBody);
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

/// Sends one request and parses the response body as JSON, whatever the status.
tl::expected<JsonDocument, std::string>
exchangeJson(const std::string& aAddress,
             const char* aMethod,
             const std::string& aTarget)
{
  const ExchangeResult result =
    exchange(aAddress, aMethod, aTarget, {}, kNonQueryTimeout);
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
makeQueryJson(const QueryRequest& aRequest)
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

QueryClient::QueryClient(std::vector<std::string> aEntries,
                         std::string aDataCentre)
  : m_entries(std::move(aEntries))
  , m_dataCentre(std::move(aDataCentre))
{
}

/// Replaces the known addresses by those in a response.
/// @returns false, with nothing replaced, when the response contains none
bool
QueryClient::storeAddresses(const Json& aBody)
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
  m_addressesValidUntil =
    steady_clock::now() + milliseconds(jsonUnsigned(aBody, "valid_ms"));
  return true;
}

bool
QueryClient::refreshAddresses()
{
  if (!m_addresses.empty() && steady_clock::now() < m_addressesValidUntil) {
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
    if (body && storeAddresses(*body)) {
      m_tickets.clear();
      storeTickets(*body, source);
      return true;
    }
  }
  return false;
}

bool
QueryClient::assignTicket(QueryRequest& aRequest)
{
  if (m_tickets.empty() || steady_clock::now() > m_ticketsValidUntil) {
    m_tickets.clear();
    for (const std::string& address : m_addresses) {
      const auto body = exchangeJson(
        address, "POST", "/v1/tickets?count=" + std::to_string(kTicketBatch));
      if (body) {
        storeTickets(*body, address);
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
QueryClient::storeTickets(const Json& aBody, const std::string& aIssuer)
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
  m_ticketsValidUntil = steady_clock::now() + kMaxTicketAge;
}

QueryClient::SendResult
QueryClient::sendOnce(const std::string& aAddress,
                      const QueryRequest& aRequest,
                      milliseconds aTimeout,
                      QueryAnswer& aAnswer)
{
  const ExchangeResult result =
    exchange(aAddress, "POST", "/v1/query", makeQueryJson(aRequest), aTimeout);
  if (result.end != ExchangeEnd::Answered) {
    aAnswer.reason = result.reason;
    return result.end == ExchangeEnd::ConnectFailed ||
               result.end == ExchangeEnd::NotSent
             ? SendResult::NotRun
             : SendResult::Broken;
  }
  const auto body = parseJson(result.response.body());
  if (!body) {
    aAnswer.reason = body.error();
    return SendResult::Broken;
  }
  aAnswer = parseAnswer(*body);
  if (aAnswer.outcome == Outcome::NotRun && storeAddresses(*body)) {
    // The host ran nothing; it accepts no queries now and its response lists
    // other hosts.
    return SendResult::NotRun;
  }
  return SendResult::Answered;
}

/// Sends a query to one address after another until one answers. This is safe
/// for every class: a query with a ticket is run once at most, and a query
/// without one is refused if its class must not run twice.
QueryAnswer
QueryClient::sendWithFailover(QueryRequest aRequest,
                              steady_clock::time_point aLimit)
{
  std::vector<std::string> addresses = m_addresses;
  if (!aRequest.ticket.empty()) {
    // Other hosts would forward the query to the issuer.
    const auto issuer =
      std::find(addresses.begin(), addresses.end(), m_ticketIssuer);
    if (issuer != addresses.end()) {
      std::rotate(addresses.begin(), issuer, issuer + 1);
    }
  }
  const bool hasDeadline = aRequest.deadline.count() > 0;
  bool mayHaveRun = false;
  QueryAnswer answer;
  answer.reason = "no entry host could be reached";
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const std::string address = addresses[i];
    const auto timeLeft =
      std::chrono::duration_cast<milliseconds>(aLimit - steady_clock::now());
    if (timeLeft <= milliseconds(0)) {
      break;
    }
    if (hasDeadline) {
      aRequest.deadline = timeLeft;
    }
    QueryAnswer received;
    const SendResult sendResult =
      sendOnce(address,
               aRequest,
               hasDeadline ? timeLeft + kAnswerGrace : timeLeft,
               received);
    if (sendResult == SendResult::Answered) {
      const bool issuerUnreachable =
        !aRequest.ticket.empty() && received.outcome == Outcome::Unknown &&
        received.reason == make_error_code(Errc::Unreachable).message();
      if (!issuerUnreachable) {
        // Without a ticket, "not-run" covers this attempt only; an earlier one
        // may have run.
        if (mayHaveRun && aRequest.ticket.empty() &&
            received.outcome == Outcome::NotRun) {
          received.outcome = Outcome::Unknown;
        }
        return received;
      }
    }
    for (const std::string& known : m_addresses) {
      if (std::find(addresses.begin(), addresses.end(), known) ==
          addresses.end()) {
        addresses.push_back(known);
      }
    }
    answer.reason = received.reason;
    mayHaveRun = mayHaveRun || sendResult != SendResult::NotRun;
    m_addressesValidUntil = {};
  }
  answer.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  return answer;
}

QueryAnswer
QueryClient::query(const QueryRequest& aRequest)
{
  QueryAnswer answer;
  answer.reason = "no entry host could be reached";
  const auto limit =
    steady_clock::now() +
    (aRequest.deadline.count() > 0 ? aRequest.deadline : kMaxQueryTime);
  if (!refreshAddresses()) {
    return answer;
  }
  QueryRequest request = aRequest;
  const bool needsTicket = m_ticketClasses.count(request.queryClass) != 0;
  if (request.ticket.empty() && needsTicket && !assignTicket(request)) {
    answer.reason = "no ticket could be had";
    return answer;
  }
  answer = sendWithFailover(request, limit);
  if (request.ticket.empty() && answer.outcome == Outcome::NotRun &&
      answer.reason == make_error_code(Errc::TicketRequired).message()) {
    m_ticketClasses.insert(request.queryClass);
    if (assignTicket(request)) {
      answer = sendWithFailover(request, limit);
    }
  }
  return answer;
}

tl::expected<std::string, std::string>
QueryClient::get(const std::string& aEntry, const std::string& aPath)
{
  const ExchangeResult result =
    exchange(aEntry, "GET", aPath, {}, kNonQueryTimeout);
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
