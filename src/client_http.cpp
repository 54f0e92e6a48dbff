#include "client_http_p.h"

#include <algorithm>

#include <cpprest/http_client.h>
#include <cpprest/json.h>

namespace toucanridge {
namespace {

namespace http = web::http;
namespace json = web::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kAddressTimeout{ 1000 };
/// Longest deadline that a class may have, and time for the connection.
constexpr milliseconds kLongestQuery{ 61000 };
/// How long the answer may take beyond the deadline that was sent.
constexpr milliseconds kAnswerGrace{ 1000 };
// cpprestsdk's message for a failed connect; its code doesn't tell it from a
// connection that broke later.
constexpr const char* kConnectFailed =
  "Failed to connect to any resolved endpoint";
/// Tickets asked for at once; a batch saves a round trip for each query.
constexpr int kTicketBatch = 8;
/// Tickets are used within this time; the issuer refuses them after 120 s.
constexpr std::chrono::seconds kTicketUse{ 60 };

http::client::http_client
makeClient(const std::string& aAddress, milliseconds aTimeout)
{
  http::client::http_client_config config;
  config.set_timeout(aTimeout);
  return { web::uri("http://" + aAddress), config };
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

std::string
textField(const json::value& aBody, const char* aName)
{
  return aBody.has_string_field(aName) ? aBody.at(aName).as_string()
                                       : std::string();
}

std::uint64_t
numberField(const json::value& aBody, const char* aName)
{
  return aBody.has_number_field(aName) ? aBody.at(aName).as_number().to_uint64()
                                       : 0;
}

QueryAnswer
parseAnswer(const json::value& aBody)
{
  QueryAnswer answer;
  answer.requestId = textField(aBody, "request_id");
  answer.outcome = parseOutcome(textField(aBody, "outcome"));
  answer.reason = textField(aBody, "reason");
  answer.snapshot = numberField(aBody, "snapshot");
  answer.revision = numberField(aBody, "revision");
  if (aBody.has_field("coverage")) {
    const json::value& coverage = aBody.at("coverage");
    answer.coverage.answered =
      static_cast<std::uint32_t>(numberField(coverage, "answered"));
    answer.coverage.total =
      static_cast<std::uint32_t>(numberField(coverage, "total"));
  }
  if (aBody.has_array_field("rules")) {
    for (const json::value& rule : aBody.at("rules").as_array()) {
      answer.rules.push_back(
        { static_cast<std::uint32_t>(numberField(rule, "line")),
          textField(rule, "text"),
          textField(rule, "asked_by") });
    }
  }
  if (aBody.has_array_field("parts")) {
    for (const json::value& part : aBody.at("parts").as_array()) {
      answer.parts.push_back(
        { textField(part, "service"), textField(part, "body") });
    }
  }
  return answer;
}

json::value
toJson(const QueryRequest& aRequest)
{
  json::value body = json::value::object();
  body["class"] = json::value::string(aRequest.queryClass);
  body["body"] = json::value::string(aRequest.body);
  if (!aRequest.ticket.empty()) {
    body["ticket"] = json::value::string(aRequest.ticket);
  }
  if (aRequest.deadline.count() > 0) {
    body["deadline_ms"] =
      json::value::number(static_cast<std::int64_t>(aRequest.deadline.count()));
  }
  return body;
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
Client::takeAddresses(const json::value& aBody)
{
  std::vector<std::string> found;
  for (const json::value& entry : aBody.at("addresses").as_array()) {
    found.push_back(entry.at("address").as_string() + ":" +
                    std::to_string(entry.at("port").as_integer()));
  }
  if (found.empty()) {
    return false;
  }
  m_addresses = std::move(found);
  m_validUntil =
    steady_clock::now() + milliseconds(numberField(aBody, "valid_ms"));
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
  for (const std::string& source : sources) {
    try {
      auto client = makeClient(source, kAddressTimeout);
      std::string path = "/v1/addresses?data_centre=" + m_dataCentre;
      if (!m_ticketClasses.empty()) {
        path += "&tickets=" + std::to_string(kTicketBatch);
      }
      const json::value body =
        client.request(http::methods::GET, path).get().extract_json(true).get();
      if (takeAddresses(body)) {
        m_tickets.clear();
        keepTickets(body, source);
        return true;
      }
    } catch (const std::exception&) {
      continue;
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
      try {
        auto client = makeClient(address, kAddressTimeout);
        const json::value body =
          client
            .request(http::methods::POST,
                     "/v1/tickets?count=" + std::to_string(kTicketBatch))
            .get()
            .extract_json(true)
            .get();
        keepTickets(body, address);
      } catch (const std::exception&) {
        continue;
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
Client::keepTickets(const json::value& aBody, const std::string& aIssuer)
{
  if (!aBody.has_array_field("tickets")) {
    return;
  }
  for (const json::value& ticket : aBody.at("tickets").as_array()) {
    m_tickets.push_back(ticket.as_string());
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
  try {
    auto client = makeClient(aAddress, aTimeout);
    const json::value body =
      client.request(http::methods::POST, "/v1/query", toJson(aRequest))
        .get()
        .extract_json(true)
        .get();
    aAnswer = parseAnswer(body);
    if (aAnswer.outcome == Outcome::NotRun && body.has_field("addresses")) {
      // The host takes no work now and ran nothing; it names others.
      takeAddresses(body);
      return Sent::Never;
    }
    return Sent::Answered;
  } catch (const http::http_exception& error) {
    aAnswer.reason = error.what();
    return aAnswer.reason == kConnectFailed ? Sent::Never : Sent::Broken;
  } catch (const std::exception& error) {
    aAnswer.reason = error.what();
    return Sent::Broken;
  }
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
  try {
    auto client = makeClient(aEntry, kAddressTimeout);
    const http::http_response response =
      client.request(http::methods::GET, aPath).get();
    const std::string body = response.extract_utf8string(true).get();
    if (response.status_code() != http::status_codes::OK) {
      return tl::make_unexpected(
        "status " + std::to_string(response.status_code()) + ": " + body);
    }
    return body;
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

} // namespace toucanridge
