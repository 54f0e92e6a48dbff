#include "config_sync_p.h"

#include <algorithm>

#include <xxhash.h>

#include "epoch_revision_p.h"
#include "line_delta_p.h"
#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// Revisions kept for deltas. A peer that is further behind gets the whole
/// text; at 1,500 changes a day four revisions last for minutes.
constexpr std::size_t kMaxHistory = 4;
/// Hashes of replaced texts that are kept, to recognise one that the platform
/// publishes again because it has lost the later ones.
constexpr std::size_t kMaxReplaced = 64;
/// Time allowed for a platform answer beyond the requested wait.
constexpr milliseconds kAnswerTimeout{ 2000 };
constexpr milliseconds kRoleCheckInterval{ 500 };
constexpr DocumentKind kKinds[] = { DocumentKind::Rules, DocumentKind::Hosts };

std::uint64_t
hashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

const char*
nameOf(DocumentKind aKind)
{
  return aKind == DocumentKind::Rules ? "rules" : "hosts";
}

bool
isKnown(DocumentKind aKind)
{
  return static_cast<std::size_t>(aKind) < kDocumentKinds;
}

} // namespace

ConfigSync::ConfigSync(const ClockI& aClock,
                       std::uint64_t aSeed,
                       ConfigSyncSettings aSettings,
                       PlatformI& aPlatform,
                       ConfigSenderI& aSender,
                       std::string aSelf,
                       std::string aDataCentre,
                       IsAlive aIsAlive,
                       OnChange aOnChange)
  : m_clock(aClock)
  , m_random(aSeed)
  , m_settings(aSettings)
  , m_platform(aPlatform)
  , m_sender(aSender)
  , m_self(std::move(aSelf))
  , m_dataCentre(std::move(aDataCentre))
  , m_isAlive(std::move(aIsAlive))
  , m_onChange(std::move(aOnChange))
  , m_nextRoleCheck(aClock.now())
{
  for (Document& entry : m_documents) {
    entry.nextRead = aClock.now();
  }
}

ConfigSync::Document&
ConfigSync::document(DocumentKind aKind)
{
  return m_documents[static_cast<std::size_t>(aKind)];
}

const ConfigSync::Document&
ConfigSync::document(DocumentKind aKind) const
{
  return m_documents[static_cast<std::size_t>(aKind)];
}

ViewId
ConfigSync::heldRevisions() const
{
  return { document(DocumentKind::Rules).number(),
           document(DocumentKind::Hosts).number() };
}

std::uint64_t
ConfigSync::refusedRevision(DocumentKind aKind) const
{
  return document(aKind).refusedNumber;
}

ConfigDigest
ConfigSync::digest() const
{
  if (!m_ready) {
    return {};
  }
  const Document& rules = document(DocumentKind::Rules);
  const Document& hosts = document(DocumentKind::Hosts);
  return { rules.number(), rules.hash(), hosts.number(), hosts.hash() };
}

void
ConfigSync::tick()
{
  const TimePoint now = m_clock.now();
  checkReady();
  if (now >= m_nextRoleCheck) {
    const ReaderRole role = findRole();
    m_nextRoleCheck = now + kRoleCheckInterval;
    if (role != m_role) {
      m_role = role;
      logWrite(LogLevel::Info,
               LogLine("reader-role").add("role", static_cast<int>(role)));
    }
  }
  if (m_role == ReaderRole::None) {
    return;
  }
  readRules();
  readHosts();
}

/// The two winners of rendezvous hashing among the hosts of this data centre
/// that are believed alive read the platform.
ReaderRole
ConfigSync::findRole() const
{
  if (!m_ready) {
    return ReaderRole::Starting;
  }
  if (!m_isAlive(m_self)) {
    return ReaderRole::None;
  }
  constexpr std::uint64_t kReaderSeed = 0x72656164;
  const auto weight = [](const std::string& aHost) {
    return XXH3_64bits_withSeed(aHost.data(), aHost.size(), kReaderSeed);
  };
  const std::uint64_t own = weight(m_self);
  std::size_t preferred = 0; // live hosts with a higher weight
  for (const Host& host : m_hosts.hosts) {
    if (host.dataCentre == m_dataCentre && host.name != m_self &&
        weight(host.name) > own && m_isAlive(host.name)) {
      ++preferred;
    }
  }
  return preferred == 0   ? ReaderRole::First
         : preferred == 1 ? ReaderRole::Second
                          : ReaderRole::None;
}

/// Marks a read as started when one is due. A pending read blocks the next one
/// for no longer than aLimit.
/// @returns true when the caller is to send the read
bool
ConfigSync::tryStartRead(Document& aDocument, milliseconds aLimit)
{
  const TimePoint now = m_clock.now();
  if (aDocument.reading && now - aDocument.readStartedAt < aLimit) {
    return false;
  }
  if (!aDocument.reading && now < aDocument.nextRead) {
    return false;
  }
  aDocument.reading = true;
  aDocument.readStartedAt = now;
  ++m_counters.platformReads;
  return true;
}

void
ConfigSync::finishRead(Document& aDocument, bool aOk, milliseconds aDelay)
{
  aDocument.reading = false;
  const milliseconds delay =
    aOk ? aDelay : std::max(aDelay, m_settings.retryDelay);
  // Jitter of up to a quarter keeps nodes that start together from reading at
  // the same time.
  const auto jitter =
    std::uniform_int_distribution<std::int64_t>(0, delay.count() / 4)(m_random);
  aDocument.nextRead = m_clock.now() + delay + milliseconds(jitter);
  if (!aOk) {
    ++m_counters.platformFailures;
    logWrite(LogLevel::Warn, LogLine("platform-unreachable"));
  }
}

void
ConfigSync::readRules()
{
  Document& entry = document(DocumentKind::Rules);
  const bool watching = m_role == ReaderRole::First;
  const milliseconds wait = watching ? m_settings.watchTime : milliseconds(0);
  if (!tryStartRead(entry, wait + kAnswerTimeout)) {
    return;
  }
  m_platform.readRules(
    std::max(entry.number(), entry.refusedNumber),
    wait,
    [this, watching](tl::expected<PublishedRules, std::error_code> aRules) {
      const milliseconds pollPeriod = m_role == ReaderRole::Starting
                                        ? m_settings.retryDelay
                                        : m_settings.standbyReadPeriod;
      finishRead(document(DocumentKind::Rules),
                 aRules.has_value(),
                 watching ? milliseconds(0) : pollPeriod);
      if (aRules) {
        onPlatformRead(
          DocumentKind::Rules, aRules->revision, std::move(aRules->text));
      }
    });
}

void
ConfigSync::readHosts()
{
  Document& entry = document(DocumentKind::Hosts);
  if (!tryStartRead(entry, kAnswerTimeout)) {
    return;
  }
  m_platform.readHosts([this](tl::expected<HostList, std::error_code> aHosts) {
    finishRead(document(DocumentKind::Hosts),
               aHosts.has_value(),
               m_role == ReaderRole::Second ? m_settings.standbyReadPeriod
                                            : m_settings.hostsReadPeriod);
    if (aHosts) {
      onPlatformRead(
        DocumentKind::Hosts, aHosts->revision, hostListText(*aHosts));
    }
  });
}

void
ConfigSync::onPlatformRead(DocumentKind aKind,
                           std::uint64_t aNumber,
                           std::string aText)
{
  Document& entry = document(aKind);
  if (aNumber < entry.number()) {
    ++m_counters.lowerIgnored;
    return;
  }
  if (aNumber == entry.number() || aNumber <= entry.refusedNumber) {
    return;
  }
  Revision revision{ aNumber, hashOf(aText), std::move(aText) };
  const bool wasReplaced =
    std::find(entry.replaced.begin(), entry.replaced.end(), revision.hash) !=
    entry.replaced.end();
  if (wasReplaced && epochOf(aNumber) > epochOf(entry.number())) {
    // The platform has returned from a copy. What it lost is published again;
    // until then the held text stays in force, under the new revision.
    logWrite(LogLevel::Warn,
             LogLine("config-kept")
               .add("document", nameOf(aKind))
               .add("revision", entry.number())
               .add("published", aNumber));
    revision.hash = entry.hash();
    revision.text = entry.history.back().text;
  }
  accept(aKind, std::move(revision), true);
}

void
ConfigSync::accept(DocumentKind aKind, Revision aRevision, bool aFromPlatform)
{
  Document& entry = document(aKind);
  if (aRevision.number <= entry.number()) {
    return;
  }
  if (!parseAndStore(aKind, aRevision)) {
    // If a revision from the platform doesn't parse, further reads of it are
    // ignored. If a peer's copy doesn't parse, the platform's may still be
    // valid.
    if (aFromPlatform) {
      entry.refusedNumber = std::max(entry.refusedNumber, aRevision.number);
    }
    entry.refusedHash = aRevision.hash;
    ++m_counters.refused;
    return;
  }
  logWrite(LogLevel::Info,
           LogLine("config-accepted")
             .add("document", nameOf(aKind))
             .add("revision", aRevision.number)
             .add("bytes", aRevision.text.size())
             .add("source", aFromPlatform ? "platform" : "peer"));
  if (!entry.history.empty() && entry.hash() != aRevision.hash) {
    entry.replaced.push_back(entry.hash());
    if (entry.replaced.size() > kMaxReplaced) {
      entry.replaced.pop_front();
    }
  }
  entry.history.push_back(std::move(aRevision));
  if (entry.history.size() > kMaxHistory) {
    entry.history.pop_front();
  }
  for (auto i = m_deltas.begin(); i != m_deltas.end();) {
    i = i->first.first == aKind ? m_deltas.erase(i) : std::next(i);
  }
  if (aKind == DocumentKind::Hosts && m_joinStartedAt == TimePoint()) {
    m_joinStartedAt = m_clock.now();
  }
  m_onChange(aKind);
}

/// Parses a document and replaces the one held with it.
/// @returns false when it does not parse; the one held is then kept
bool
ConfigSync::parseAndStore(DocumentKind aKind, const Revision& aRevision)
{
  if (aKind == DocumentKind::Hosts) {
    auto list = parseHostListText(aRevision.number, aRevision.text);
    if (!list) {
      logWrite(LogLevel::Error,
               LogLine("hosts-refused").add("revision", aRevision.number));
      return false;
    }
    m_hosts = std::move(*list);
    return true;
  }
  RulesResult parsed = parseRules(aRevision.text);
  if (!parsed.rules) {
    const RuleFault& fault = parsed.faults.front();
    logWrite(LogLevel::Error,
             LogLine("rules-refused")
               .add("revision", aRevision.number)
               .add("faults", parsed.faults.size())
               .add("line", fault.line)
               .add("column", fault.column)
               .addText("reason", fault.message));
    return false;
  }
  m_rules = std::move(parsed.rules);
  return true;
}

void
ConfigSync::onDigest(const std::string& aHost,
                     const PeerAddress& aAddress,
                     const ConfigDigest& aDigest)
{
  if (aDigest.rules == 0 || aDigest.hosts == 0) {
    return; // the peer is still starting
  }
  if (!m_ready) {
    m_advertisingPeers.insert(aHost);
  }
  fetchIfNewer(
    DocumentKind::Rules, aHost, aAddress, aDigest.rules, aDigest.rulesHash);
  fetchIfNewer(
    DocumentKind::Hosts, aHost, aAddress, aDigest.hosts, aDigest.hostsHash);
}

void
ConfigSync::fetchIfNewer(DocumentKind aKind,
                         const std::string& aHost,
                         const PeerAddress& aAddress,
                         std::uint64_t aNumber,
                         std::uint64_t aHash)
{
  Document& entry = document(aKind);
  entry.newestAdvertised = std::max(entry.newestAdvertised, aNumber);
  if (aNumber == entry.number() && aHash != entry.hash() &&
      entry.conflictNumber != aNumber) {
    entry.conflictNumber = aNumber;
    ++m_counters.conflicts;
    logWrite(LogLevel::Error,
             LogLine("config-conflict")
               .add("document", nameOf(aKind))
               .add("revision", aNumber)
               .add("peer", aHost));
  }
  if (aNumber <= entry.number() || aHash == entry.refusedHash ||
      aAddress.port == 0) {
    return;
  }
  if (entry.fetch.host.empty() ||
      m_clock.now() - entry.fetch.startedAt >= m_settings.fetchTimeout) {
    fetch(aKind, aHost, aAddress, false);
  }
}

void
ConfigSync::fetch(DocumentKind aKind,
                  const std::string& aHost,
                  const PeerAddress& aAddress,
                  bool aWhole)
{
  Document& entry = document(aKind);
  entry.fetch = { aHost, aAddress, m_clock.now() };
  ConfigFetch message;
  message.kind = aKind;
  if (!aWhole) {
    message.baseRevision = entry.number();
    message.baseHash = entry.hash();
  }
  ++m_counters.fetches;
  m_counters.sentBytes += encode(message).size();
  m_sender.sendFetch(aHost, aAddress, message);
}

std::pair<MessageType, std::string>
ConfigSync::answerFetch(const std::string& aPayload)
{
  m_counters.receivedBytes += aPayload.size();
  const auto request = decode<ConfigFetch>(aPayload);
  if (!request || !isKnown(request->kind)) {
    return { MessageType::ConfigWhole, {} };
  }
  const Document& entry = document(request->kind);
  std::pair<MessageType, std::string> reply{ MessageType::ConfigWhole, {} };
  const auto base = std::find_if(
    entry.history.begin(), entry.history.end(), [&](const Revision& aHeld) {
      return aHeld.number == request->baseRevision &&
             aHeld.hash == request->baseHash;
    });
  // A starting node sends nothing: its revisions may be stale.
  const bool newer = m_ready && entry.number() > request->baseRevision;
  if (newer && base != entry.history.end()) {
    std::string& delta = m_deltas[{ request->kind, request->baseRevision }];
    const Revision& newest = entry.history.back();
    if (delta.empty()) {
      auto ops = makeLineDelta(base->text, newest.text);
      if (ops.size() <= kMaxElements) {
        delta = encode(ConfigDelta{ request->kind,
                                    request->baseRevision,
                                    newest.number,
                                    newest.hash,
                                    std::move(ops) });
      }
    }
    if (!delta.empty() && delta.size() < newest.text.size()) {
      reply = { MessageType::ConfigDelta, delta };
    }
  }
  if (reply.second.empty()) {
    ConfigWhole whole;
    whole.kind = request->kind;
    if (newer) {
      whole.revision = entry.number();
      whole.hash = entry.hash();
      whole.text = entry.history.back().text;
    }
    reply.second = encode(std::move(whole));
  }
  m_counters.sentBytes += reply.second.size();
  return reply;
}

bool
ConfigSync::onReply(const std::string& aHost,
                    MessageType aType,
                    const std::string& aPayload)
{
  m_counters.receivedBytes += aPayload.size();
  return aType == MessageType::ConfigDelta ? onDelta(aHost, aPayload)
                                           : onWhole(aHost, aPayload);
}

bool
ConfigSync::onDelta(const std::string& aHost, const std::string& aPayload)
{
  const auto delta = decode<ConfigDelta>(aPayload);
  if (!delta || !isKnown(delta->kind)) {
    return false;
  }
  Document& entry = document(delta->kind);
  if (entry.fetch.host != aHost) {
    return true; // no fetch from this host is pending
  }
  const PeerAddress address = entry.fetch.address;
  entry.fetch.host.clear();
  if (entry.number() != delta->from) {
    return true; // the base has changed; the next digest may start a fetch
  }
  auto text =
    applyLineDelta(entry.history.back().text, delta->ops, kMaxRulesBytes);
  if (!text || hashOf(*text) != delta->hash) {
    ++m_counters.deltaFaults;
    logWrite(LogLevel::Warn,
             LogLine("delta-refused")
               .add("document", nameOf(delta->kind))
               .add("revision", delta->to)
               .add("peer", aHost));
    fetch(delta->kind, aHost, address, true);
    return true;
  }
  ++m_counters.deltas;
  accept(delta->kind, { delta->to, delta->hash, std::move(*text) }, false);
  return true;
}

bool
ConfigSync::onWhole(const std::string& aHost, const std::string& aPayload)
{
  auto whole = decode<ConfigWhole>(aPayload);
  if (!whole || !isKnown(whole->kind)) {
    return false;
  }
  Document& entry = document(whole->kind);
  if (entry.fetch.host == aHost) {
    entry.fetch.host.clear();
  }
  if (whole->revision <= entry.number()) {
    return true;
  }
  if (whole->text.size() > kMaxRulesBytes ||
      hashOf(whole->text) != whole->hash) {
    return false;
  }
  ++m_counters.wholes;
  accept(whole->kind,
         { whole->revision, whole->hash, std::move(whole->text) },
         false);
  return true;
}

void
ConfigSync::checkReady()
{
  if (m_ready) {
    return;
  }
  for (const DocumentKind kind : kKinds) {
    const Document& entry = document(kind);
    if (entry.number() == 0 || entry.number() < entry.newestAdvertised) {
      return;
    }
  }
  const auto others = static_cast<std::size_t>(std::count_if(
    m_hosts.hosts.begin(), m_hosts.hosts.end(), [this](const Host& aHost) {
      return aHost.name != m_self;
    }));
  const bool enough =
    m_advertisingPeers.size() >= std::min(others, m_settings.joinPeers);
  if (!enough && m_clock.now() - m_joinStartedAt < m_settings.joinTime) {
    return;
  }
  m_ready = true;
  m_nextRoleCheck = m_clock.now();
  logWrite(LogLevel::Info,
           LogLine("ready")
             .add("rules", heldRevisions().rules)
             .add("hosts", heldRevisions().hosts)
             .add("peers_heard", m_advertisingPeers.size()));
}

} // namespace toucanridge
