#ifndef TOUCANRIDGE_MEMBERSHIP_P_H
#define TOUCANRIDGE_MEMBERSHIP_P_H

/// Failure detection among the listed hosts: random probes, indirect probes,
/// suspicion that the suspect can refute, and updates that ride on probes.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "broadcaster_p.h"
#include "clock_p.h"
#include "gossip_wire_p.h"
#include "peer_state_p.h"
#include "view_p.h"

namespace toucanridge {

/// Sends one datagram; it may be lost.
class DatagramSenderI
{
public:
  virtual ~DatagramSenderI() = default;
  virtual void sendDatagram(const PeerAddress& aTo, std::string aBytes) = 0;
};

/// What the node tells of itself in each datagram, and who takes the digests
/// of its peers.
class GossipLocalI
{
public:
  virtual ~GossipLocalI() = default;
  virtual PeerState state() const = 0;
  virtual ConfigDigest digest() const = 0;
  virtual std::uint32_t load() const = 0;
  virtual void onDigest(const std::string& aHost,
                        const PeerAddress& aAddress,
                        const ConfigDigest& aDigest) = 0;
};

struct MembershipSettings
{
  std::chrono::milliseconds probeEvery{ 1000 };
  /// Above the round trip between regions with a loaded receiver.
  std::chrono::milliseconds directTimeout{ 200 };
  std::chrono::milliseconds probeTimeout{ 1000 };
  std::uint32_t indirect = 3; ///< members asked to probe on this node's behalf
  /// Times that a probe is repeated and relays are asked. At 20% loss 2% of
  /// the probes fail with one round and 0.2% with two; at 560 nodes even that
  /// made more suspicions than updates can refute in time.
  std::uint32_t rounds = 3;
  /// One probe in this many goes to any data centre, the others stay in the
  /// own one when it has at least kMinNeighbours other hosts: bytes between
  /// data centres cost more.
  std::uint32_t remoteEvery = 1;
  /// Probe period of a starting node, which waits for its peers' revisions.
  std::chrono::milliseconds joinProbeEvery{ 100 };
};

struct MembershipCounters
{
  std::uint64_t sentDatagrams = 0;
  std::uint64_t sentBytes = 0; ///< payload, without IP and UDP headers
  std::uint64_t receivedDatagrams = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t malformed = 0;
  std::uint64_t misaddressed = 0; ///< sent to another host's name
  std::uint64_t probes = 0;
  std::uint64_t probesFailed = 0;
  std::uint64_t indirectAcks = 0;
  std::uint64_t suspicions = 0; ///< raised here
  std::uint64_t deaths = 0;     ///< suspicions that ran out here
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
};

/// Members as other threads see them.
struct MemberSnapshot
{
  std::set<std::string> unavailable; ///< suspected, dead or leaving
  std::map<std::string, std::uint32_t> loads;
};

class Membership
{
public:
  Membership(const ClockI& aClock,
             std::uint64_t aSeed,
             MembershipSettings aSettings,
             DatagramSenderI& aSender,
             GossipLocalI& aLocal,
             PeerEvidenceI& aEvidence,
             Broadcaster& aBroadcaster,
             std::string aDataCentre);

  /// Takes the published list; members that it drops are forgotten.
  void setHosts(const HostList& aHosts);
  /// Addresses to ask while no host is known.
  void setSeeds(std::vector<PeerAddress> aSeeds)
  {
    m_seeds = std::move(aSeeds);
  }
  /// Probes a host of the own data centre three times a lease.
  void setLease(std::chrono::milliseconds aLease);
  /// A starting node probes faster.
  void setJoining(bool aJoining) { m_joining = aJoining; }
  /// So does one that waits for word from other data centres.
  void setEager(bool aEager) { m_eager = aEager; }

  /// Does what is due; call it every 50 ms or more often.
  void tick();
  void onDatagram(const PeerAddress& aFrom, std::string_view aBytes);
  /// Traffic failed to reach a host: probes it now.
  void onFailureHint(const std::string& aHost);
  /// Announces that this host leaves.
  void leave();
  /// Probes some members at once, to spread what this host has just learnt.
  /// @param[in] aNear only members of the own data centre
  void announce(std::size_t aMembers, bool aNear);

  bool isAlive(const std::string& aHost) const;
  /// @returns the state of a listed host; Dead for any other
  MemberState stateOf(const std::string& aHost) const;
  std::shared_ptr<const MemberSnapshot> makeSnapshot() const;
  /// @returns true when a state changed since the last call
  bool takeChanged();
  /// @returns time in which an announcement reaches nearly all members
  std::chrono::milliseconds spreadTime() const;
  std::size_t size() const { return m_members.size(); }
  const MembershipCounters& counters() const { return m_counters; }

private:
  /// A node whose last probes all failed has most likely lost its own network;
  /// it then keeps its suspicions to itself.
  static constexpr std::uint32_t kIsolatedAfter = 3;
  /// With fewer hosts in the data centre, those of others watch over them too.
  static constexpr std::size_t kMinNeighbours = 4;

  struct Member
  {
    Host host;
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0;
    std::uint32_t refutation = 0;
    std::uint32_t load = 0;
    TimePoint deadAt;       ///< when a suspicion runs out
    bool confirmed = false; ///< probed again during the suspicion
  };
  struct Probe
  {
    std::uint32_t sequence = 0;
    std::string host;
    TimePoint sentAt;
    std::uint32_t rounds = 0; ///< times that relays were asked
    bool lease = false;
  };
  struct Relay
  {
    std::uint32_t sequence = 0; ///< of the ping sent on behalf
    std::uint32_t askedSequence = 0;
    std::string asker;
    PeerAddress address;
    TimePoint sentAt;
    std::string target;
  };
  struct Queued
  {
    MemberUpdate update;
    std::uint32_t sent = 0;
  };
  /// Hosts in shuffled order; each round visits every one once.
  struct Rotation
  {
    std::vector<std::string> hosts;
    std::size_t next = 0;
  };

  Gossip makeMessage(GossipKind aKind,
                     std::uint32_t aSequence,
                     const std::string& aTo) const;
  void send(const PeerAddress& aTo, Gossip aMessage, bool aAttach);
  void attach(Gossip& aMessage);
  void attachUnavailable(Gossip& aMessage) const;
  void startProbe(const Member& aMember, bool aLease);
  void askRelays(const Probe& aProbe);
  void finishProbe(const Gossip& aMessage, bool aRelayed);
  void checkProbes();
  void checkSuspects();
  void probeNext();
  void probeForLease();
  void probeSeeds();
  void notePause();
  void onRelayRequest(const PeerAddress& aFrom, const Gossip& aMessage);
  void passToAsker(const Gossip& aMessage);
  void suspect(Member& aMember);
  void startSuspicion(Member& aMember);
  void spreadDoubt(const Member& aMember);
  void apply(const MemberUpdate& aUpdate);
  void resetNames();
  void applyToSelf(const MemberUpdate& aUpdate);
  void enqueue(const MemberUpdate& aUpdate);
  MemberUpdate updateOf(const Member& aMember) const;
  MemberUpdate selfUpdate() const;
  std::uint32_t transmits() const;
  Duration suspicionTime() const;
  const Member* advance(Rotation& aRotation, bool aAliveOnly);
  void log(const char* aEvent, const Member& aMember) const;

  const ClockI& m_clock;
  std::mt19937_64 m_random;
  const MembershipSettings m_settings;
  DatagramSenderI& m_sender;
  GossipLocalI& m_local;
  PeerEvidenceI& m_evidence;
  Broadcaster& m_broadcaster;
  const std::string m_self;
  const std::string m_dataCentre;
  std::uint64_t m_incarnation;

  std::map<std::string, Member> m_members;
  std::set<std::string> m_suspects;
  /// Members and this host by number. Updates about two hosts whose numbers
  /// collide don't spread; probes find their state.
  std::map<std::uint32_t, std::string> m_names;
  std::map<std::uint32_t, Queued> m_updates;
  std::vector<Probe> m_probes;
  std::vector<Relay> m_relays;
  Rotation m_all;
  Rotation m_neighbours;
  std::vector<PeerAddress> m_seeds;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_refutation = 0;
  std::uint32_t m_failedInRow = 0;
  std::uint32_t m_round = 0;
  std::uint32_t m_confirms = 0;
  TimePoint m_confirmsSince;
  bool m_leaving = false;
  bool m_joining = true;
  bool m_eager = false;
  Duration m_leaseEvery{ std::chrono::seconds(1) };
  TimePoint m_lastTick;
  TimePoint m_nextProbe;
  TimePoint m_nextLease;
  TimePoint m_nextSeed;
  TimePoint m_nextSuspectCheck;
  bool m_changed = true;
  MembershipCounters m_counters;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_MEMBERSHIP_P_H
