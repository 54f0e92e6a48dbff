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
#include "quarantine_record_p.h"
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

/// What a host does with a request that a caller sends.
enum class QuarantineVerdict : std::uint8_t
{
  Run,
  Try, ///< run it on one server first; no other host tries it meanwhile
  Refuse,
};

/// Counts strikes by fingerprint. Separate losses quarantine a request. Every
/// request that was running on a lost server gets a strike, also those that did
/// not cause the loss, so the first quarantine is short. After it, one host at
/// a time may try the request: if it is answered, it is released; if it loses
/// another server, it is quarantined for ten minutes; if neither is seen, the
/// next trial waits twice as long. The hosts exchange their records of
/// quarantined requests with every datagram, so one that starts or has missed
/// messages knows them before it serves. Thread-safe.
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
  /// Sets the hosts that take turns at trials; call it at least once in
  /// kMaxHostsAge. Without a call, this host is the only one.
  /// @param[in] aHosts names of the hosts believed alive, this one included
  /// @param[in] aMayTry false while this host may lack recent messages
  void setHosts(const std::string& aSelf,
                std::vector<std::string> aHosts,
                bool aMayTry);

  /// Decides on a request that a caller sends. Try starts the trial.
  QuarantineVerdict admit(std::uint64_t aFingerprint);
  /// @returns true when no server must get a request with this fingerprint
  bool blocks(std::uint64_t aFingerprint) const;

  /// Counts a loss that this node detected and broadcasts it.
  /// @returns true when the request must not run again
  bool recordStrike(const Strike& aStrike);

  /// Clears the strikes of a request at a service that has answered it, on all
  /// hosts.
  void clearStrikes(std::uint64_t aFingerprint, const std::string& aService);
  /// Clears all strikes of a request, on all hosts.
  void clearStrikes(std::uint64_t aFingerprint);
  /// @returns true when a server was lost while it ran the request
  bool hasStrikes(std::uint64_t aFingerprint) const;

  std::vector<QuarantineStatus> status() const;

private:
  /// A host whose list of hosts is older has been paused.
  static constexpr std::chrono::milliseconds kMaxHostsAge{ 2500 };

  struct Entry
  {
    std::vector<Strike> strikes;
    TimePoint lastStrike;
    /// Of the quarantine; a round of 0 when there was none.
    QuarantineRecord record;
    TimePoint until; ///< end of the period of the record's state
    TimePoint forgetAt;

    /// @returns true when the request was quarantined and no server has
    ///          answered it since
    bool isSuspect() const
    {
      return record.round != 0 &&
             record.state != QuarantineRecord::State::Answered;
    }
  };

  bool countStrike(const Strike& aStrike, const std::string& aOrigin);
  // The functions below require m_mutex to be held.
  bool isBlockedLocked(std::uint64_t aFingerprint) const;
  bool isRefusedLocked(std::uint64_t aFingerprint) const;
  void setState(Entry& aEntry,
                QuarantineRecord::State aState,
                Duration aPeriod);
  bool clearLocked(std::uint64_t aFingerprint, std::uint64_t aService);
  void clearAndTell(std::uint64_t aFingerprint, std::uint64_t aService);
  void merge(const QuarantineRecord& aRecord);
  void onRecords(const std::string& aOrigin, const std::string& aPayload);
  void onAnswer(const std::string& aPayload);
  std::string nextRecords();
  void evictEntries();
  /// @returns true when the strikes suffice for a quarantine
  bool isEnough(const Entry& aEntry) const;

  const ClockI& m_clock;
  BroadcastI* m_broadcast;
  const QuarantinePolicy m_policy;
  std::atomic<std::size_t> m_entryCount{ 0 }; ///< read without the mutex
  mutable std::mutex m_mutex;                 ///< guards what follows
  std::map<std::uint64_t, Entry> m_entries;
  std::uint64_t m_lastSent = 0; ///< fingerprint of the record sent last
  std::set<std::uint64_t> m_liftedFingerprints;
  std::string m_self;
  std::vector<std::string> m_hosts;
  TimePoint m_hostsSetAt;
  bool m_mayTry = true;
  LogRateLimiter m_strikeLogLimit;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_QUARANTINE_P_H
