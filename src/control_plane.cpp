#include "control_plane_p.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "log_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{ 50 };
constexpr std::chrono::seconds kStatusPeriod{ 1 };
constexpr milliseconds kAddressValidity{ 2000 };

} // namespace

/// Runs the platform's callbacks on the control thread. A read may end after
/// the node has stopped, so callbacks share ownership of the Target and don't
/// refer to the node.
class ControlPlane::PlatformOnControl final : public PlatformI
{
public:
  PlatformOnControl(asio::io_context& aContext, PlatformI& aPlatform)
    : m_platform(aPlatform)
    , m_target(std::make_shared<Target>())
  {
    m_target->context = &aContext;
  }

  void readRules(std::uint64_t aAfter,
                 milliseconds aWait,
                 OnRules aDone) override
  {
    m_platform.readRules(
      aAfter, aWait, [target = m_target, done = std::move(aDone)](auto aRules) {
        target->post([done, rules = std::move(aRules)] { done(rules); });
      });
  }

  void readHosts(OnHosts aDone) override
  {
    m_platform.readHosts(
      [target = m_target, done = std::move(aDone)](auto aHosts) {
        target->post([done, hosts = std::move(aHosts)] { done(hosts); });
      });
  }

  /// Drops the results of reads from now on.
  void close()
  {
    const std::lock_guard<std::mutex> lock(m_target->mutex);
    m_target->context = nullptr;
  }

private:
  struct Target
  {
    std::mutex mutex;
    asio::io_context* context = nullptr;

    template<class Work>
    void post(Work aWork)
    {
      const std::lock_guard<std::mutex> lock(mutex);
      if (context != nullptr) {
        asio::post(*context, std::move(aWork));
      }
    }
  };

  PlatformI& m_platform;
  std::shared_ptr<Target> m_target;
};

ControlPlane::ControlPlane(asio::io_context& aContext,
                           const ClockI& aClock,
                           const NodeSettings& aSettings,
                           std::uint64_t aIncarnation,
                           PlatformI& aPlatform,
                           PeerLinks& aLinks,
                           ViewHolder& aViews,
                           std::function<std::uint32_t()> aLoad)
  : m_context(aContext)
  , m_clock(aClock)
  , m_settings(aSettings)
  , m_incarnation(aIncarnation)
  , m_links(aLinks)
  , m_views(aViews)
  , m_platform(std::make_unique<PlatformOnControl>(aContext, aPlatform))
  , m_socket(aContext)
  , m_core(
      aClock,
      aIncarnation,
      { aSettings.host, aSettings.dataCentre, aIncarnation },
      { m_socket,
        *this,
        *m_platform,
        *this,
        [this] {
          return m_settledViewSource ? m_settledViewSource() : ViewId{};
        },
        [this] { return m_leasedViewSource ? m_leasedViewSource() : ViewId{}; },
        std::move(aLoad),
        [this](const ViewPtr& aView, bool aReady) {
          m_newestView.set(aView);
          if (aReady) {
            logWrite(LogLevel::Info,
                     LogLine("view")
                       .add("rules", aView->id.rules)
                       .add("hosts", aView->id.hosts));
            // Sending rights are updated first: under the new view
            // traffic must not use a slot that this host has lost.
            if (m_onView) {
              m_onView(aView);
            }
            m_views.set(aView);
          }
        } })
  , m_timer(aContext)
  , m_members(std::make_shared<MemberSnapshot>())
  , m_status(std::make_shared<ControlStatus>())
{
  std::vector<PeerAddress> seeds;
  for (const std::string& seed : aSettings.seeds) {
    const auto colon = seed.rfind(':');
    seeds.push_back(
      { seed.substr(0, colon),
        static_cast<std::uint16_t>(std::stoul(seed.substr(colon + 1))) });
  }
  m_core.membership().setSeeds(std::move(seeds));
}

ControlPlane::~ControlPlane() = default;

std::error_code
ControlPlane::init()
{
  const std::error_code error =
    m_socket.init(m_settings.address,
                  m_settings.peerPort,
                  [this](const PeerAddress& aFrom, std::string_view aBytes) {
                    m_core.membership().onDatagram(aFrom, aBytes);
                  });
  if (!error) {
    asio::post(m_context, [this] { tickPeriodically(); });
  }
  return error;
}

void
ControlPlane::leave()
{
  m_leaving = true;
  asio::post(m_context, [this] { m_core.membership().leave(); });
}

milliseconds
ControlPlane::leaveTime() const
{
  return m_spreadTime.load() + kAddressValidity;
}

void
ControlPlane::shutdown()
{
  m_platform->close();
  m_timer.cancel();
  m_socket.shutdown();
}

void
ControlPlane::tickPeriodically()
{
  m_core.tick();
  publishMembers();
  m_timer.expires_after(kTickPeriod);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      tickPeriodically();
    }
  });
}

void
ControlPlane::publishMembers()
{
  const bool due = m_clock.now() >= m_nextStatus;
  if (m_core.membership().takeChanged() || due) {
    std::atomic_store(&m_members, m_core.membership().makeSnapshot());
    m_spreadTime = m_core.membership().spreadTime();
    if (m_onMembers) {
      m_onMembers(m_core.membership().aliveHosts(),
                  m_core.membership().isInformed() && !m_leaving);
    }
  }
  if (due) {
    m_nextStatus = m_clock.now() + kStatusPeriod;
    publishStatus();
  }
}

void
ControlPlane::publishStatus()
{
  auto status = std::make_shared<ControlStatus>();
  const ConfigSync& config = m_core.config();
  status->membership = m_core.membership().counters();
  status->config = config.counters();
  status->role = config.role();
  status->ready = config.isReady();
  status->held = config.heldRevisions();
  status->refusedRules = config.refusedRevision(DocumentKind::Rules);
  status->refusedHosts = config.refusedRevision(DocumentKind::Hosts);
  status->unsentDatagrams = m_socket.dropped();
  for (const Host& host : config.hosts().hosts) {
    if (host.name != m_settings.host) {
      status->members[host.name] = m_core.membership().stateOf(host.name);
    }
  }
  std::atomic_store(&m_status, std::shared_ptr<const ControlStatus>(status));
}

std::shared_ptr<const ControlStatus>
ControlPlane::status() const
{
  return std::atomic_load(&m_status);
}

bool
ControlPlane::isAlive(const std::string& aHost) const
{
  return std::atomic_load(&m_members)->unavailable.count(aHost) == 0;
}

void
ControlPlane::onLinkLost(const std::string& aHost)
{
  asio::post(m_context,
             [this, aHost] { m_core.membership().onFailureHint(aHost); });
}

AddressAnswer
ControlPlane::addresses(const std::string& aDataCentre) const
{
  AddressAnswer answer;
  answer.validFor = kAddressValidity;
  const ViewPtr view = m_newestView.get();
  if (!view) {
    return answer;
  }
  answer.revision = view->id.rules;
  const auto members = std::atomic_load(&m_members);
  std::mt19937_64 random(
    m_incarnation ^
    static_cast<std::uint64_t>(m_clock.now().time_since_epoch().count()));
  std::uniform_real_distribution<double> uniform(1e-9, 1.0);
  // Sorting by -log(u) * (1 + load) draws without replacement, each host with
  // a weight of 1 / (1 + load).
  std::vector<std::pair<std::pair<bool, double>, CallerAddress>> ranked;
  for (const Host& host : view->hosts.hosts) {
    const bool self = host.name == m_settings.host;
    const bool available = self ? !m_leaving && m_views.get() != nullptr
                                : members->unavailable.count(host.name) == 0;
    if (!available || !view->inService(host)) {
      continue;
    }
    const auto load = members->loads.find(host.name);
    const double loadFactor =
      1.0 + (load == members->loads.end() ? 0.0 : load->second);
    ranked.push_back(
      { { host.dataCentre != aDataCentre,
          -std::log(uniform(random)) * loadFactor },
        { host.name, host.dataCentre, host.address, host.httpPort } });
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.first < aOther.first;
    });
  for (auto& entry : ranked) {
    answer.addresses.push_back(std::move(entry.second));
  }
  return answer;
}

void
ControlPlane::sendFetch(const std::string& aHost,
                        const PeerAddress& aAddress,
                        const ConfigFetch& aFetch)
{
  m_links.send(aHost,
               aAddress.address,
               aAddress.port,
               MessageType::ConfigFetch,
               encode(aFetch),
               0);
}

void
ControlPlane::onConfigRequest(const std::string& aPayload,
                              const PeerLinks::Reply& aReply)
{
  asio::post(m_context, [this, aPayload, aReply] {
    auto [type, payload] = m_core.config().answerFetch(aPayload);
    if (!payload.empty()) {
      aReply(type, std::move(payload));
    }
  });
}

void
ControlPlane::onConfigReply(const std::string& aHost,
                            MessageType aType,
                            const std::string& aPayload)
{
  asio::post(m_context, [this, aHost, aType, aPayload] {
    if (!m_core.config().onReply(aHost, aType, aPayload)) {
      logWrite(LogLevel::Warn,
               LogLine("config-reply-dropped")
                 .add("peer", aHost)
                 .add("bytes", aPayload.size()));
    }
  });
}

void
ControlPlane::onProbeAcked(const PeerState& aPeer, TimePoint aSentAt)
{
  if (m_probeAckListener != nullptr) {
    m_probeAckListener->onProbeAcked(aPeer, aSentAt);
  }
}

} // namespace toucanridge
