#include "platform_http_p.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>

namespace toucanridge {
namespace {

namespace http = web::http;
namespace json = web::json;

/// How long an answer may take beyond the wait that was asked for.
constexpr std::chrono::seconds kAnswerTime{ 2 };
/// Longest watch that this adapter asks for.
constexpr std::chrono::seconds kLongestWait{ 30 };
constexpr std::size_t kMaxHosts = 8192;

http::client::http_client_config
clientConfig()
{
  http::client::http_client_config config;
  config.set_timeout(kAnswerTime + kLongestWait);
  return config;
}

std::uint16_t
portField(const json::value& aValue, const char* aName)
{
  const int port = aValue.at(aName).as_integer();
  if (port < 1 || port > 65535) {
    throw json::json_exception("port out of range");
  }
  return static_cast<std::uint16_t>(port);
}

/// @throws json::json_exception on a malformed list
HostList
parseHosts(const json::value& aBody)
{
  HostList list;
  list.revision = aBody.at("revision").as_number().to_uint64();
  const json::array& entries = aBody.at("hosts").as_array();
  if (entries.size() > kMaxHosts) {
    throw json::json_exception("too many hosts");
  }
  for (const json::value& entry : entries) {
    Host host;
    host.name = entry.at("name").as_string();
    host.dataCentre = entry.at("data_centre").as_string();
    host.address = entry.at("address").as_string();
    host.httpPort = portField(entry, "http_port");
    host.peerPort = portField(entry, "peer_port");
    const std::string& state = entry.at("state").as_string();
    host.state = state == "live" ? HostState::Live : HostState::Leaving;
    list.hosts.push_back(std::move(host));
  }
  return list;
}

/// @throws json::json_exception on a malformed answer
PublishedRules
parseRulesAnswer(const json::value& aBody)
{
  PublishedRules rules;
  rules.revision = aBody.at("revision").as_number().to_uint64();
  rules.text = aBody.at("text").as_string();
  return rules;
}

/// Reads one JSON answer and hands it, parsed, to the caller.
template<class Value, class Parse, class Done>
void
readJson(http::client::http_client& aClient,
         const std::string& aPath,
         Parse aParse,
         Done aDone)
{
  aClient.request(http::methods::GET, aPath)
    .then([](const http::http_response& aResponse) {
      if (aResponse.status_code() != http::status_codes::OK) {
        throw http::http_exception("status " +
                                   std::to_string(aResponse.status_code()));
      }
      return aResponse.extract_json(true);
    })
    .then([aParse, aDone](const pplx::task<json::value>& aBody) {
      tl::expected<Value, std::error_code> result;
      try {
        result = aParse(aBody.get());
      } catch (const json::json_exception&) {
        result = tl::make_unexpected(make_error_code(Errc::BadMessage));
      } catch (const std::exception&) {
        result = tl::make_unexpected(make_error_code(Errc::Unreachable));
      }
      aDone(std::move(result));
    });
}

} // namespace

struct PlatformHttp::Impl
{
  explicit Impl(const std::string& aUrl)
    : rules(web::uri(aUrl), clientConfig())
    , hosts(web::uri(aUrl), clientConfig())
  {
  }
  http::client::http_client rules;
  http::client::http_client hosts;
};

PlatformHttp::PlatformHttp(const std::string& aUrl)
  : m_impl(std::make_unique<Impl>(aUrl))
{
}

PlatformHttp::~PlatformHttp() = default;

void
PlatformHttp::readRules(std::uint64_t aAfter,
                        std::chrono::milliseconds aWait,
                        OnRules aDone)
{
  const auto wait = std::min<std::chrono::milliseconds>(aWait, kLongestWait);
  readJson<PublishedRules>(m_impl->rules,
                           "/v1/config?after=" + std::to_string(aAfter) +
                             "&wait_ms=" + std::to_string(wait.count()),
                           parseRulesAnswer,
                           std::move(aDone));
}

void
PlatformHttp::readHosts(OnHosts aDone)
{
  readJson<HostList>(m_impl->hosts, "/v1/hosts", parseHosts, std::move(aDone));
}

} // namespace toucanridge
