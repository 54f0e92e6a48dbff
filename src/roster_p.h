#ifndef TOUCANRIDGE_ROSTER_P_H
#define TOUCANRIDGE_ROSTER_P_H

/// Discovers the hosts of the system when no host list is published: hosts send
/// introductions to seeds and to each other, with the hosts that they know.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "clock_p.h"
#include "gossip_wire_p.h"
#include "membership_p.h"

namespace toucanridge {

/// First field of an introduction. Gossip datagrams have their GossipKind at
/// this place, so the values must differ.
constexpr std::uint8_t kIntroductionKind = 5;

/// @returns true when a datagram is an introduction, not gossip
bool
isIntroduction(std::string_view aBytes);

/// The hosts known to this one. All calls must be made on one thread.
class Roster
{
public:
  /// A host that isn't heard from for this long is removed. Its address may by
  /// then belong to another host.
  static constexpr std::chrono::seconds kForgetAfter{ 60 };

  Roster(const ClockI& aClock,
         std::uint64_t aSeed,
         DatagramSenderI& aSender,
         Host aSelf);

  void setSeeds(std::vector<PeerAddress> aSeeds);
  /// Removes hosts that have expired and sends an introduction when one is due;
  /// call it about every 100 ms.
  void tick();
  void onDatagram(const PeerAddress& aFrom, std::string_view aBytes);
  /// Records that a host answered a probe.
  void onProbeAnswered(const std::string& aHost);

  /// @returns true when the host is known and in this one's data centre
  bool isInSameDataCentre(const std::string& aHost) const;
  /// @returns the time since the host was discovered, zero when it isn't known
  Duration knownFor(const std::string& aHost) const;
  /// @returns true when the hosts changed since the last call
  bool takeChanged();
  /// @returns all known hosts, this one included
  HostList list() const;
  std::size_t size() const { return m_hosts.size() + 1; }

private:
  struct KnownHost
  {
    Host host;
    TimePoint lastHeard;
    TimePoint discoveredAt;
  };

  void sendIntroduction(const PeerAddress& aTo, bool aWantsReply);
  void addOrUpdate(const Host& aHost, TimePoint aLastHeard);

  const ClockI& m_clock;
  std::mt19937_64 m_random;
  DatagramSenderI& m_sender;
  const Host m_self;
  std::vector<PeerAddress> m_seeds;
  std::map<std::string, KnownHost> m_hosts; ///< other hosts, by name
  /// When a host was last discovered or a sender knew more hosts than this one;
  /// initially the start.
  TimePoint m_lastDiscovery;
  TimePoint m_nextIntroduction;
  std::uint64_t m_revision = 1;
  /// Introductions sent, without replies; the first one, to all seeds, counts
  /// once, and those sent while no host is known don't count.
  std::size_t m_introductionCount = 0;
  bool m_changed = true;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ROSTER_P_H
