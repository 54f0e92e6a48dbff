#include "entry_control_p.h"

#include <algorithm>

#include "entry_hosts_p.h"
#include "log_p.h"
#include "reader_choice_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };
/// Callers keep an answer for this long. A shorter time takes a host that is
/// gone out of use sooner; each answer costs a connection.
constexpr milliseconds kAddressValidity{ 2000 };
constexpr std::size_t kMaxAddresses = 64;
/// Load and time change the entry hosts without an event.
constexpr milliseconds kPublishEvery{ 1000 };
/// A starting host looks for peers this long before it reads the platform: most
/// starts find a fleet that has everything.
constexpr milliseconds kJoinTime{ 200 };
/// Within this time a start has found the fleet and its configuration.
constexpr milliseconds kStartTime{ 2000 };
/// Hosts among which a starting one divides what all share. It doesn't know the
/// others yet, and a fleet that starts together would open more connections
/// than the servers allow.
constexpr std::size_t kStartingSharers = 12;
/// Members of the data centre that a reader tells of a change at once, and
/// those that others tell.
constexpr std::size_t kReaderFanOut = 8;
constexpr std::size_t kFollowerFanOut = 2;
/// A peer that is ahead is asked this long after it is known, unless this host
/// follows and the peer is in its data centre: the platform's own word, or that
/// of a near peer, usually arrives first.
constexpr milliseconds kFetchDelay{ 200 };
constexpr milliseconds kFetchTimeout{ 1000 };

/// Hosts that don't answer are left out of the directory after a second; a
/// caller loses a second on each that is still named.
MembershipSettings
membershipSettings()
{
  MembershipSettings settings;
  settings.probeEvery = milliseconds(500);
  settings.directTimeout = milliseconds(150);
  settings.probeTimeout = milliseconds(600);
  settings.remoteEvery = 4;
  return settings;
}

Host
selfOf(const EntrySettings& aSettings)
{
  Host host;
  host.name = aSettings.host;
  host.dataCentre = aSettings.dataCentre;
  host.address = aSettings.address;
  host.httpPort = aSettings.callerPort;
  host.peerPort = aSettings.peerPort;
  host.capacity = aSettings.capacity;
  return host;
}

} // namespace

EntryControl::EntryControl(boost::asio::io_context& aContext,
                           const ClockI& aClock,
                           const EntrySettings& aSettings,
                           std::uint64_t aIncarnation,
                           Adapter aAdapter,
                           std::function<void(const TrafficView&)> aOnView,
                           std::function<std::uint32_t()> aLoad)
  : m_context(aContext)
  , m_clock(aClock)
  , m_settings(aSettings)
  , m_incarnation(aIncarnation)
  , m_adapter(aAdapter)
  , m_onView(std::move(aOnView))
  , m_load(std::move(aLoad))
  , m_socket(aContext)
  , m_broadcaster(aSettings.host, aIncarnation)
  , m_roster(aClock, aIncarnation, m_socket, selfOf(aSettings))
  , m_membership(aClock,
                 aIncarnation + 1,
                 membershipSettings(),
                 m_socket,
                 *this,
                 *this,
                 m_broadcaster,
                 aSettings.dataCentre)
  , m_links(aContext, Hello{ aSettings.host, aIncarnation })
  , m_directory(aContext,
                aClock,
                [this](const HttpExchangePtr& aExchange) { onHttp(aExchange); })
  , m_readiness(aContext,
                aClock,
                [this](const HttpExchangePtr& aExchange) { onHttp(aExchange); })
  , m_timer(aContext)
  , m_started(aClock.now())
  , m_keeper(aClock)
{
  m_roster.setSeeds(aSettings.seeds);
  m_membership.setJoining(false);
}

std::error_code
EntryControl::init()
{
  std::error_code error =
    m_socket.init(m_settings.address,
                  m_settings.peerPort,
                  [this](const PeerAddress& aFrom, std::string_view aBytes) {
                    if (isIntroduction(aBytes)) {
                      m_roster.onDatagram(aFrom, aBytes);
                    } else {
                      m_membership.onDatagram(aFrom, aBytes);
                    }
                  });
  if (!error) {
    PeerLinks::Handlers handlers;
    handlers.onRequest = [this](const std::string&,
                                MessageType aType,
                                const std::string& aPayload,
                                const PeerLinks::Reply& aReply) {
      if (aType == MessageType::ItemsFetch) {
        onPeerRequest(aPayload, aReply);
      }
    };
    handlers.onReply = [this](const std::string& aHost,
                              MessageType aType,
                              const std::string& aPayload) {
      const auto changes = aType == MessageType::ItemChanges
                             ? decode<ItemChanges>(aPayload)
                             : std::nullopt;
      if (changes) {
        takeItems(*changes, aHost.c_str());
        m_adapter.source.skipTo(m_items.revision());
        m_fetchAt = TimePoint();
      }
    };
    handlers.onLost = [this](const std::string& aHost,
                             const std::vector<std::uint64_t>&) {
      m_membership.onFailureHint(aHost);
    };
    error = m_links.init(
      m_settings.address, m_settings.peerPort, std::move(handlers));
  }
  if (!error) {
    error = m_directory.init(m_settings.address, m_settings.directoryPort);
  }
  if (!error) {
    error = m_readiness.init(m_settings.address, m_settings.readinessPort);
  }
  if (!error) {
    m_adapter.source.start(*this);
    tickLater();
  }
  return error;
}

void
EntryControl::reload(const EntrySettings& aSettings)
{
  m_settings.seeds = aSettings.seeds;
  m_roster.setSeeds(aSettings.seeds);
  logWrite(LogLevel::Info,
           LogLine("reload").add("seeds", aSettings.seeds.size()));
}

void
EntryControl::leave()
{
  m_leaving = true;
  m_membership.leave();
}

void
EntryControl::shutdown()
{
  m_timer.cancel();
  m_adapter.source.stop();
  m_directory.shutdown();
  m_readiness.shutdown();
  m_links.shutdown();
  m_socket.shutdown();
}

void
EntryControl::tickLater()
{
  chooseRole();
  m_roster.tick();
  if (m_roster.takeChanged()) {
    m_membership.setHosts(m_roster.list());
  }
  m_membership.tick();
  m_keeper.tick();
  const bool due = m_clock.now() >= m_nextPublish;
  if (m_keeper.isChanged() || m_peersChanged || m_membership.takeChanged() ||
      due) {
    publish();
  }
  m_timer.expires_after(kTick);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      tickLater();
    }
  });
}

/// Reads the platform itself or follows its peers.
void
EntryControl::chooseRole()
{
  std::vector<ReaderCandidate> candidates;
  for (const Host& host : m_roster.list().hosts) {
    const auto trouble = m_peersInTrouble.find(host.name);
    if (host.name != m_settings.host &&
        host.dataCentre == m_settings.dataCentre &&
        m_membership.isAlive(host.name)) {
      candidates.push_back(
        { host.name, trouble != m_peersInTrouble.end() && trouble->second });
    }
  }
  const bool joining = m_clock.now() - m_started < kJoinTime;
  const bool reading = !joining && isReader(candidates, m_settings.host);
  if (reading != m_reading) {
    m_reading = reading;
    logWrite(LogLevel::Info, LogLine("reader-role").add("reads", reading));
  }
  m_adapter.source.setReading(reading);
}

bool
EntryControl::isReady() const
{
  return !m_leaving && m_routing != nullptr;
}

void
EntryControl::onHttp(const HttpExchangePtr& aExchange)
{
  const HttpRequest& request = aExchange->request();
  if (m_adapter.directory.asksForReadiness(request)) {
    aExchange->reply(isReady() ? makeResponse(200, "ready\n")
                               : makeResponse(503, "not ready\n"));
  } else if (m_adapter.directory.asksForAddresses(request)) {
    aExchange->reply(addresses());
  } else {
    aExchange->reply(makeResponse(404, "no such page\n"));
  }
}

/// @returns true when a peer is believed to answer callers
bool
EntryControl::serves(const std::string& aHost) const
{
  if (!m_membership.isAlive(aHost)) {
    return false;
  }
  // In a large fleet a host hears from most others seldom. One that has been
  // there for a while has its configuration.
  const auto heard = m_peerRevisions.find(aHost);
  return heard != m_peerRevisions.end()
           ? heard->second > 0
           : m_roster.knownFor(aHost) >= Duration(kStartTime);
}

/// @returns hosts that are believed to answer callers
std::vector<Host>
EntryControl::servingHosts() const
{
  std::vector<Host> serving;
  for (Host& host : m_roster.list().hosts) {
    const bool self = host.name == m_settings.host;
    if (self ? isReady() : serves(host.name)) {
      serving.push_back(std::move(host));
    }
  }
  return serving;
}

/// @returns the hosts that take callers' queries
std::vector<Host>
EntryControl::entryHosts() const
{
  EntryChoice choice;
  choice.hosts = servingHosts();
  choice.shardServers = m_shardServers;
  choice.running = m_load();
  const auto members = m_membership.makeSnapshot();
  for (const auto& entry : members->loads) {
    choice.running += entry.second;
  }
  return chooseEntryHosts(choice);
}

HttpResponse
EntryControl::addresses() const
{
  std::vector<Host> chosen = entryHosts();
  chosen.resize(std::min(chosen.size(), kMaxAddresses));
  if (chosen.empty()) {
    return makeResponse(503, "no host is ready\n");
  }
  std::vector<std::string> addresses;
  addresses.reserve(chosen.size());
  for (const Host& host : chosen) {
    addresses.push_back(host.address + ":" + std::to_string(host.httpPort));
  }
  return m_adapter.directory.makeAddresses(addresses, kAddressValidity);
}

void
EntryControl::onItems(const ItemChanges& aChanges)
{
  takeItems(aChanges, "platform");
}

void
EntryControl::takeItems(const ItemChanges& aChanges, const char* aSource)
{
  const std::uint64_t before = m_items.revision();
  const std::set<std::string> changed = m_items.apply(aChanges);
  if (m_items.revision() == before) {
    return;
  }
  for (const std::string& key : changed) {
    const auto held = m_items.items().find(key);
    const bool there = held != m_items.items().end();
    switch (m_adapter.decoder.kindOf(key)) {
      case ItemKind::Routing:
        if (there) {
          takeRouting(held->second);
        }
        break;
      case ItemKind::Server:
        if (there) {
          m_keeper.set(key, m_adapter.decoder.decodeServer(held->second));
        } else {
          m_keeper.remove(key);
        }
        break;
      case ItemKind::Evacuation:
        m_keeper.setEvacuated(m_adapter.decoder.evacuated(key), there);
        break;
      case ItemKind::Other:
        break;
    }
  }
  if (changed.empty()) {
    return;
  }
  m_itemsChanged = m_clock.now();
  logWrite(LogLevel::Info,
           LogLine("items-changed")
             .add("from", before)
             .add("to", m_items.revision())
             .add("keys", changed.size())
             .add("source", aSource));
  publish();
  m_membership.announce(m_reading ? kReaderFanOut : kFollowerFanOut, true);
}

void
EntryControl::takeRouting(const PublishedItem& aItem)
{
  const auto routing = m_adapter.decoder.decodeRouting(aItem);
  if (!routing) {
    return;
  }
  if (m_routing && routing->version() < m_routing->version()) {
    logWrite(LogLevel::Warn,
             LogLine("routing-ignored")
               .add("version", routing->version())
               .add("held", m_routing->version()));
    return;
  }
  m_routing = routing;
  logWrite(LogLevel::Info,
           LogLine("routing")
             .add("version", routing->version())
             .add("routes", routing->routes().size()));
}

void
EntryControl::publish()
{
  if (m_keeper.isChanged() || !m_catalogue) {
    m_catalogue = m_keeper.build(m_items.revision());
  }
  m_shardServers.clear();
  if (m_routing) {
    std::set<std::string> shards;
    for (const Route& route : m_routing->routes()) {
      shards.insert(route.shards.begin(), route.shards.end());
    }
    for (const BackendServer& server : m_catalogue->servers) {
      m_shardServers[server.dataCentre] += shards.count(server.service);
    }
  }
  m_peersChanged = false;
  m_nextPublish = m_clock.now() + kPublishEvery;
  TrafficView view;
  view.routing = m_routing;
  view.catalogue = m_catalogue;
  std::vector<Host> entries = entryHosts();
  view.control = report(entries);
  for (Host& host : entries) {
    ++view.entryHosts;
    if (host.name == m_settings.host) {
      view.isEntry = true;
    } else {
      view.peers.push_back(std::move(host));
    }
  }
  if (m_clock.now() - m_started < kStartTime) {
    view.entryHosts = std::max(view.entryHosts, kStartingSharers);
  }
  m_onView(view);
}

std::shared_ptr<const ControlReport>
EntryControl::report(const std::vector<Host>& aEntryHosts) const
{
  const auto report = std::make_shared<ControlReport>();
  report->host = m_settings.host;
  report->dataCentre = m_settings.dataCentre;
  report->ready = isReady();
  report->reading = m_reading;
  report->inTrouble = m_adapter.source.inTrouble();
  report->revision = m_items.revision();
  report->changedAt = m_itemsChanged;
  report->startedAt = m_started;
  for (const Host& host : m_roster.list().hosts) {
    const bool self = host.name == m_settings.host;
    PeerStatus peer;
    peer.host = host.name;
    peer.dataCentre = host.dataCentre;
    peer.state = self ? "self" : toString(m_membership.stateOf(host.name));
    const auto heard = m_peerRevisions.find(host.name);
    if (self) {
      peer.revision = report->revision;
    } else if (heard != m_peerRevisions.end()) {
      peer.revision = heard->second;
    }
    peer.entry = std::any_of(
      aEntryHosts.begin(), aEntryHosts.end(), [&host](const Host& aEntry) {
        return aEntry.name == host.name;
      });
    report->peers.push_back(std::move(peer));
  }
  return report;
}

PeerState
EntryControl::state() const
{
  PeerState state;
  state.host = m_settings.host;
  state.incarnation = m_incarnation;
  return state;
}

ConfigDigest
EntryControl::digest() const
{
  ConfigDigest digest;
  digest.rules = m_routing ? m_items.revision() : 0;
  digest.hosts = m_reading && m_adapter.source.inTrouble() ? 1 : 0;
  return digest;
}

std::uint32_t
EntryControl::load() const
{
  return m_load();
}

void
EntryControl::onDigest(const std::string& aHost,
                       const PeerAddress& aAddress,
                       const ConfigDigest& aDigest)
{
  std::uint64_t& known = m_peerRevisions[aHost];
  m_peersChanged |= (known == 0) != (aDigest.rules == 0);
  known = aDigest.rules;
  m_peersInTrouble[aHost] = aDigest.hosts != 0;
  m_roster.onHeard(aHost);
  if (aDigest.rules > m_items.revision()) {
    fetchFrom(aHost, aAddress);
  }
}

void
EntryControl::fetchFrom(const std::string& aHost, const PeerAddress& aAddress)
{
  const TimePoint now = m_clock.now();
  const bool waits =
    m_items.revision() != 0 && (m_reading || !m_roster.isNear(aHost));
  if (m_fetchAt == TimePoint() && waits) {
    m_fetchAt = now + kFetchDelay;
    return;
  }
  if (now < m_fetchAt) {
    return;
  }
  if (waits && now - m_fetchAt > kFetchTimeout) {
    // The mark is from an earlier change.
    m_fetchAt = now + kFetchDelay;
    return;
  }
  m_fetchAt = now + kFetchTimeout;
  ItemsFetch fetch;
  fetch.have = m_items.revision();
  logWrite(LogLevel::Info,
           LogLine("items-fetch").add("peer", aHost).add("have", fetch.have));
  m_links.send(aHost,
               aAddress.address,
               aAddress.port,
               MessageType::ItemsFetch,
               encode(fetch),
               0);
}

void
EntryControl::onPeerRequest(const std::string& aPayload,
                            const PeerLinks::Reply& aReply)
{
  const auto fetch = decode<ItemsFetch>(aPayload);
  if (!fetch || !m_routing) {
    return;
  }
  std::string payload = encode(m_items.changesAfter(fetch->have));
  if (payload.size() <= kMaxFrameBytes) {
    aReply(MessageType::ItemChanges, std::move(payload));
  } else {
    logWrite(LogLevel::Error,
             LogLine("items-too-large").add("bytes", payload.size()));
  }
}

void
EntryControl::onProbeAcked(const PeerState& aPeer, TimePoint /*aSentAt*/)
{
  m_roster.onHeard(aPeer.host);
}

} // namespace toucanridge
