#ifndef TOUCANRIDGE_QUARANTINE_RECORD_P_H
#define TOUCANRIDGE_QUARANTINE_RECORD_P_H

/// What all hosts know about a request that was quarantined. Answers the load
/// of a fleet in which hosts start, are cut off or lose datagrams while such a
/// request comes again: records are merged in any order and as often as they
/// arrive, and all hosts end up with the same ones.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock_p.h"

namespace toucanridge {

/// State of a quarantined request. Times are relative to the moment of encoding
/// or decoding, as the hosts' clocks differ.
struct QuarantineRecord
{
  enum class State : std::uint8_t
  {
    OnTrial = 0,  ///< one host tries the request, the others refuse it
    Held = 1,     ///< all hosts refuse the request
    Answered = 2, ///< a server has answered it, so it is harmless
  };
  /// Size of an encoded record.
  static constexpr std::size_t kBytes = 21;

  std::uint64_t fingerprint = 0;
  std::uint32_t service = 0; ///< hash of the service that lost the last server
  std::uint16_t round = 0;   ///< rises with each change of the state
  State state = State::Held;
  /// Until the period of Held or OnTrial ends; negative after it.
  std::chrono::milliseconds left{ 0 };
  std::chrono::seconds keep{ 0 }; ///< until the record is forgotten

  /// @returns true when this record replaces the other one of the same request
  bool supersedes(const QuarantineRecord& aOther) const;
};

/// @returns the encoding for datagrams, kBytes for each record
std::string
encodeRecords(const std::vector<QuarantineRecord>& aRecords);

/// @returns nothing when the bytes aren't encoded records
std::optional<std::vector<QuarantineRecord>>
decodeRecords(const std::string& aBytes);

/// Decides which host may try a request whose quarantine has ended. Hosts take
/// turns, so that two don't try it before one has heard of the other's result.
/// @param[in] aHosts names of the hosts that are believed alive
/// @param[in] aSinceEnd time since the end of the quarantine
/// @returns true when it is this host's turn
bool
isTrialTurn(std::uint64_t aFingerprint,
            const std::vector<std::string>& aHosts,
            const std::string& aSelf,
            Duration aSinceEnd);

} // namespace toucanridge

#endif // TOUCANRIDGE_QUARANTINE_RECORD_P_H
