#ifndef TOUCANRIDGE_QUARANTINE_P_H
#define TOUCANRIDGE_QUARANTINE_P_H

/// Stops requests that crash backend servers.

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
#include "rules_p.h"

namespace toucanridge {

/// A server was lost while it ran a request.
struct Strike
{
  std::uint64_t fingerprint = 0; ///< of class and body
  std::uint64_t server = 0;      ///< hash of the server's name
  std::uint64_t service = 0;     ///< hash of the service's name
  std::int64_t atMs = 0;         ///< unix time of the loss

  std::string encode() const;
  /// @returns false when the text is no strike
  static bool decode(const std::string& aText, Strike& aStrike);
};

/// @returns the hash by which strikes name servers and services
std::uint64_t
strikeHash(const std::string& aName);

/// An entry, for status.
struct QuarantineStatus
{
  std::uint64_t fingerprint = 0;
  std::uint32_t strikes = 0;
  bool blocked = false;
  bool lifted = false;
  std::chrono::milliseconds left{ 0 }; ///< until it is no longer blocked
};

/// Counts strikes by fingerprint. Two separate losses quarantine a request:
/// losses of different servers, or of one server at different times. A loss
/// hits bystanders too, so the first quarantine is short. A request that
/// answers after it clears its strikes; one that loses another server is
/// quarantined for ten minutes. Safe from any thread.
class Quarantine
{
public:
  static constexpr std::size_t kMaxEntries = 1024;
  static constexpr std::chrono::seconds kFirst{ 10 };
  static constexpr std::chrono::minutes kLong{ 10 };

  /// @param[in] aBroadcast spreads strikes; may be null
  Quarantine(const ClockI& aClock, BroadcastI* aBroadcast);

  /// Sets the fingerprints that operators have lifted.
  void setLifts(const std::vector<LiftRule>& aLifts);

  /// @returns true when the request must not run
  bool blocks(std::uint64_t aFingerprint) const;

  /// Counts a loss that this node saw, and spreads it.
  /// @returns true when the request must not run any more
  bool strike(const Strike& aStrike);

  /// A service has answered the request: its strikes there are void.
  void answered(std::uint64_t aFingerprint, const std::string& aService);

  std::vector<QuarantineStatus> status() const;

private:
  struct Entry
  {
    std::vector<Strike> strikes;
    TimePoint last;         ///< of the newest strike
    TimePoint blockedUntil; ///< the epoch when it was never blocked
    bool onProbation = false;
  };

  bool count(const Strike& aStrike);
  bool blocksLocked(std::uint64_t aFingerprint) const;
  void makeRoom();

  const ClockI& m_clock;
  BroadcastI* m_broadcast;
  std::atomic<std::size_t> m_size{ 0 }; ///< spares replies the mutex
  mutable std::mutex m_mutex;           ///< guards what follows
  std::map<std::uint64_t, Entry> m_entries;
  std::set<std::uint64_t> m_lifted;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_QUARANTINE_P_H
