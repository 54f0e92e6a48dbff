#include "platform_http_p.h"

#include <algorithm>
#include <limits>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "epoch_revision_p.h"
#include "http_client_p.h"
#include "http_thread_p.h"
#include "json_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Time allowed for an answer beyond the requested wait.
constexpr milliseconds kAnswerTimeout{ 2000 };
/// Longest wait that this adapter requests.
constexpr milliseconds kMaxWait{ 30'000 };
constexpr std::size_t kMaxHosts = 8192;
/// One watch and one read of the host list, and one of each that is being
/// cancelled.
constexpr std::size_t kConnections = 4;

/// @returns nothing when the entry is malformed
std::optional<Host>
parseHost(const Json& aEntry)
{
  constexpr std::uint64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
  Host host;
  host.name = jsonText(aEntry, "name");
  host.dataCentre = jsonText(aEntry, "data_centre");
  host.address = jsonText(aEntry, "address");
  const std::uint64_t httpPort = jsonUnsigned(aEntry, "http_port");
  const std::uint64_t peerPort = jsonUnsigned(aEntry, "peer_port");
  const std::string state = jsonText(aEntry, "state");
  if (host.name.empty() || host.dataCentre.empty() || host.address.empty() ||
      httpPort == 0 || httpPort > kMaxPort || peerPort == 0 ||
      peerPort > kMaxPort || state.empty()) {
    return std::nullopt;
  }
  host.httpPort = static_cast<std::uint16_t>(httpPort);
  host.peerPort = static_cast<std::uint16_t>(peerPort);
  host.state = state == "live" ? HostState::Live : HostState::Leaving;
  return host;
}

/// @returns the revision of an answer with its epoch, nothing when it is
///          malformed
std::optional<std::uint64_t>
parseRevision(const Json& aBody)
{
  const Json* revision = jsonMember(aBody, "revision");
  return revision != nullptr && revision->IsUint64()
           ? std::optional(joinRevision(jsonUnsigned(aBody, "epoch"),
                                        revision->GetUint64()))
           : std::nullopt;
}

std::optional<HostList>
parseHosts(const Json& aBody)
{
  const auto revision = parseRevision(aBody);
  const Json* entries = jsonMember(aBody, "hosts");
  if (!revision || entries == nullptr || !entries->IsArray() ||
      entries->Size() > kMaxHosts) {
    return std::nullopt;
  }
  HostList list;
  list.revision = *revision;
  for (const Json& entry : entries->GetArray()) {
    auto host = parseHost(entry);
    if (!host) {
      return std::nullopt;
    }
    list.hosts.push_back(std::move(*host));
  }
  return list;
}

std::optional<PublishedRules>
parseRulesAnswer(const Json& aBody)
{
  const auto revision = parseRevision(aBody);
  const Json* text = jsonMember(aBody, "text");
  if (!revision || text == nullptr || !text->IsString()) {
    return std::nullopt;
  }
  PublishedRules rules;
  rules.revision = *revision;
  rules.text = jsonText(aBody, "text");
  return rules;
}

/// Decodes a response with one of the functions above.
/// @returns Unreachable without a response of status 200, BadMessage when the
///          body is malformed
template<class Value>
tl::expected<Value, std::error_code>
decodeAnswer(const ExchangeResult& aResult,
             std::optional<Value> (*aParse)(const Json&))
{
  if (aResult.end != ExchangeEnd::Answered ||
      aResult.response.result_int() != 200) {
    return tl::make_unexpected(make_error_code(Errc::Unreachable));
  }
  const auto body = parseJson(aResult.response.body());
  auto value = body ? aParse(*body) : std::nullopt;
  if (!value) {
    return tl::make_unexpected(make_error_code(Errc::BadMessage));
  }
  return std::move(*value);
}

} // namespace

struct PlatformHttp::Impl
{
  using OnResult = std::function<void(const ExchangeResult&)>;

  explicit Impl(const std::string& aUrl);
  ~Impl() { thread.shutdown(); }

  /// Sends a GET request. Without a response in aTimeout it is cancelled, and
  /// aDone gets an empty result.
  void read(std::string aPath, milliseconds aTimeout, OnResult aDone);

  /// A read that has no result yet.
  struct PendingRead
  {
    explicit PendingRead(asio::io_context& aContext)
      : timer(aContext)
    {
    }
    HttpPendingCallPtr pendingCall;
    asio::steady_timer timer;
  };

  std::string host; ///< "address:port"
  SystemClock clock;
  HttpThread thread;
  std::shared_ptr<HttpPool> pool;
};

PlatformHttp::Impl::Impl(const std::string& aUrl)
  : host(aUrl.substr(aUrl.rfind('/') + 1))
{
  HttpClientSettings settings;
  settings.connections = kConnections;
  // The settings parser has checked that the URL ends with "address:port".
  pool = std::make_shared<HttpPool>(
    thread.context(), clock, parseEndpoint(host).value(), settings);
}

void
PlatformHttp::Impl::read(std::string aPath,
                         milliseconds aTimeout,
                         OnResult aDone)
{
  asio::post(
    thread.context(),
    [this, path = std::move(aPath), aTimeout, done = std::move(aDone)] {
      HttpCall call;
      call.head = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
      const auto pending = std::make_shared<PendingRead>(thread.context());
      pending->pendingCall = pool->send(
        std::move(call), [pending, done](const ExchangeResult& aResult) {
          pending->timer.cancel();
          done(aResult);
        });
      pending->timer.expires_after(aTimeout);
      pending->timer.async_wait(
        [pending, done](const boost::system::error_code& aError) {
          if (!aError) {
            pending->pendingCall->cancel();
            done({});
          }
        });
    });
}

PlatformHttp::PlatformHttp(const std::string& aUrl)
  : m_impl(std::make_unique<Impl>(aUrl))
{
}

PlatformHttp::~PlatformHttp() = default;

void
PlatformHttp::readRules(std::uint64_t aAfter, milliseconds aWait, OnRules aDone)
{
  const auto wait = std::min(aWait, kMaxWait);
  m_impl->read(
    "/v1/config?after=" + std::to_string(numberInEpoch(aAfter)) +
      "&epoch=" + std::to_string(epochOf(aAfter)) +
      "&wait_ms=" + std::to_string(wait.count()),
    wait + kAnswerTimeout,
    [this, aAfter, done = std::move(aDone)](const ExchangeResult& aResult) {
      auto rules = decodeAnswer(aResult, &parseRulesAnswer);
      if (rules && rules->text.empty() && aAfter != 0 &&
          epochOf(rules->revision) > epochOf(aAfter)) {
        // The platform has compared its revision with one of an earlier epoch.
        readRules(0, milliseconds(0), done);
        return;
      }
      done(std::move(rules));
    });
}

void
PlatformHttp::readHosts(OnHosts aDone)
{
  m_impl->read("/v1/hosts",
               kAnswerTimeout,
               [done = std::move(aDone)](const ExchangeResult& aResult) {
                 done(decodeAnswer(aResult, &parseHosts));
               });
}

} // namespace toucanridge
