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
  if (m_broadcast != nullptr) {
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
  }
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

bool
Quarantine::isBlockedLocked(std::uint64_t aFingerprint) const
{
  const auto found = m_entries.find(aFingerprint);
  return found != m_entries.end() &&
         found->second.blockedUntil > m_clock.now() &&
         m_liftedFingerprints.count(aFingerprint) == 0;
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
  if (entry.blockedUntil <= now && isEnough(entry)) {
    // The request may merely have run on servers that another request crashed,
    // so the first quarantine is short.
    const Duration period = entry.quarantinedBefore
                              ? Duration(kRepeatQuarantine)
                              : Duration(kFirstQuarantine);
    entry.blockedUntil = now + period;
    entry.quarantinedBefore = true;
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

bool
Quarantine::isEnough(const Entry& aEntry) const
{
  std::set<std::uint64_t> attempts;
  for (const Strike& strike : aEntry.strikes) {
    attempts.insert(strike.attempt);
  }
  return aEntry.strikes.size() >= m_policy.losses &&
         (attempts.size() >= m_policy.attempts || aEntry.quarantinedBefore);
}

bool
Quarantine::hasStrikes(std::uint64_t aFingerprint) const
{
  if (m_entryCount == 0) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_entries.count(aFingerprint) != 0;
}

void
Quarantine::clearStrikes(std::uint64_t aFingerprint)
{
  if (m_entryCount == 0) {
    return;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_entries.erase(aFingerprint);
  m_entryCount = m_entries.size();
}

void
Quarantine::clearStrikes(std::uint64_t aFingerprint,
                         const std::string& aService)
{
  if (m_entryCount == 0) {
    return;
  }
  const std::uint64_t service = strikeHash(aService);
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end()) {
    return;
  }
  // Strikes at other services stay: a request may crash the servers of one
  // service and be answered by another.
  auto& strikes = found->second.strikes;
  strikes.erase(std::remove_if(strikes.begin(),
                               strikes.end(),
                               [&](const Strike& aStrike) {
                                 return aStrike.service == service;
                               }),
                strikes.end());
  if (strikes.empty()) {
    m_entries.erase(found);
    m_entryCount = m_entries.size();
  }
}

/// Removes expired entries, and the oldest one when the table is full.
void
Quarantine::evictEntries()
{
  const TimePoint now = m_clock.now();
  auto oldest = m_entries.end();
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    if (now - it->second.lastStrike >= kRepeatQuarantine &&
        it->second.blockedUntil <= now) {
      it = m_entries.erase(it);
      continue;
    }
    if (oldest == m_entries.end() ||
        it->second.lastStrike < oldest->second.lastStrike) {
      oldest = it;
    }
    ++it;
  }
  if (m_entries.size() >= kMaxEntries) {
    m_entries.erase(oldest);
  }
}

std::vector<QuarantineStatus>
Quarantine::status() const
{
  std::vector<QuarantineStatus> entries;
  const TimePoint now = m_clock.now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [fingerprint, entry] : m_entries) {
    QuarantineStatus status;
    status.fingerprint = fingerprint;
    status.strikes = static_cast<std::uint32_t>(entry.strikes.size());
    status.lifted = m_liftedFingerprints.count(fingerprint) != 0;
    status.blocked = isBlockedLocked(fingerprint);
    if (status.blocked) {
      status.left = std::chrono::duration_cast<std::chrono::milliseconds>(
        entry.blockedUntil - now);
    }
    entries.push_back(status);
  }
  return entries;
}

} // namespace toucanridge
