#include "config_sync_p.h"

#include <algorithm>

#include <xxhash.h>

#include "line_delta_p.h"
#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// Revisions kept for deltas. A peer that is further behind gets the whole
/// text; at 1,500 changes a day four revisions last for minutes.
constexpr std::size_t kHistory = 4;
/// Grace for an answer of the platform beyond the wait that was asked for.
constexpr milliseconds kAnswerTime{ 2000 };
constexpr milliseconds kRoleEvery{ 500 };
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
  , m_nextRole(aClock.now())
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
ConfigSync::held() const
{
  return { document(DocumentKind::Rules).number(),
           document(DocumentKind::Hosts).number() };
}

std::uint64_t
ConfigSync::refusedRevision(DocumentKind aKind) const
{
  return document(aKind).refused;
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
  if (now >= m_nextRole) {
    const ReaderRole role = findRole();
    m_nextRole = now + kRoleEvery;
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
  std::size_t better = 0;
  for (const Host& host : m_hosts.hosts) {
    if (host.dataCentre == m_dataCentre && host.name != m_self &&
        weight(host.name) > own && m_isAlive(host.name)) {
      ++better;
    }
  }
  return better == 0   ? ReaderRole::First
         : better == 1 ? ReaderRole::Second
                       : ReaderRole::None;
}

/// @returns true when a read is due; one that is overdue no longer counts
bool
ConfigSync::mayRead(Document& aDocument, milliseconds aLimit)
{
  const TimePoint now = m_clock.now();
  if (aDocument.reading && now - aDocument.readSince < aLimit) {
    return false;
  }
  if (!aDocument.reading && now < aDocument.nextRead) {
    return false;
  }
  aDocument.reading = true;
  aDocument.readSince = now;
  ++m_counters.platformReads;
  return true;
}

void
ConfigSync::afterRead(Document& aDocument, bool aOk, milliseconds aGap)
{
  aDocument.reading = false;
  const milliseconds gap = aOk ? aGap : std::max(aGap, m_settings.retryAfter);
  // Spread by a quarter, so that nodes that start together don't read in step.
  const auto jitter =
    std::uniform_int_distribution<std::int64_t>(0, gap.count() / 4)(m_random);
  aDocument.nextRead = m_clock.now() + gap + milliseconds(jitter);
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
  const milliseconds wait = watching ? m_settings.watch : milliseconds(0);
  if (!mayRead(entry, wait + kAnswerTime)) {
    return;
  }
  m_platform.readRules(
    std::max(entry.number(), entry.refused),
    wait,
    [this, watching](tl::expected<PublishedRules, std::error_code> aRules) {
      const milliseconds standby = m_role == ReaderRole::Starting
                                     ? m_settings.retryAfter
                                     : m_settings.standbyEvery;
      afterRead(document(DocumentKind::Rules),
                aRules.has_value(),
                watching ? milliseconds(0) : standby);
      if (aRules) {
        onPlatform(
          DocumentKind::Rules, aRules->revision, std::move(aRules->text));
      }
    });
}

void
ConfigSync::readHosts()
{
  Document& entry = document(DocumentKind::Hosts);
  if (!mayRead(entry, kAnswerTime)) {
    return;
  }
  m_platform.readHosts([this](tl::expected<HostList, std::error_code> aHosts) {
    afterRead(document(DocumentKind::Hosts),
              aHosts.has_value(),
              m_role == ReaderRole::Second ? m_settings.standbyEvery
                                           : m_settings.hostsEvery);
    if (aHosts) {
      onPlatform(DocumentKind::Hosts, aHosts->revision, hostListText(*aHosts));
    }
  });
}

void
ConfigSync::onPlatform(DocumentKind aKind,
                       std::uint64_t aNumber,
                       std::string aText)
{
  Document& entry = document(aKind);
  if (aNumber < entry.number()) {
    ++m_counters.lowerIgnored;
    return;
  }
  if (aNumber == entry.number() || aNumber <= entry.refused) {
    return;
  }
  Revision revision{ aNumber, hashOf(aText), std::move(aText) };
  accept(aKind, std::move(revision), true);
}

void
ConfigSync::accept(DocumentKind aKind, Revision aRevision, bool aFromPlatform)
{
  Document& entry = document(aKind);
  if (aRevision.number <= entry.number()) {
    return;
  }
  if (!adopt(aKind, aRevision)) {
    // Only a refusal of what the platform serves says that reading the same
    // revision again is useless.
    if (aFromPlatform) {
      entry.refused = std::max(entry.refused, aRevision.number);
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
  entry.history.push_back(std::move(aRevision));
  if (entry.history.size() > kHistory) {
    entry.history.pop_front();
  }
  for (auto i = m_deltas.begin(); i != m_deltas.end();) {
    i = i->first.first == aKind ? m_deltas.erase(i) : std::next(i);
  }
  if (aKind == DocumentKind::Hosts && m_joinSince == TimePoint()) {
    m_joinSince = m_clock.now();
  }
  m_onChange(aKind);
}

/// Parses a document and puts it in place of the one held.
/// @returns false when it has a fault; the one held stays
bool
ConfigSync::adopt(DocumentKind aKind, const Revision& aRevision)
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
    return; // the peer is starting, too
  }
  if (!m_ready) {
    m_heardFrom.insert(aHost);
  }
  considerFetch(
    DocumentKind::Rules, aHost, aAddress, aDigest.rules, aDigest.rulesHash);
  considerFetch(
    DocumentKind::Hosts, aHost, aAddress, aDigest.hosts, aDigest.hostsHash);
}

void
ConfigSync::considerFetch(DocumentKind aKind,
                          const std::string& aHost,
                          const PeerAddress& aAddress,
                          std::uint64_t aNumber,
                          std::uint64_t aHash)
{
  Document& entry = document(aKind);
  entry.heard = std::max(entry.heard, aNumber);
  if (aNumber == entry.number() && aHash != entry.hash() &&
      entry.conflict != aNumber) {
    entry.conflict = aNumber;
    ++m_counters.conflicts;
    logWrite(LogLevel::Error,
             LogLine("config-conflict")
               .add("document", nameOf(aKind))
               .add("revision", aNumber)
               .add("peer", aHost));
  }
  if (aNumber <= entry.number() || aHash == entry.refusedHash) {
    return;
  }
  if (entry.fetch.host.empty() ||
      m_clock.now() - entry.fetch.since >= m_settings.fetchTimeout) {
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
    message.have = entry.number();
    message.haveHash = entry.hash();
  }
  ++m_counters.fetches;
  m_counters.sentBytes += encode(message).size();
  m_sender.sendFetch(aHost, aAddress, message);
}

std::pair<MessageType, std::string>
ConfigSync::answer(const std::string& aPayload)
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
      return aHeld.number == request->have && aHeld.hash == request->haveHash;
    });
  // A starting node does not vouch for what it holds.
  const bool newer = m_ready && entry.number() > request->have;
  if (newer && base != entry.history.end()) {
    std::string& delta = m_deltas[{ request->kind, request->have }];
    const Revision& newest = entry.history.back();
    if (delta.empty()) {
      auto ops = makeLineDelta(base->text, newest.text);
      if (ops.size() <= kMaxElements) {
        delta = encode(ConfigDelta{ request->kind,
                                    request->have,
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
    return true; // given up already
  }
  const PeerAddress address = entry.fetch.address;
  entry.fetch.host.clear();
  if (entry.number() != delta->from) {
    return true; // another source was faster; the next digest decides
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
    if (entry.number() == 0 || entry.number() < entry.heard) {
      return;
    }
  }
  const auto others = static_cast<std::size_t>(std::count_if(
    m_hosts.hosts.begin(), m_hosts.hosts.end(), [this](const Host& aHost) {
      return aHost.name != m_self;
    }));
  const bool enough =
    m_heardFrom.size() >= std::min(others, m_settings.joinPeers);
  if (!enough && m_clock.now() - m_joinSince < m_settings.joinTime) {
    return;
  }
  m_ready = true;
  m_nextRole = m_clock.now();
  logWrite(LogLevel::Info,
           LogLine("ready")
             .add("rules", held().rules)
             .add("hosts", held().hosts)
             .add("peers_heard", m_heardFrom.size()));
}

} // namespace toucanridge
