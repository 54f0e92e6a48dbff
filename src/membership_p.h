#ifndef TOUCANRIDGE_MEMBERSHIP_P_H
#define TOUCANRIDGE_MEMBERSHIP_P_H

/// Failure detection among the listed hosts, in the manner of SWIM: random
/// probes, indirect probes, suspicions that the suspect can refute, and updates
/// that are piggybacked on probes.

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

/// Provides this node's state for each datagram and receives the digests of its
/// peers.
class LocalNodeI
{
public:
  virtual ~LocalNodeI() = default;
  virtual PeerState state() const = 0;
  virtual ConfigDigest digest() const = 0;
  virtual std::uint32_t load() const = 0;
  /// @param[in] aAddress where the peer accepts connections, port 0 when that
  ///            is unknown
  virtual void onDigest(const std::string& aHost,
                        const PeerAddress& aAddress,
                        const ConfigDigest& aDigest) = 0;
};

struct MembershipSettings
{
  std::chrono::milliseconds probeInterval{ 1000 };
  /// Time without an acknowledgement after which a ping is repeated and other
  /// members are asked to probe, and the time between such rounds. Longer than
  /// a round trip between regions to a loaded receiver.
  std::chrono::milliseconds directTimeout{ 200 };
  std::chrono::milliseconds probeTimeout{ 1000 };
  std::uint32_t indirectProbers = 3; ///< members asked to probe for this node
  /// Number of times that a ping is repeated and other members are asked to
  /// probe. At 20% packet loss, 2% of the probes fail with one round and 0.2%
  /// with two; with 560 nodes, even 0.2% raised more suspicions than could be
  /// refuted in time.
  std::uint32_t rounds = 3;
  /// One probe in this many goes to a host in any data centre. The others stay
  /// in this node's data centre if it has at least kMinNeighbours other hosts,
  /// because traffic between data centres costs more.
  std::uint32_t probesPerRemoteProbe = 1;
  /// Probe interval of a starting node, which waits for its peers' revisions.
  std::chrono::milliseconds joinProbeInterval{ 100 };
};

struct MembershipCounters
{
  std::uint64_t sentDatagrams = 0;
  std::uint64_t sentBytes = 0; ///< payload, without IP and UDP headers
  std::uint64_t receivedDatagrams = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t malformed = 0;
  /// Addressed to another host, or with this host as the sender.
  std::uint64_t misaddressed = 0;
  std::uint64_t probes = 0;
  std::uint64_t probesFailed = 0;
  std::uint64_t indirectAcks = 0;
  std::uint64_t suspicions = 0; ///< raised by this node
  std::uint64_t deaths = 0;     ///< suspicions that expired at this node
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
};

/// Copy of the members' states and loads for other threads.
struct MemberSnapshot
{
  std::set<std::string> unavailable; ///< suspected, dead or leaving
  std::map<std::string, std::uint32_t> loads;
};

/// Tracks which of the listed hosts are alive. All calls are made on the
/// control thread.
class Membership
{
public:
  Membership(const ClockI& aClock,
             std::uint64_t aSeed,
             MembershipSettings aSettings,
             DatagramSenderI& aSender,
             LocalNodeI& aLocal,
             ProbeAckListenerI& aProbeAckListener,
             Broadcaster& aBroadcaster,
             std::string aDataCentre);

  /// Applies a host list; members that aren't on it are removed.
  void setHosts(const HostList& aHosts);
  /// Sets the addresses to ping while no host is known.
  void setSeeds(std::vector<PeerAddress> aSeeds)
  {
    m_seeds = std::move(aSeeds);
  }
  /// Sets the lease duration. The interval between probes of hosts in this
  /// node's data centre is at most a third of it; these hosts are probed in
  /// turn.
  void setLease(std::chrono::milliseconds aLease);
  /// Sets whether the node is starting; it then probes at joinProbeInterval.
  void setJoining(bool aJoining) { m_joining = aJoining; }
  /// Sets whether the node waits for acknowledged probes of hosts in other data
  /// centres; it then also probes at the shorter interval of a starting node.
  void setFastProbing(bool aFastProbing) { m_fastProbing = aFastProbing; }

  /// Sends the probes that are due and expires probes and suspicions; call it
  /// every 50 ms or more often.
  void tick();
  void onDatagram(const PeerAddress& aFrom, std::string_view aBytes);
  /// Probes a host at once because traffic failed to reach it.
  void onFailureHint(const std::string& aHost);
  /// Probes a member at once, to pass on this node's digest.
  void probeNow(const std::string& aHost);
  /// Announces that this host is leaving.
  void leave();
  /// Probes random live members at once, to spread recent changes.
  /// @param[in] aMembers number of members to probe
  /// @param[in] aSameDataCentre only members in this node's data centre
  void announce(std::size_t aMembers, bool aSameDataCentre);

  bool isAlive(const std::string& aHost) const;
  /// @returns the state of a listed host; Dead for any other
  MemberState stateOf(const std::string& aHost) const;
  /// @returns names of the hosts believed alive, this one included
  std::vector<std::string> aliveHosts() const;
  /// @returns true when this node has run without a pause for so long that
  ///          recent messages have reached it
  bool isInformed() const;
  std::shared_ptr<const MemberSnapshot> makeSnapshot() const;
  /// @returns true when a state changed since the last call
  bool takeChanged();
  /// @returns the time in which an announcement reaches nearly all members
  std::chrono::milliseconds spreadTime() const;
  std::size_t size() const { return m_members.size(); }
  const MembershipCounters& counters() const { return m_counters; }

private:
  /// After this many failed probes in a row, the node has most likely lost its
  /// own network connection; it then doesn't spread its suspicions.
  static constexpr std::uint32_t kIsolatedAfterFailures = 3;
  /// With fewer other hosts in the data centre, probes go to all data centres,
  /// so that small data centres are monitored by hosts of others, too.
  static constexpr std::size_t kMinNeighbours = 4;

  struct Member
  {
    Host host;
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0;
    std::uint32_t refutation = 0;
    std::uint32_t load = 0;
    TimePoint deadAt;              ///< when the suspicion expires
    bool confirmProbeSent = false; ///< probed again during the suspicion
  };
  struct Probe
  {
    std::uint32_t sequence = 0;
    std::string host;
    TimePoint sentAt;
    std::uint32_t rounds = 0; ///< so far; see MembershipSettings::rounds
    bool forLease = false;
  };
  /// A ping sent on behalf of another member.
  struct IndirectPing
  {
    std::uint32_t sequence = 0; ///< of the ping to the target
    std::uint32_t requestSequence = 0;
    std::string requester;
    PeerAddress requesterAddress;
    TimePoint sentAt;
    std::string target;
  };
  struct Queued
  {
    MemberUpdate update;
    std::uint32_t sendCount = 0;
  };
  /// Hosts in shuffled order; each pass visits every host once.
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
  PeerAddress listeningAddress(const Gossip& aMessage,
                               const PeerAddress& aFrom) const;
  void attachUnavailable(Gossip& aMessage) const;
  void startProbe(const Member& aMember, bool aForLease);
  void requestIndirectPings(const Probe& aProbe);
  void finishProbe(const Gossip& aMessage, bool aRelayed);
  void checkProbes();
  void checkSuspects();
  void probeNext();
  void probeForLease();
  void probeSeeds();
  void handlePause();
  void onPingRequest(const PeerAddress& aFrom, const Gossip& aMessage);
  void forwardAck(const Gossip& aMessage);
  void suspect(Member& aMember);
  void startSuspicion(Member& aMember);
  void enqueueUnlessIsolated(const Member& aMember);
  void apply(const MemberUpdate& aUpdate);
  void rebuildNames();
  void applyToSelf(const MemberUpdate& aUpdate);
  void enqueue(const MemberUpdate& aUpdate);
  MemberUpdate updateOf(const Member& aMember) const;
  MemberUpdate selfUpdate() const;
  std::uint32_t transmitLimit() const;
  Duration suspicionTime() const;
  const Member* nextMember(Rotation& aRotation, bool aAliveOnly);
  void log(const char* aEvent, const Member& aMember) const;

  const ClockI& m_clock;
  std::mt19937_64 m_random;
  const MembershipSettings m_settings;
  DatagramSenderI& m_sender;
  LocalNodeI& m_local;
  ProbeAckListenerI& m_probeAckListener;
  Broadcaster& m_broadcaster;
  const std::string m_self;
  const std::string m_dataCentre;
  std::uint64_t m_incarnation;

  std::map<std::string, Member> m_members;
  std::set<std::string> m_suspects;
  /// Names of members and of this host by memberId. Identifiers that collide
  /// are left out: updates about those hosts are ignored, and only direct
  /// messages show their state.
  std::map<std::uint32_t, std::string> m_namesById;
  std::map<std::uint32_t, Queued> m_queuedUpdates;
  std::vector<Probe> m_probes;
  std::vector<IndirectPing> m_indirectPings;
  Rotation m_allHosts;
  Rotation m_neighbours; ///< the other hosts in this node's data centre
  std::vector<PeerAddress> m_seeds;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_refutation = 0;
  std::uint32_t m_consecutiveFailures = 0;
  std::uint32_t m_probeCount = 0;
  std::uint32_t m_confirmProbes = 0;
  TimePoint m_confirmWindowStart;
  bool m_leaving = false;
  bool m_joining = true;
  bool m_fastProbing = false;
  Duration m_leaseProbeInterval{ std::chrono::seconds(1) };
  TimePoint m_lastTick;
  TimePoint m_informedSince; ///< its start or the end of its last pause
  TimePoint m_nextProbe;
  TimePoint m_nextLeaseProbe;
  TimePoint m_nextSeedProbe;
  TimePoint m_nextSuspectCheck;
  bool m_changed = true;
  MembershipCounters m_counters;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_MEMBERSHIP_P_H
