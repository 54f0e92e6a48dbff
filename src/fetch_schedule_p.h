#ifndef TOUCANRIDGE_FETCH_SCHEDULE_P_H
#define TOUCANRIDGE_FETCH_SCHEDULE_P_H

/// Decides when a host fetches published items from a peer, and from which.
/// Answers the load of a fleet in several data centres, where digests from
/// another data centre reach a host rarely, and where any connection or peer
/// may have fallen silent.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "clock_p.h"
#include "gossip_wire_p.h"

namespace toucanridge {

/// How far a copy of the items has got.
struct ItemsState
{
  std::uint64_t revision = 0;
  std::uint64_t version = 0; ///< of the configuration in force
};

/// @returns true when a peer's copy has items which this host's copy lacks.
/// Both
///          tests are needed: after the platform has lost changes, a peer at an
///          earlier revision may hold a later configuration.
constexpr bool
isAhead(const ItemsState& aPeer, const ItemsState& aHeld)
{
  return aPeer.revision > aHeld.revision ||
         (aHeld.version != 0 && aPeer.version > aHeld.version);
}

/// A peer and the state of its copy according to its latest digest.
struct ItemsPeer
{
  std::string host;
  PeerAddress address;
  ItemsState state;
};

class FetchSchedule
{
public:
  /// Delay between learning that a peer has a newer revision and fetching from
  /// it: the platform or a peer in this data centre usually delivers the change
  /// first. The platform's changes are read every 200 ms at most and take some
  /// 150 ms to reach all hosts of a data centre.
  static constexpr std::chrono::milliseconds kFetchDelay{ 400 };
  /// Time after a fetch before the next one, from another peer, if no reply
  /// arrives. It doubles with each fetch, so that replies that are only slow
  /// aren't slowed down further.
  static constexpr std::chrono::milliseconds kFirstRetry{ 400 };
  static constexpr std::chrono::milliseconds kMaxRetry{ 1600 };
  /// A peer that has neither replied nor lost its connection is asked again
  /// after this time.
  static constexpr std::chrono::milliseconds kReplyTimeout{ 3000 };

  explicit FetchSchedule(const ClockI& aClock);

  /// Notes that a peer holds items which this host lacks.
  /// @param[in] aDelayed whether to wait for kFetchDelay
  /// @returns true when this starts the wait
  bool onPeerAhead(const ItemsPeer& aPeer, bool aDelayed);
  /// A peer has replied to a fetch.
  void onReply(const std::string& aHost);
  /// The connection to a peer was lost, and with it any reply.
  void onLost(const std::string& aHost);
  /// @param[in] aHeld the state of this host's copy
  /// @returns the peer from which to fetch now, or nothing
  std::optional<ItemsPeer> takeDue(const ItemsState& aHeld);

private:
  struct Candidate
  {
    ItemsPeer peer;
    TimePoint dueAt;
    bool isAwaited = false;    ///< a fetch has no reply yet
    std::uint64_t askedAs = 0; ///< number of the latest fetch; 0: none
    TimePoint askedAt;
  };

  const ClockI& m_clock;
  std::map<std::string, Candidate> m_ahead; ///< by host
  std::uint64_t m_fetches = 0;
  TimePoint m_retryAt; ///< of the next fetch while one has no reply
  std::chrono::milliseconds m_retryDelay{ kFirstRetry };
};

} // namespace toucanridge

#endif // TOUCANRIDGE_FETCH_SCHEDULE_P_H
