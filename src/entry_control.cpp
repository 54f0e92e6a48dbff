#include "entry_control_p.h"

#include <algorithm>

#include "entry_hosts_p.h"
#include "log_p.h"
#include "reader_choice_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 100 };
/// Tick interval of a host that has no configuration yet.
constexpr milliseconds kStartingTickInterval{ 25 };
/// Callers cache a directory answer for this long. A shorter time removes a
/// lost host from use sooner, but each answer costs a connection.
constexpr milliseconds kAddressValidity{ 2000 };
constexpr std::size_t kMaxAddresses = 64;
/// Longest time between two published views: load and elapsed time change the
/// choice of entry hosts without raising an event.
constexpr milliseconds kPublishInterval{ 1000 };
/// A starting host discovers peers for this long before it may read the
/// platform: in most cases the running fleet already has all items.
constexpr milliseconds kPeerDiscoveryTime{ 75 };
/// Longest time for which a starting host that has its configuration waits for
/// a message of a serving peer, which carries the quarantined requests.
constexpr milliseconds kInformTime{ 400 };
/// Within this time a starting host has found the fleet and fetched its
/// configuration.
constexpr milliseconds kStartupTime{ 2000 };
/// Until kStartupTime has passed, a host divides shared limits by at least this
/// number of hosts: it doesn't know all others yet, and if the whole fleet
/// started at the same time, it would otherwise open more connections than the
/// servers allow.
constexpr std::size_t kStartingSharingHosts = 12;
/// A connection to a peer is closed when no items came over it for this long:
/// until the next change it might fall silent unnoticed.
constexpr milliseconds kMaxLinkIdle{ 1000 };
/// Number of hosts in its data centre to which a host announces a change
/// immediately: kReaderFanOut if it reads the platform, kFollowerFanOut if it
/// gets the items from its peers.
constexpr std::size_t kReaderFanOut = 8;
constexpr std::size_t kFollowerFanOut = 2;

/// With these times, hosts that don't answer are removed from the directory
/// after a second; a caller loses a second on each unreachable host that it
/// still lists.
MembershipSettings
membershipSettings()
{
  MembershipSettings settings;
  settings.probeInterval = milliseconds(500);
  settings.directTimeout = milliseconds(150);
  settings.probeTimeout = milliseconds(600);
  settings.probesPerRemoteProbe = 4;
  return settings;
}

Host
makeLocalHost(const EntrySettings& aSettings)
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
                           Broadcaster& aBroadcaster,
                           Quarantine& aQuarantine,
                           const std::shared_ptr<BufferBudget>& aClientBudget,
                           Adapter aAdapter,
                           std::function<void(const TrafficView&)> aOnView,
                           std::function<std::uint32_t()> aLoad)
  : m_context(aContext)
  , m_clock(aClock)
  , m_settings(aSettings)
  , m_incarnation(aIncarnation)
  , m_quarantine(aQuarantine)
  , m_adapter(aAdapter)
  , m_onView(std::move(aOnView))
  , m_load(std::move(aLoad))
  , m_socket(aContext)
  , m_roster(aClock, aIncarnation, m_socket, makeLocalHost(aSettings))
  , m_membership(aClock,
                 aIncarnation + 1,
                 membershipSettings(),
                 m_socket,
                 *this,
                 *this,
                 aBroadcaster,
                 aSettings.dataCentre)
  , m_links(aContext,
            Hello{ aSettings.host, aIncarnation },
            { aClientBudget, divideClientLimits(aSettings.resources).peers })
  , m_directory(aContext,
                aClock,
                [this](const HttpExchangePtr& aExchange) { onHttp(aExchange); },
                { aClientBudget, {} })
  , m_readiness(aContext,
                aClock,
                [this](const HttpExchangePtr& aExchange) { onHttp(aExchange); },
                { aClientBudget, {} })
  , m_timer(aContext)
  , m_started(aClock.now())
  , m_items(aAdapter.decoder)
  , m_fetchSchedule(aClock)
  , m_catalogueKeeper(aClock)
{
  m_roster.setSeeds(aSettings.seeds);
  m_membership.setJoining(false);
  const ClientLimits limits = divideClientLimits(aSettings.resources);
  m_directory.setLimits(pageLimits(limits.directory));
  m_readiness.setLimits(pageLimits(limits.pages));
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
        logWrite(LogLevel::Info,
                 LogLine("items-reply")
                   .add("peer", aHost)
                   .add("to", changes->to)
                   .add("bytes", aPayload.size()));
        applyItems(*changes, aHost.c_str());
        m_adapter.source.skipTo(m_items.revision());
        m_fetchSchedule.onReply(aHost);
        m_repliedAt[aHost] = m_clock.now();
      }
    };
    handlers.onLost = [this](const std::string& aHost,
                             const std::vector<std::uint64_t>&) {
      m_fetchSchedule.onLost(aHost);
      m_repliedAt.erase(aHost);
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
    runPeriodicTasks();
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
EntryControl::runPeriodicTasks()
{
  // Set first: a task that throws must not end the later ones (runHandlers()).
  m_timer.expires_after(m_routing && m_wasInformed ? kTickInterval
                                                   : kStartingTickInterval);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      runPeriodicTasks();
    }
  });
  m_roster.tick();
  if (m_roster.takeChanged()) {
    m_membership.setHosts(m_roster.list());
  }
  updateReaderRole();
  m_membership.tick();
  fetchIfDue();
  closeIdleLinks();
  m_catalogueKeeper.tick();
  const bool due = m_clock.now() >= m_nextPublishAt;
  if (m_catalogueKeeper.isChanged() || m_servingPeersChanged ||
      m_membership.takeChanged() || due || m_wasInformed != isInformed()) {
    publish();
  }
}

/// Decides whether this host reads the platform itself or follows its peers.
void
EntryControl::updateReaderRole()
{
  std::vector<ReaderCandidate> candidates;
  std::vector<std::string> neighbours;
  for (const Host& host : m_roster.list().hosts) {
    const auto readsFail = m_peerReadsFail.find(host.name);
    if (host.name != m_settings.host &&
        host.dataCentre == m_settings.dataCentre &&
        m_membership.isAlive(host.name)) {
      candidates.push_back(
        { host.name, readsFail != m_peerReadsFail.end() && readsFail->second });
      neighbours.push_back(host.name);
    }
  }
  const bool joining = m_clock.now() - m_started < kPeerDiscoveryTime;
  const ReadRole role =
    joining ? ReadRole::Follower : chooseReadRole(candidates, m_settings.host);
  const bool reads = role != ReadRole::Follower;
  if (reads != m_isReader) {
    m_isReader = reads;
    logWrite(LogLevel::Info, LogLine("reader-role").add("reads", reads));
  }
  m_adapter.source.setRole(role);
  const bool readsFail = digest().hosts != 0;
  if (readsFail != m_announcedReadsFail) {
    // Regular digests reach a given neighbour after seconds only.
    m_announcedReadsFail = readsFail;
    for (const std::string& host :
         substituteReaders(std::move(neighbours), m_settings.host)) {
      m_membership.probeNow(host);
    }
  }
}

/// @returns true when this host knows which requests its peers have
///          quarantined; if only starting peers are heard, none is known
bool
EntryControl::isInformed() const
{
  const Duration age = m_clock.now() - m_started;
  return m_heardServingPeer || age >= kInformTime ||
         (m_heardStartingPeer && age >= kPeerDiscoveryTime);
}

bool
EntryControl::isReady() const
{
  return !m_leaving && m_routing != nullptr && isInformed();
}

void
EntryControl::onHttp(const HttpExchangePtr& aExchange)
{
  const HttpRequest& request = aExchange->request();
  if (m_adapter.directory.asksForReadiness(request)) {
    aExchange->reply(isReady() ? makeResponse(200, "ready\n")
                               : makeResponse(503, "not ready\n"));
  } else if (m_adapter.directory.asksForAddresses(request)) {
    aExchange->reply(makeAddressesResponse());
  } else {
    aExchange->reply(makeResponse(404, "no such page\n"));
  }
}

/// @returns true when a peer is believed to answer callers
bool
EntryControl::isServing(const std::string& aHost) const
{
  if (!m_membership.isAlive(aHost)) {
    return false;
  }
  // In a large fleet, most peers exchange digests with this host rarely. A peer
  // without a known digest is assumed to have loaded its configuration once it
  // has been known for a while.
  const auto revision = m_peerRevisions.find(aHost);
  return revision != m_peerRevisions.end()
           ? revision->second > 0
           : m_roster.knownFor(aHost) >= Duration(kStartupTime);
}

/// @returns hosts that are believed to answer callers
std::vector<Host>
EntryControl::servingHosts() const
{
  std::vector<Host> serving;
  for (Host& host : m_roster.list().hosts) {
    const bool self = host.name == m_settings.host;
    if (self ? isReady() : isServing(host.name)) {
      serving.push_back(std::move(host));
    }
  }
  return serving;
}

/// @returns the hosts to which callers are directed
std::vector<Host>
EntryControl::entryHosts() const
{
  EntryChoiceInput input;
  input.hosts = servingHosts();
  input.shardServerCounts = m_shardServerCounts;
  input.runningQueries = m_load();
  const auto members = m_membership.makeSnapshot();
  for (const auto& entry : members->loads) {
    input.runningQueries += entry.second;
  }
  return chooseEntryHosts(input);
}

HttpResponse
EntryControl::makeAddressesResponse() const
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
  applyItems(aChanges, "platform");
}

void
EntryControl::applyItems(const ItemChanges& aChanges, const char* aSource)
{
  const std::uint64_t before = m_items.revision();
  const std::set<std::string> changed = m_items.apply(aChanges);
  if (changed.empty()) {
    if (aChanges.to < before) {
      logWrite(LogLevel::Warn,
               LogLine("items-ignored")
                 .add("held", before)
                 .add("to", aChanges.to)
                 .add("whole", aChanges.whole)
                 .add("source", aSource));
    }
    return;
  }
  for (const std::string& key : changed) {
    const auto item = m_items.items().find(key);
    const bool present = item != m_items.items().end();
    switch (m_adapter.decoder.kindOf(key)) {
      case ItemKind::Routing:
        if (present) {
          applyRouting(item->second);
        }
        break;
      case ItemKind::Server:
        if (present) {
          m_catalogueKeeper.set(key,
                                m_adapter.decoder.decodeServer(item->second));
        } else {
          m_catalogueKeeper.remove(key);
        }
        break;
      case ItemKind::Evacuation:
        if (!present && aChanges.whole) {
          m_catalogueKeeper.onEvacuationMissing(
            m_adapter.decoder.evacuatedDataCentre(key));
        } else {
          m_catalogueKeeper.setEvacuated(
            m_adapter.decoder.evacuatedDataCentre(key), present);
        }
        break;
      case ItemKind::Other:
        break;
    }
  }
  m_itemsChangedAt = m_clock.now();
  logWrite(LogLevel::Info,
           LogLine("items-changed")
             .add("from", before)
             .add("to", m_items.revision())
             .add("keys", changed.size())
             .add("source", aSource));
  publish();
  m_membership.announce(m_isReader ? kReaderFanOut : kFollowerFanOut, true);
}

void
EntryControl::applyRouting(const PublishedItem& aItem)
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
  if (m_catalogueKeeper.isChanged() || !m_catalogue) {
    m_catalogue = m_catalogueKeeper.build(m_items.revision());
  }
  m_shardServerCounts.clear();
  if (m_routing) {
    std::set<std::string> shards;
    for (const Route& route : m_routing->routes()) {
      shards.insert(route.shards.begin(), route.shards.end());
    }
    for (const BackendServer& server : m_catalogue->servers) {
      m_shardServerCounts[server.dataCentre] += shards.count(server.service);
    }
  }
  m_servingPeersChanged = false;
  m_nextPublishAt = m_clock.now() + kPublishInterval;
  const bool nowServes = m_routing && isInformed() && !m_wasInformed;
  m_wasInformed = isInformed();
  m_quarantine.setHosts(m_settings.host,
                        m_membership.aliveHosts(),
                        m_membership.isInformed() && !m_leaving);
  TrafficView view;
  view.routing = m_wasInformed ? m_routing : nullptr;
  view.catalogue = m_catalogue;
  std::vector<Host> entries = entryHosts();
  view.control = makeReport(entries);
  for (Host& host : entries) {
    ++view.entryHostCount;
    if (host.name == m_settings.host) {
      view.isEntry = true;
    } else {
      view.peers.push_back(std::move(host));
    }
  }
  if (m_clock.now() - m_started < kStartupTime) {
    view.entryHostCount = std::max(view.entryHostCount, kStartingSharingHosts);
  }
  m_onView(view);
  if (nowServes) {
    m_membership.announce(kReaderFanOut, true);
  }
}

std::shared_ptr<const ControlReport>
EntryControl::makeReport(const std::vector<Host>& aEntryHosts) const
{
  const auto report = std::make_shared<ControlReport>();
  report->host = m_settings.host;
  report->dataCentre = m_settings.dataCentre;
  report->ready = isReady();
  report->readsPlatform = m_isReader;
  report->readsFail = m_adapter.source.lastCallFailed();
  report->revision = m_items.revision();
  report->changedAt = m_itemsChangedAt;
  report->startedAt = m_started;
  for (const Host& host : m_roster.list().hosts) {
    const bool self = host.name == m_settings.host;
    PeerStatus peer;
    peer.host = host.name;
    peer.dataCentre = host.dataCentre;
    peer.state = self ? "self" : toString(m_membership.stateOf(host.name));
    const auto revision = m_peerRevisions.find(host.name);
    if (self) {
      peer.revision = report->revision;
    } else if (revision != m_peerRevisions.end()) {
      peer.revision = revision->second;
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

ItemsState
EntryControl::itemsState() const
{
  return { m_items.revision(), m_routing ? m_routing->version() : 0 };
}

ConfigDigest
EntryControl::digest() const
{
  // With published items, the digest's fields have another meaning: rules is
  // the revision of the items, hosts is 1 while this host's reads of the
  // platform fail, hostsHash is the version of the configuration.
  ConfigDigest digest;
  const bool serves = m_routing && isInformed();
  digest.rules = serves ? m_items.revision() : 0;
  digest.hostsHash = serves ? m_routing->version() : 0;
  digest.hosts = m_isReader && m_adapter.source.lastCallFailed() ? 1 : 0;
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
  (aDigest.rules != 0 ? m_heardServingPeer : m_heardStartingPeer) = true;
  std::uint64_t& revision = m_peerRevisions[aHost];
  m_servingPeersChanged |= (revision == 0) != (aDigest.rules == 0);
  revision = aDigest.rules;
  m_peerReadsFail[aHost] = aDigest.hosts != 0;
  m_roster.onProbeAnswered(aHost);
  const ItemsState peerState{ aDigest.rules, aDigest.hostsHash };
  if (aAddress.port == 0 || !isAhead(peerState, itemsState())) {
    return;
  }
  // No delay applies to a host without items, nor to a follower that fetches
  // from a peer in its own data centre.
  const bool delayed = m_items.revision() != 0 &&
                       (m_isReader || !m_roster.isInSameDataCentre(aHost));
  if (m_fetchSchedule.onPeerAhead({ aHost, aAddress, peerState }, delayed)) {
    logWrite(
      LogLevel::Info,
      LogLine("peer-ahead").add("peer", aHost).add("have", m_items.revision()));
  }
  fetchIfDue();
}

/// Sends the fetch from a peer that is due, if any.
void
EntryControl::fetchIfDue()
{
  const ItemsState held = itemsState();
  const auto peer = m_fetchSchedule.takeDue(held);
  if (!peer) {
    return;
  }
  // After the platform has lost changes, a peer may hold a later configuration
  // than the platform and this host; only a whole copy contains it.
  ItemsFetch fetch;
  fetch.baseRevision = peer->state.revision > held.revision ? held.revision : 0;
  logWrite(LogLevel::Info,
           LogLine("items-fetch")
             .add("peer", peer->host)
             .add("have", fetch.baseRevision));
  m_repliedAt.erase(peer->host);
  m_links.send(peer->host,
               peer->address.address,
               peer->address.port,
               MessageType::ItemsFetch,
               encode(fetch),
               0);
}

void
EntryControl::closeIdleLinks()
{
  const TimePoint now = m_clock.now();
  for (auto i = m_repliedAt.begin(); i != m_repliedAt.end();) {
    if (now - i->second < kMaxLinkIdle) {
      ++i;
    } else {
      m_links.disconnect(i->first);
      i = m_repliedAt.erase(i);
    }
  }
}

void
EntryControl::onPeerRequest(const std::string& aPayload,
                            const PeerLinks::Reply& aReply)
{
  const auto fetch = decode<ItemsFetch>(aPayload);
  if (!fetch || !m_routing) {
    return;
  }
  std::string payload = encode(m_items.changesAfter(fetch->baseRevision));
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
  m_roster.onProbeAnswered(aPeer.host);
}

} // namespace toucanridge
