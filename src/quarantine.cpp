#include "quarantine_p.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iomanip>
#include <sstream>

#include <xxhash.h>

#include "log_p.h"

namespace toucanridge {
namespace {

/// Strikes at one server less than this far apart count as one loss that
/// several queries or nodes detected. A server takes about this long to
/// restart. Clock differences between hosts must stay below it.
constexpr std::int64_t kSameLossWindowMs = 3000;
/// As above, for attempts of different callers, where attempts are told apart.
/// A crash ends all of them at once, and servers may restart within a second.
constexpr std::int64_t kSameCrashWindowMs = 500;
/// Strikes kept per fingerprint, more than any policy asks for.
constexpr std::size_t kMaxStrikes = 4;
/// Most strikes logged in a second: the loss of a network loses many requests.
constexpr std::uint32_t kMaxStrikeLinesPerSecond = 20;

/// Strikes, and records whose period has ended, are kept for this long. An
/// answered request's record has to reach the hosts that still hold it.
constexpr std::chrono::minutes kKeepTime{ 10 };
/// Most records in one datagram.
constexpr std::size_t kMaxRecordsSent =
  kMaxBroadcastBytes / QuarantineRecord::kBytes;
/// Any service, where an answer of one of them clears all strikes.
constexpr std::uint64_t kAnyService = 0;

std::string
hex(std::uint64_t aValue)
{
  std::ostringstream out;
  out << std::hex << std::setw(16) << std::setfill('0') << aValue;
  return out.str();
}

} // namespace

std::uint64_t
strikeHash(const std::string& aName)
{
  return XXH3_64bits(aName.data(), aName.size());
}

std::string
Strike::encode() const
{
  std::string text;
  std::vector<std::uint64_t> values{
    fingerprint, server, service, static_cast<std::uint64_t>(atMs)
  };
  if (attempt != 0) {
    values.push_back(attempt); // hosts of earlier versions send four values
  }
  for (std::uint64_t value : values) {
    for (int i = 0; i < 8; ++i, value >>= 8U) {
      text.push_back(static_cast<char>(value & 0xffU));
    }
  }
  return text;
}

bool
Strike::decode(const std::string& aText, Strike& aStrike)
{
  std::array<std::uint64_t, 5> values{};
  if (aText.size() != values.size() * 8 &&
      aText.size() != (values.size() - 1) * 8) {
    return false;
  }
  for (std::size_t i = 0; i < aText.size(); ++i) {
    values[i / 8] |=
      static_cast<std::uint64_t>(static_cast<unsigned char>(aText[i]))
      << (8 * (i % 8));
  }
  aStrike = { values[0],
              values[1],
              values[2],
              static_cast<std::int64_t>(values[3]),
              values[4] };
  return true;
}

Quarantine::Quarantine(const ClockI& aClock,
                       BroadcastI* aBroadcast,
                       QuarantinePolicy aPolicy)
  : m_clock(aClock)
  , m_broadcast(aBroadcast)
  , m_policy(aPolicy)
  , m_strikeLogLimit(aClock, kMaxStrikeLinesPerSecond)
{
  if (m_broadcast == nullptr) {
    return;
  }
  m_broadcast->subscribe(
    BroadcastKind::Strike,
    [this](const std::string& aOrigin, const std::string& aItem) {
      Strike strike;
      if (Strike::decode(aItem, strike)) {
        countStrike(strike, aOrigin);
      } else {
        logWrite(LogLevel::Warn,
                 LogLine("strike-dropped").add("origin", aOrigin));
      }
    });
  m_broadcast->subscribe(
    BroadcastKind::Answer,
    [this](const std::string&, const std::string& aItem) { onAnswer(aItem); });
  m_broadcast->subscribe(
    BroadcastKind::Quarantine,
    [this](const std::string& aOrigin, const std::string& aItem) {
      onRecords(aOrigin, aItem);
    });
  m_broadcast->setState(BroadcastKind::Quarantine,
                        [this] { return nextRecords(); });
}

void
Quarantine::setLifts(const std::vector<QuarantineLiftRule>& aLifts)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_liftedFingerprints.clear();
  for (const QuarantineLiftRule& lift : aLifts) {
    m_liftedFingerprints.insert(lift.fingerprint);
  }
}

void
Quarantine::setHosts(const std::string& aSelf,
                     std::vector<std::string> aHosts,
                     bool aMayTry)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_self = aSelf;
  m_hosts = std::move(aHosts);
  m_hostsSetAt = m_clock.now();
  m_mayTry = aMayTry;
}

bool
Quarantine::isRefusedLocked(std::uint64_t aFingerprint) const
{
  const auto found = m_entries.find(aFingerprint);
  return found != m_entries.end() && found->second.isSuspect() &&
         found->second.until > m_clock.now() &&
         m_liftedFingerprints.count(aFingerprint) == 0;
}

/// A host that runs a part of a peer's trial must not block it.
bool
Quarantine::isBlockedLocked(std::uint64_t aFingerprint) const
{
  return isRefusedLocked(aFingerprint) &&
         m_entries.at(aFingerprint).record.state ==
           QuarantineRecord::State::Held;
}

bool
Quarantine::blocks(std::uint64_t aFingerprint) const
{
  if (m_entryCount == 0) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  return isBlockedLocked(aFingerprint);
}

QuarantineVerdict
Quarantine::admit(std::uint64_t aFingerprint)
{
  if (m_entryCount == 0) {
    return QuarantineVerdict::Run;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end() || !found->second.isSuspect() ||
      m_liftedFingerprints.count(aFingerprint) != 0) {
    return QuarantineVerdict::Run;
  }
  Entry& entry = found->second;
  const TimePoint now = m_clock.now();
  const bool alone = m_self.empty();
  const bool informed =
    m_mayTry && now - m_hostsSetAt <= Duration(kMaxHostsAge);
  if (now < entry.until || (!alone && !informed) ||
      !isTrialTurn(aFingerprint, m_hosts, m_self, now - entry.until)) {
    return QuarantineVerdict::Refuse;
  }
  // Each trial without a result doubles the time until the next one.
  const auto doublings = std::min<std::uint16_t>(entry.record.round, 8);
  setState(entry,
           QuarantineRecord::State::OnTrial,
           std::min<Duration>(kFirstQuarantine * (1U << doublings),
                              kRepeatQuarantine));
  logWrite(LogLevel::Warn,
           LogLine("quarantine-trial").add("fingerprint", hex(aFingerprint)));
  return QuarantineVerdict::Try;
}

bool
Quarantine::recordStrike(const Strike& aStrike)
{
  if (m_broadcast != nullptr) {
    m_broadcast->publish(BroadcastKind::Strike, aStrike.encode());
  }
  return countStrike(aStrike, {});
}

bool
Quarantine::countStrike(const Strike& aStrike, const std::string& aOrigin)
{
  const TimePoint now = m_clock.now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  evictEntries();
  Entry& entry = m_entries[aStrike.fingerprint];
  m_entryCount = m_entries.size();
  const bool counted = std::any_of(
    entry.strikes.begin(), entry.strikes.end(), [&](const Strike& aEarlier) {
      return aEarlier.server == aStrike.server &&
             std::abs(aEarlier.atMs - aStrike.atMs) <
               (aEarlier.attempt == aStrike.attempt ? kSameLossWindowMs
                                                    : kSameCrashWindowMs);
    });
  if (counted) {
    return isBlockedLocked(aStrike.fingerprint);
  }
  if (entry.strikes.size() == kMaxStrikes) {
    entry.strikes.erase(entry.strikes.begin());
  }
  entry.strikes.push_back(aStrike);
  entry.lastStrike = now;
  entry.forgetAt = std::max<TimePoint>(entry.forgetAt, now + kKeepTime);
  if (m_strikeLogLimit.allows()) {
    logWrite(LogLevel::Info,
             LogLine("strike")
               .add("fingerprint", hex(aStrike.fingerprint))
               .add("server", hex(aStrike.server))
               .add("attempt", hex(aStrike.attempt))
               .add("origin", aOrigin.empty() ? "self" : aOrigin)
               .add("strikes", entry.strikes.size())
               .add("suppressed", m_strikeLogLimit.takeSuppressed()));
  }
  const bool isHeld =
    entry.record.state == QuarantineRecord::State::Held && entry.until > now;
  if (isEnough(entry) && !(entry.isSuspect() && isHeld)) {
    // The request may merely have run on servers that another request crashed,
    // so the first quarantine is short.
    const Duration period = entry.isSuspect() ? Duration(kRepeatQuarantine)
                                              : Duration(kFirstQuarantine);
    entry.record.fingerprint = aStrike.fingerprint;
    entry.record.service = static_cast<std::uint32_t>(aStrike.service);
    setState(entry, QuarantineRecord::State::Held, period);
    logWrite(
      LogLevel::Warn,
      LogLine("quarantined")
        .add("fingerprint", hex(aStrike.fingerprint))
        .add("strikes", entry.strikes.size())
        .add("ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(period)
               .count()));
  }
  return isBlockedLocked(aStrike.fingerprint);
}

void
Quarantine::setState(Entry& aEntry,
                     QuarantineRecord::State aState,
                     Duration aPeriod)
{
  ++aEntry.record.round;
  aEntry.record.state = aState;
  aEntry.until = m_clock.now() + aPeriod;
  aEntry.forgetAt = aEntry.until + kKeepTime;
  if (m_broadcast != nullptr) {
    m_broadcast->onStateChanged();
  }
}

bool
Quarantine::isEnough(const Entry& aEntry) const
{
  std::set<std::uint64_t> attempts;
  for (const Strike& strike : aEntry.strikes) {
    attempts.insert(strike.attempt);
  }
  return aEntry.isSuspect() || (aEntry.strikes.size() >= m_policy.losses &&
                                attempts.size() >= m_policy.attempts);
}

bool
Quarantine::hasStrikes(std::uint64_t aFingerprint) const
{
  if (m_entryCount == 0) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(aFingerprint);
  return found != m_entries.end() &&
         (!found->second.strikes.empty() || found->second.isSuspect());
}

void
Quarantine::clearStrikes(std::uint64_t aFingerprint)
{
  clearAndTell(aFingerprint, kAnyService);
}

void
Quarantine::clearStrikes(std::uint64_t aFingerprint,
                         const std::string& aService)
{
  if (m_entryCount != 0) {
    clearAndTell(aFingerprint, strikeHash(aService));
  }
}

void
Quarantine::clearAndTell(std::uint64_t aFingerprint, std::uint64_t aService)
{
  if (m_entryCount == 0) {
    return;
  }
  bool changed = false;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    changed = clearLocked(aFingerprint, aService);
  }
  if (changed && m_broadcast != nullptr) {
    Strike answer;
    answer.fingerprint = aFingerprint;
    answer.service = aService;
    m_broadcast->publish(BroadcastKind::Answer, answer.encode());
  }
}

/// @returns true when strikes were cleared or the request was released
bool
Quarantine::clearLocked(std::uint64_t aFingerprint, std::uint64_t aService)
{
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end()) {
    return false;
  }
  // Strikes at other services stay: a request may crash the servers of one
  // service and be answered by another.
  Entry& entry = found->second;
  const std::size_t before = entry.strikes.size();
  entry.strikes.erase(std::remove_if(entry.strikes.begin(),
                                     entry.strikes.end(),
                                     [&](const Strike& aStrike) {
                                       return aService == kAnyService ||
                                              aStrike.service == aService;
                                     }),
                      entry.strikes.end());
  const bool cleared = entry.strikes.size() != before;
  if (!entry.strikes.empty()) {
    return cleared;
  }
  if (entry.record.round == 0) {
    m_entries.erase(found);
    m_entryCount = m_entries.size();
    return cleared;
  }
  if (entry.isSuspect() &&
      (aService == kAnyService ||
       entry.record.service == static_cast<std::uint32_t>(aService))) {
    setState(entry, QuarantineRecord::State::Answered, Duration(0));
    logWrite(LogLevel::Warn,
             LogLine("quarantine-ended").add("fingerprint", hex(aFingerprint)));
    return true;
  }
  return cleared;
}

void
Quarantine::onAnswer(const std::string& aPayload)
{
  Strike answer;
  if (Strike::decode(aPayload, answer)) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    clearLocked(answer.fingerprint, answer.service);
  }
}

void
Quarantine::onRecords(const std::string& aOrigin, const std::string& aPayload)
{
  const auto records = decodeRecords(aPayload);
  if (!records) {
    logWrite(LogLevel::Warn,
             LogLine("quarantine-dropped").add("origin", aOrigin));
    return;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const QuarantineRecord& record : *records) {
    merge(record);
  }
}

void
Quarantine::merge(const QuarantineRecord& aRecord)
{
  const auto found = m_entries.find(aRecord.fingerprint);
  if (found != m_entries.end() && !aRecord.supersedes(found->second.record)) {
    return;
  }
  if (found == m_entries.end()) {
    evictEntries();
  }
  const TimePoint now = m_clock.now();
  Entry& entry = m_entries[aRecord.fingerprint];
  m_entryCount = m_entries.size();
  entry.record = aRecord;
  entry.until = now + std::min<Duration>(aRecord.left, kRepeatQuarantine);
  entry.forgetAt =
    now + std::min<Duration>(aRecord.keep, kRepeatQuarantine + kKeepTime);
  if (!entry.isSuspect()) {
    entry.strikes.clear();
  }
  if (m_broadcast != nullptr) {
    m_broadcast->onStateChanged();
  }
  logWrite(LogLevel::Info,
           LogLine("quarantine-learnt")
             .add("fingerprint", hex(aRecord.fingerprint))
             .add("round", aRecord.round)
             .add("state", static_cast<int>(aRecord.state))
             .add("left_ms", aRecord.left.count()));
}

/// @returns the records that the next datagram carries; all take turns
std::string
Quarantine::nextRecords()
{
  if (m_entryCount == 0) {
    return {};
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  const TimePoint now = m_clock.now();
  std::vector<QuarantineRecord> records;
  auto next = m_entries.upper_bound(m_lastSent);
  for (std::size_t i = 0;
       i < m_entries.size() && records.size() < kMaxRecordsSent;
       ++i, ++next) {
    if (next == m_entries.end()) {
      next = m_entries.begin();
    }
    const Entry& entry = next->second;
    if (entry.record.round == 0 || entry.forgetAt <= now) {
      continue;
    }
    m_lastSent = next->first;
    QuarantineRecord record = entry.record;
    record.left =
      std::chrono::duration_cast<std::chrono::milliseconds>(entry.until - now);
    record.keep =
      std::chrono::duration_cast<std::chrono::seconds>(entry.forgetAt - now);
    records.push_back(record);
  }
  return encodeRecords(records);
}

/// Removes expired entries and, when the table is full, the oldest one without
/// a quarantine, if there is one, else the oldest.
void
Quarantine::evictEntries()
{
  const TimePoint now = m_clock.now();
  const auto age = [](const Entry& aEntry) {
    return std::make_pair(aEntry.isSuspect(), aEntry.forgetAt);
  };
  auto first = m_entries.end();
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    if (it->second.forgetAt <= now) {
      it = m_entries.erase(it);
      continue;
    }
    if (first == m_entries.end() || age(it->second) < age(first->second)) {
      first = it;
    }
    ++it;
  }
  if (m_entries.size() >= kMaxEntries) {
    m_entries.erase(first);
  }
}

std::vector<QuarantineStatus>
Quarantine::status() const
{
  std::vector<QuarantineStatus> entries;
  const TimePoint now = m_clock.now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [fingerprint, entry] : m_entries) {
    if (entry.strikes.empty() && !entry.isSuspect()) {
      continue;
    }
    QuarantineStatus status;
    status.fingerprint = fingerprint;
    status.strikes = static_cast<std::uint32_t>(entry.strikes.size());
    status.lifted = m_liftedFingerprints.count(fingerprint) != 0;
    status.blocked = isRefusedLocked(fingerprint);
    if (status.blocked) {
      status.left = std::chrono::duration_cast<std::chrono::milliseconds>(
        entry.until - now);
    }
    entries.push_back(status);
  }
  return entries;
}

} // namespace toucanridge
