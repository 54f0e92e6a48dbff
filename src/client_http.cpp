#include "client_http_p.h"

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
// cpprestsdk reports every failed connect as this value.
constexpr int kConnectFailed = 113;

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
      const json::value body =
        client
          .request(http::methods::GET,
                   "/v1/addresses?data_centre=" + m_dataCentre)
          .get()
          .extract_json(true)
          .get();
      std::vector<std::string> found;
      for (const json::value& entry : body.at("addresses").as_array()) {
        found.push_back(entry.at("address").as_string() + ":" +
                        std::to_string(entry.at("port").as_integer()));
      }
      if (!found.empty()) {
        m_addresses = std::move(found);
        m_validUntil =
          steady_clock::now() + milliseconds(numberField(body, "valid_ms"));
        return true;
      }
    } catch (const std::exception&) {
      continue;
    }
  }
  return false;
}

QueryAnswer
Client::query(const QueryRequest& aRequest)
{
  QueryAnswer answer;
  answer.reason = "no entry host could be reached";
  if (!refreshAddresses()) {
    return answer;
  }
  const milliseconds timeout = aRequest.deadline.count() > 0
                                 ? aRequest.deadline + kAnswerGrace
                                 : kLongestQuery;
  const std::vector<std::string> addresses = m_addresses;
  for (const std::string& address : addresses) {
    try {
      auto client = makeClient(address, timeout);
      const json::value body =
        client.request(http::methods::POST, "/v1/query", toJson(aRequest))
          .get()
          .extract_json(true)
          .get();
      return parseAnswer(body);
    } catch (const http::http_exception& error) {
      if (error.error_code().value() == kConnectFailed) {
        m_validUntil = {};
        continue;
      }
      answer.outcome = Outcome::Unknown;
      answer.reason = error.what();
      return answer;
    } catch (const std::exception& error) {
      answer.outcome = Outcome::Unknown;
      answer.reason = error.what();
      return answer;
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
