#ifndef TOUCANRIDGE_ROSTER_P_H
#define TOUCANRIDGE_ROSTER_P_H

/// Finds the hosts of the system where no list of them is published: hosts
/// introduce themselves to seeds and pass on whom they know.

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

/// Leading value of an introduction, where a Gossip datagram has its kind.
constexpr std::uint8_t kIntroductionKind = 5;

/// @returns true when a datagram is an introduction, not gossip
bool
isIntroduction(std::string_view aBytes);

class Roster
{
public:
  /// Without word of it, a host is forgotten after this time. Its address may
  /// then belong to another.
  static constexpr std::chrono::seconds kForgetAfter{ 60 };

  Roster(const ClockI& aClock,
         std::uint64_t aSeed,
         DatagramSenderI& aSender,
         Host aSelf);

  void setSeeds(std::vector<PeerAddress> aSeeds);
  /// Does what is due; call it every 100 ms or so.
  void tick();
  void onDatagram(const PeerAddress& aFrom, std::string_view aBytes);
  /// A host answered a probe.
  void onHeard(const std::string& aHost);

  /// @returns true when the host is known to be in this one's data centre
  bool isNear(const std::string& aHost) const;
  /// @returns time since the host was first heard of, zero when it isn't known
  Duration knownFor(const std::string& aHost) const;
  /// @returns true when the hosts changed since the last call
  bool takeChanged();
  /// @returns all known hosts, this one included
  HostList list() const;
  std::size_t size() const { return m_hosts.size() + 1; }

private:
  struct Known
  {
    Host host;
    TimePoint heard;
    TimePoint since;
  };

  void introduce(const PeerAddress& aTo, bool aAsk);
  void learn(const Host& aHost, TimePoint aHeard);

  const ClockI& m_clock;
  std::mt19937_64 m_random;
  DatagramSenderI& m_sender;
  const Host m_self;
  std::vector<PeerAddress> m_seeds;
  std::map<std::string, Known> m_hosts; ///< others, by name
  TimePoint m_learnt; ///< when a new host was heard of, or the start
  TimePoint m_next;
  std::uint64_t m_revision = 1;
  std::size_t m_turn = 0;
  bool m_changed = true;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ROSTER_P_H
