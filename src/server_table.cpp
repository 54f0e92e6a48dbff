#include "server_table_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

/// Part of a server's connections that the hosts share equally. The rest is for
/// hosts that have just joined and don't know all others yet.
constexpr double kSharedConnectionsRatio = 0.9;
/// One for a request and one for a hedge.
constexpr std::size_t kMinConnections = 2;
/// Servers that probeServers() connects to.
constexpr std::size_t kProbedServers = 3;
/// Limit of all unfinished responses together, well below the memory of the
/// smallest host: a faulty server may send one without end. It holds some
/// thousand ordinary parts.
constexpr std::size_t kUnfinishedBytes = 24 << 20;

HttpClientSettings
makeClientSettings(std::size_t aConnections)
{
  HttpClientSettings settings;
  settings.limit = std::make_shared<ConnectionLimit>();
  settings.limit->most = aConnections;
  settings.budget = std::make_shared<BufferBudget>(kUnfinishedBytes);
  return settings;
}

/// @returns false when the server has restarted or moved in between
bool
isSameInstance(const BackendServer& aOne, const BackendServer& aOther)
{
  return aOne.startedMs == aOther.startedMs && aOne.address == aOther.address &&
         aOne.port == aOther.port && aOne.service == aOther.service;
}

} // namespace

ServerTable::ServerTable(boost::asio::io_context& aContext,
                         const ClockI& aClock,
                         std::string aHost,
                         std::string aDataCentre,
                         std::size_t aConnections)
  : m_context(aContext)
  , m_clock(aClock)
  , m_host(std::move(aHost))
  , m_dataCentre(std::move(aDataCentre))
  , m_clientSettings(makeClientSettings(aConnections))
  , m_reach(aClock)
{
}

std::size_t
ServerTable::connectionShare(const RoutingTable& aRouting,
                             const std::string& aService) const
{
  if (m_sharingHosts.count == 0) {
    return kMinConnections;
  }
  const ServiceContract* contract = aRouting.service(aService);
  const double maxConnections = contract != nullptr
                                  ? contract->maxConnections
                                  : ServiceContract().maxConnections;
  return std::max(
    kMinConnections,
    static_cast<std::size_t>(maxConnections * kSharedConnectionsRatio /
                             static_cast<double>(m_sharingHosts.count)));
}

/// @returns this host's share of a rate that a server accepts, in requests a
///          second
double
ServerTable::ownShare(const ServerEntry& aEntry, double aPerSecond) const
{
  return rateShare({ aEntry.server.id, aEntry.server.dataCentre, aPerSecond },
                   m_sharingHosts,
                   m_host);
}

void
ServerTable::updateStatedShare(ServerEntry& aEntry) const
{
  const TimePoint now = m_clock.now();
  if (const auto limit = aEntry.statedLimit.perSecond(now)) {
    aEntry.statedLimit.setShare(now, ownShare(aEntry, *limit));
  }
}

void
ServerTable::updateColdShare(ServerEntry& aEntry,
                             const ServiceContract* aContract) const
{
  std::optional<double> share;
  if (aContract != nullptr && aContract->coldRequestsPerSecond > 0.0) {
    share = ownShare(aEntry, aContract->coldRequestsPerSecond);
  }
  aEntry.coldLimit.setShare(m_clock.now(), share);
}

void
ServerTable::update(const ServerCatalogue& aCatalogue,
                    const RoutingTable& aRouting)
{
  const TimePoint now = m_clock.now();
  std::map<std::string, ServerEntryPtr> servers;
  m_usable.clear();
  for (const BackendServer& published : aCatalogue.servers) {
    ServerEntryPtr& entry = servers[published.id];
    const auto known = m_servers.find(published.id);
    if (known != m_servers.end() &&
        isSameInstance(known->second->server, published)) {
      entry = known->second;
      if (published.coldLeft != entry->server.coldLeft) {
        entry->coldLimit.setCold(now, published.coldLeft);
      }
      entry->server = published;
    } else {
      entry = std::make_shared<ServerEntry>();
      entry->server = published;
      entry->coldLimit.setCold(now, published.coldLeft);
      boost::system::error_code error;
      const auto address =
        boost::asio::ip::make_address_v4(published.address, error);
      if (error) {
        logWrite(LogLevel::Warn,
                 LogLine("server-ignored")
                   .add("server", published.id)
                   .addText("reason", "address is not IPv4"));
        servers.erase(published.id);
        continue;
      }
      HttpClientSettings settings = m_clientSettings;
      settings.onConnected = [this, weak = std::weak_ptr(entry)] {
        m_reach.onContact();
        if (const auto connected = weak.lock()) {
          connected->health.onConnected();
        }
      };
      entry->pool = std::make_shared<HttpPool>(
        m_context,
        m_clock,
        boost::asio::ip::tcp::endpoint(address, published.port),
        std::move(settings));
    }
    const ServiceContract* contract = aRouting.service(published.service);
    entry->pool->setConnections(connectionShare(aRouting, published.service));
    updateColdShare(*entry, contract);
    updateStatedShare(*entry);
    if (!published.draining &&
        aCatalogue.evacuated.count(published.dataCentre) == 0) {
      m_usable[published.service].push_back(entry);
    }
  }
  for (const auto& [id, entry] : m_servers) {
    const auto kept = servers.find(id);
    if (kept == servers.end() || kept->second != entry) {
      m_openedByRetiredPools += entry->pool->opened();
      entry->pool->retire();
    }
  }
  m_servers = std::move(servers);
  m_evacuated = aCatalogue.evacuated;
}

std::vector<ServerStatus>
ServerTable::status() const
{
  const TimePoint now = m_clock.now();
  std::vector<ServerStatus> list;
  for (const auto& [id, entry] : m_servers) {
    const BackendServer& server = entry->server;
    ServerStatus status;
    status.id = id;
    status.service = server.service;
    status.address = server.address + ":" + std::to_string(server.port);
    status.dataCentre = server.dataCentre;
    status.state = server.draining                            ? "draining"
                   : m_evacuated.count(server.dataCentre) > 0 ? "evacuated"
                   : entry->replaced                          ? "replaced"
                   : entry->leaving                           ? "leaving"
                   : now < entry->refusesUntil                ? "refusing"
                   : entry->health.isAvoided(now)             ? "avoided"
                                                              : "ready";
    status.cold = entry->coldLimit.isCold(now);
    status.limit = entry->statedLimit.perSecond(now);
    status.slowness = entry->health.slowness(now);
    status.failures = entry->health.failures(now);
    status.running = entry->running;
    status.connections = entry->pool->size();
    status.waiting = entry->pool->waiting();
    list.push_back(std::move(status));
  }
  return list;
}

void
ServerTable::openConnections()
{
  if (m_sharingHosts.count == 0) {
    return;
  }
  const TimePoint now = m_clock.now();
  for (const auto& service : m_usable) {
    for (const ServerEntryPtr& entry : service.second) {
      if (isInSameDataCentre(entry->server) && !entry->health.isAvoided(now)) {
        entry->pool->preconnect();
      }
    }
  }
}

void
ServerTable::probeServers()
{
  std::vector<ServerEntryPtr> servers;
  for (const auto& service : m_usable) {
    servers.insert(servers.end(), service.second.begin(), service.second.end());
  }
  for (std::size_t i = 0; i < std::min(kProbedServers, servers.size()); ++i) {
    servers[m_nextProbe++ % servers.size()]->pool->preconnect();
  }
}

void
ServerTable::closeIdleConnections()
{
  for (const auto& entry : m_servers) {
    entry.second->pool->closeIdle();
  }
}

bool
ServerTable::isUnreachable(const std::string& aService) const
{
  const TimePoint now = m_clock.now();
  const auto& servers = usable(aService);
  return !servers.empty() &&
         std::all_of(
           servers.begin(), servers.end(), [now](const ServerEntryPtr& aEntry) {
             return aEntry->health.isUnreachable(now);
           });
}

const std::vector<ServerEntryPtr>&
ServerTable::usable(const std::string& aService) const
{
  const auto found = m_usable.find(aService);
  return found == m_usable.end() ? m_noServers : found->second;
}

std::size_t
ServerTable::limitedServers() const
{
  const TimePoint now = m_clock.now();
  return static_cast<std::size_t>(std::count_if(
    m_servers.begin(), m_servers.end(), [now](const auto& aEntry) {
      return aEntry.second->statedLimit.perSecond(now).has_value();
    }));
}

std::uint64_t
ServerTable::connectionsOpened() const
{
  std::uint64_t opened = m_openedByRetiredPools;
  for (const auto& entry : m_servers) {
    opened += entry.second->pool->opened();
  }
  return opened;
}

} // namespace toucanridge
