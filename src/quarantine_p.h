#ifndef TOUCANRIDGE_QUARANTINE_P_H
#define TOUCANRIDGE_QUARANTINE_P_H

/// Blocks requests that crash backend servers.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "broadcast_p.h"
#include "clock_p.h"
#include "log_limit_p.h"
#include "rules_p.h"

namespace toucanridge {

/// Records that a server was lost while it ran a request.
struct Strike
{
  std::uint64_t fingerprint = 0; ///< of the query class and body
  std::uint64_t server = 0;      ///< hash of the server's name
  std::uint64_t service = 0;     ///< hash of the service's name
  std::int64_t atMs = 0;         ///< Unix time of the loss in milliseconds
  /// Identifies the attempt of the caller, where attempts are told apart; else
  /// 0.
  std::uint64_t attempt = 0;

  /// @returns the encoding for broadcasts
  std::string encode() const;
  /// @returns false when the text is not an encoded strike
  static bool decode(const std::string& aText, Strike& aStrike);
};

/// @returns the hash that identifies a server or service in a strike
std::uint64_t
strikeHash(const std::string& aName);

/// Status of one fingerprint with strikes.
struct QuarantineStatus
{
  std::uint64_t fingerprint = 0;
  std::uint32_t strikes = 0;
  bool blocked = false;
  bool lifted = false;
  std::chrono::milliseconds left{ 0 }; ///< until it is no longer blocked
};

/// What it takes to quarantine a request.
struct QuarantinePolicy
{
  /// Separate losses: of different servers, or of one server at different
  /// times.
  std::size_t losses = 2;
  /// Caller's attempts among which the losses are. Several servers that are
  /// lost at once, for instance with their network, are losses of one attempt.
  std::size_t attempts = 1;
};

/// Counts strikes by fingerprint. Separate losses quarantine a request. Every
/// request that was running on a lost server gets a strike, also those that did
/// not cause the loss, so the first quarantine is short. If the request is
/// answered after that, its strikes are cleared; if it loses another server, it
/// is quarantined for ten minutes. Thread-safe.
class Quarantine
{
public:
  static constexpr std::size_t kMaxEntries = 1024;
  static constexpr std::chrono::seconds kFirstQuarantine{ 10 };
  static constexpr std::chrono::minutes kRepeatQuarantine{ 10 };

  /// @param[in] aBroadcast distributes strikes to other nodes; may be null
  Quarantine(const ClockI& aClock,
             BroadcastI* aBroadcast,
             QuarantinePolicy aPolicy = {});

  /// Sets the rules by which operators exempt fingerprints from quarantine.
  void setLifts(const std::vector<QuarantineLiftRule>& aLifts);

  /// @returns true when a request with this fingerprint must not run
  bool blocks(std::uint64_t aFingerprint) const;

  /// Counts a loss that this node detected and broadcasts it.
  /// @returns true when the request must not run again
  bool recordStrike(const Strike& aStrike);

  /// Clears the strikes of a request at a service that has answered it.
  void clearStrikes(std::uint64_t aFingerprint, const std::string& aService);
  /// Clears all strikes of a request.
  void clearStrikes(std::uint64_t aFingerprint);
  /// @returns true when a server was lost while it ran the request
  bool hasStrikes(std::uint64_t aFingerprint) const;

  std::vector<QuarantineStatus> status() const;

private:
  struct Entry
  {
    std::vector<Strike> strikes;
    TimePoint lastStrike;
    TimePoint blockedUntil; ///< the epoch when it was never quarantined
    bool quarantinedBefore = false;
  };

  /// @param[in] aOrigin host that detected the loss, empty for this one
  bool countStrike(const Strike& aStrike, const std::string& aOrigin);
  /// Requires m_mutex to be held.
  bool isBlockedLocked(std::uint64_t aFingerprint) const;
  void evictEntries();
  /// @returns true when the strikes suffice for a quarantine
  bool isEnough(const Entry& aEntry) const;

  const ClockI& m_clock;
  BroadcastI* m_broadcast;
  const QuarantinePolicy m_policy;
  std::atomic<std::size_t> m_entryCount{ 0 }; ///< read without the mutex
  mutable std::mutex m_mutex;                 ///< guards what follows
  std::map<std::uint64_t, Entry> m_entries;
  std::set<std::uint64_t> m_liftedFingerprints;
  LogRateLimiter m_strikeLogLimit;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_QUARANTINE_P_H
