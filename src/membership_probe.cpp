/// Membership: direct and indirect probes and their results.

#include "membership_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// A longer gap between ticks means that the process was paused. Probes sent
/// before the pause are discarded: their failure would be this node's fault.
constexpr milliseconds kPauseThreshold{ 1000 };
/// Limit of the outstanding pings sent on behalf of other members.
constexpr std::size_t kMaxIndirectPings = 64;
/// One probe in this many goes to a member that isn't considered alive. Gossip
/// doesn't inform every node that a host is alive again, and a node's next
/// regular probe of that host may be minutes away.
constexpr std::uint32_t kProbesPerRecheck = 8;
/// Members that get a change of broadcast state at once. Each of them passes it
/// on likewise, so that it reaches all within a few ticks.
constexpr std::size_t kStateFanOut = 4;

} // namespace

void
Membership::tick()
{
  const TimePoint now = m_clock.now();
  if (now - m_lastTick > kPauseThreshold) {
    handlePause();
  }
  if (m_broadcaster.takeStateChanged()) {
    announce(kStateFanOut, false);
  }
  m_lastTick = now;
  checkProbes();
  checkSuspects();
  if (m_members.empty()) {
    probeSeeds();
    return;
  }
  if (now >= m_nextProbe) {
    probeNext();
    m_nextProbe =
      now + (m_joining || m_fastProbing ? m_settings.joinProbeInterval
                                        : m_settings.probeInterval);
  }
  if (now >= m_nextLeaseProbe) {
    probeForLease();
  }
}

void
Membership::handlePause()
{
  const Duration gap = m_clock.now() - m_lastTick;
  ++m_counters.pauses;
  m_informedSince = m_clock.now();
  m_probes.clear();
  m_indirectPings.clear();
  for (const std::string& host : m_suspects) {
    m_members.at(host).deadAt += gap;
  }
}

const Membership::Member*
Membership::nextMember(Rotation& aRotation, bool aAliveOnly)
{
  for (std::size_t i = 0; i < aRotation.hosts.size(); ++i) {
    if (aRotation.next >= aRotation.hosts.size()) {
      aRotation.next = 0;
      std::shuffle(aRotation.hosts.begin(), aRotation.hosts.end(), m_random);
    }
    const Member& member = m_members.at(aRotation.hosts[aRotation.next++]);
    if (!aAliveOnly || member.state == MemberState::Alive) {
      return &member;
    }
  }
  return nullptr;
}

/// Probes the next member. Dead members stay in the rotation, because only
/// probes of them detect that a partition has healed.
void
Membership::probeNext()
{
  const Member* member = nullptr;
  if (++m_probeCount % kProbesPerRecheck == 0) {
    std::vector<const Member*> unavailable;
    for (const auto& entry : m_members) {
      if (entry.second.state != MemberState::Alive) {
        unavailable.push_back(&entry.second);
      }
    }
    if (!unavailable.empty()) {
      member = unavailable[m_random() % unavailable.size()];
    }
  }
  if (member == nullptr) {
    const bool inDataCentre =
      m_probeCount % m_settings.probesPerRemoteProbe != 0 &&
      m_neighbours.hosts.size() >= kMinNeighbours;
    member = nextMember(inDataCentre ? m_neighbours : m_allHosts, false);
  }
  if (member != nullptr) {
    startProbe(*member, false);
  }
}

void
Membership::probeForLease()
{
  m_nextLeaseProbe = m_clock.now() + m_leaseProbeInterval;
  const Member* member = nextMember(m_neighbours, true);
  if (member == nullptr) {
    member = nextMember(m_neighbours, false);
  }
  if (member != nullptr) {
    startProbe(*member, true);
  }
}

void
Membership::probeSeeds()
{
  if (m_clock.now() < m_nextSeedProbe) {
    return;
  }
  m_nextSeedProbe = m_clock.now() + m_settings.probeInterval / 2;
  for (const PeerAddress& seed : m_seeds) {
    send(seed, makeMessage(GossipKind::Ping, ++m_sequence, {}), false);
  }
}

void
Membership::startProbe(const Member& aMember, bool aForLease)
{
  Probe probe;
  probe.sequence = ++m_sequence;
  probe.host = aMember.host.name;
  probe.sentAt = m_clock.now();
  probe.forLease = aForLease;
  ++m_counters.probes;
  m_probes.push_back(probe);
  send({ aMember.host.address, aMember.host.peerPort },
       makeMessage(GossipKind::Ping, probe.sequence, probe.host),
       true);
}

/// Repeats the ping and asks other members to probe the host, so that neither
/// one lost datagram nor one broken path raises a suspicion.
void
Membership::requestIndirectPings(const Probe& aProbe)
{
  const auto found = m_members.find(aProbe.host);
  if (found == m_members.end() || found->second.state == MemberState::Dead ||
      found->second.state == MemberState::Leaving) {
    return;
  }
  const Host& host = found->second.host;
  send({ host.address, host.peerPort },
       makeMessage(GossipKind::Ping, aProbe.sequence, aProbe.host),
       false);
  if (found->second.state == MemberState::Suspect) {
    return; // other members were asked before it became a suspect
  }
  std::vector<const Member*> probers;
  for (const auto& [name, member] : m_members) {
    if (name != aProbe.host && member.state == MemberState::Alive) {
      probers.push_back(&member);
    }
  }
  for (std::uint32_t i = 0; i < m_settings.indirectProbers && !probers.empty();
       ++i) {
    const std::size_t pick = std::uniform_int_distribution<std::size_t>(
      0, probers.size() - 1)(m_random);
    const Host& prober = probers[pick]->host;
    probers.erase(probers.begin() + static_cast<std::ptrdiff_t>(pick));
    Gossip request =
      makeMessage(GossipKind::PingRequest, aProbe.sequence, prober.name);
    request.target = aProbe.host;
    send({ prober.address, prober.peerPort }, std::move(request), false);
  }
}

void
Membership::checkProbes()
{
  const TimePoint now = m_clock.now();
  bool leaseMissed = false;
  std::vector<std::string> failed;
  for (Probe& probe : m_probes) {
    if (probe.rounds < m_settings.rounds &&
        now - probe.sentAt >= m_settings.directTimeout * (probe.rounds + 1)) {
      leaseMissed = leaseMissed || (probe.forLease && probe.rounds == 0);
      ++probe.rounds;
      requestIndirectPings(probe);
    }
    if (now - probe.sentAt >= m_settings.probeTimeout) {
      failed.push_back(probe.host);
    }
  }
  m_probes.erase(std::remove_if(m_probes.begin(),
                                m_probes.end(),
                                [&](const Probe& aProbe) {
                                  return now - aProbe.sentAt >=
                                         m_settings.probeTimeout;
                                }),
                 m_probes.end());
  m_indirectPings.erase(std::remove_if(m_indirectPings.begin(),
                                       m_indirectPings.end(),
                                       [&](const IndirectPing& aPing) {
                                         return now - aPing.sentAt >=
                                                m_settings.probeTimeout;
                                       }),
                        m_indirectPings.end());
  for (const std::string& host : failed) {
    ++m_counters.probesFailed;
    ++m_consecutiveFailures;
    const auto member = m_members.find(host);
    if (member != m_members.end()) {
      suspect(member->second);
    }
  }
  if (leaseMissed) {
    // The lease may lapse before the next regular lease probe.
    probeForLease();
  }
}

void
Membership::finishProbe(const Gossip& aMessage, bool aRelayed)
{
  const std::string& host = aRelayed ? aMessage.target : aMessage.from;
  const auto probe =
    std::find_if(m_probes.begin(), m_probes.end(), [&](const Probe& aProbe) {
      return aProbe.sequence == aMessage.sequence && aProbe.host == host;
    });
  if (probe == m_probes.end()) {
    if (!aRelayed) {
      forwardAck(aMessage);
    }
    return;
  }
  const TimePoint sentAt = probe->sentAt;
  m_probes.erase(probe);
  if (m_consecutiveFailures >= kIsolatedAfterFailures) {
    // This node was isolated; the probes that it sent meanwhile say nothing
    // about their targets.
    m_probes.clear();
  }
  m_consecutiveFailures = 0;
  m_counters.indirectAcks += aRelayed ? 1 : 0;
  m_probeAckListener.onProbeAcked({ host,
                                    aMessage.incarnation,
                                    aMessage.view,
                                    aMessage.settled,
                                    aMessage.leased },
                                  sentAt);
}

void
Membership::onPingRequest(const PeerAddress& aFrom, const Gossip& aMessage)
{
  const auto target = m_members.find(aMessage.target);
  if (target == m_members.end() ||
      m_indirectPings.size() >= kMaxIndirectPings) {
    return;
  }
  IndirectPing ping;
  ping.sequence = ++m_sequence;
  ping.requestSequence = aMessage.sequence;
  ping.requester = aMessage.from;
  ping.requesterAddress = aFrom;
  ping.sentAt = m_clock.now();
  ping.target = aMessage.target;
  const Host& host = target->second.host;
  send({ host.address, host.peerPort },
       makeMessage(GossipKind::Ping, ping.sequence, ping.target),
       false);
  m_indirectPings.push_back(std::move(ping));
}

void
Membership::forwardAck(const Gossip& aMessage)
{
  const auto found =
    std::find_if(m_indirectPings.begin(),
                 m_indirectPings.end(),
                 [&](const IndirectPing& aPing) {
                   return aPing.sequence == aMessage.sequence &&
                          aPing.target == aMessage.from;
                 });
  if (found == m_indirectPings.end()) {
    return;
  }
  const IndirectPing ping = *found;
  m_indirectPings.erase(found);
  Gossip reply = aMessage;
  reply.kind = GossipKind::RelayedAck;
  reply.sequence = ping.requestSequence;
  reply.from = m_self;
  reply.to = ping.requester;
  reply.target = ping.target;
  reply.updates.clear();
  reply.items.clear();
  send(ping.requesterAddress, std::move(reply), false);
}

void
Membership::probeNow(const std::string& aHost)
{
  const auto found = m_members.find(aHost);
  if (found != m_members.end()) {
    startProbe(found->second, false);
  }
}

void
Membership::onFailureHint(const std::string& aHost)
{
  const auto found = m_members.find(aHost);
  const bool probing =
    std::any_of(m_probes.begin(), m_probes.end(), [&](const Probe& aProbe) {
      return aProbe.host == aHost;
    });
  if (found != m_members.end() && !probing &&
      found->second.state == MemberState::Alive) {
    startProbe(found->second, false);
  }
}

} // namespace toucanridge
