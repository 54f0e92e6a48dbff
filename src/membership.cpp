#include "membership_p.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <xxhash.h>

#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// A tick this late means that the process was paused; verdicts about peers
/// from before the pause would be about this node, not about them.
constexpr milliseconds kPauseLimit{ 1000 };
/// Bytes of updates and items in one datagram. Eight datagrams a second, four
/// sent and four received, of at most about 800 bytes each stay below 9 KB/s.
constexpr std::size_t kMaxAttachedBytes = 600;
/// Share of them for member updates, so that broadcast items always have room.
constexpr std::size_t kMaxUpdateBytes = 400;
/// Suspicions run for seconds; a finer check would only cost time.
constexpr milliseconds kSuspectCheckEvery{ 250 };
/// Pings on behalf of others that may be outstanding.
constexpr std::size_t kMaxRelays = 64;
/// One in so many probes goes to a member that is not believed alive. Gossip
/// leaves a few nodes without the news of a return, and their next regular
/// probe of it may be minutes off.
constexpr std::uint32_t kRecheckEvery = 8;
/// A node whose last probes all failed has most likely lost its own network;
/// it then keeps its suspicions to itself.
constexpr std::uint32_t kIsolatedAfter = 3;
constexpr std::size_t kLeaveFanOut = 8;
/// Suspects that are probed once more in a second. When a partition makes
/// hundreds of suspects at once, the limit keeps the traffic constant.
constexpr std::uint32_t kMaxConfirmsASecond = 4;

} // namespace

std::uint32_t
memberId(const std::string& aHost)
{
  return XXH32(aHost.data(), aHost.size(), 0);
}

Membership::Membership(const ClockI& aClock,
                       std::uint64_t aSeed,
                       MembershipSettings aSettings,
                       DatagramSenderI& aSender,
                       GossipLocalI& aLocal,
                       PeerEvidenceI& aEvidence,
                       Broadcaster& aBroadcaster,
                       std::string aDataCentre)
  : m_clock(aClock)
  , m_random(aSeed)
  , m_settings(aSettings)
  , m_sender(aSender)
  , m_local(aLocal)
  , m_evidence(aEvidence)
  , m_broadcaster(aBroadcaster)
  , m_self(aLocal.state().host)
  , m_dataCentre(std::move(aDataCentre))
  , m_incarnation(aLocal.state().incarnation)
  , m_lastTick(aClock.now())
{
  // Nodes that start together must not probe in step.
  const auto phase = std::uniform_int_distribution<std::int64_t>(
    0, Duration(m_settings.joinProbeEvery).count())(m_random);
  m_nextProbe = m_nextLease = m_nextSeed = m_lastTick + Duration(phase);
  resetNames();
  enqueue(selfUpdate());
}

void
Membership::setHosts(const HostList& aHosts)
{
  std::map<std::string, Member> members;
  m_all = {};
  m_neighbours = {};
  for (const Host& host : aHosts.hosts) {
    if (host.name == m_self) {
      continue;
    }
    Member& member = members[host.name];
    const auto known = m_members.find(host.name);
    if (known != m_members.end()) {
      member = known->second;
    }
    member.host = host;
    m_all.hosts.push_back(host.name);
    if (host.dataCentre == m_dataCentre) {
      m_neighbours.hosts.push_back(host.name);
    }
  }
  m_members = std::move(members);
  std::shuffle(m_all.hosts.begin(), m_all.hosts.end(), m_random);
  std::shuffle(m_neighbours.hosts.begin(), m_neighbours.hosts.end(), m_random);
  const auto forget = [this](auto& aNames) {
    for (auto i = aNames.begin(); i != aNames.end();) {
      i = m_members.count(*i) == 0 ? aNames.erase(i) : std::next(i);
    }
  };
  forget(m_suspects);
  resetNames();
  for (auto i = m_updates.begin(); i != m_updates.end();) {
    i = m_names.count(i->first) == 0 ? m_updates.erase(i) : std::next(i);
  }
  m_changed = true;
}

void
Membership::resetNames()
{
  m_names = { { memberId(m_self), m_self } };
  std::set<std::uint32_t> ambiguous;
  for (const auto& entry : m_members) {
    const std::uint32_t id = memberId(entry.first);
    if (!m_names.emplace(id, entry.first).second) {
      ambiguous.insert(id);
    }
  }
  for (const std::uint32_t id : ambiguous) {
    m_names.erase(id);
  }
}

void
Membership::setLease(milliseconds aLease)
{
  m_leaseEvery = std::min<Duration>(m_settings.probeEvery, aLease / 3);
}

void
Membership::tick()
{
  const TimePoint now = m_clock.now();
  if (now - m_lastTick > kPauseLimit) {
    notePause();
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
      now + (m_joining ? m_settings.joinProbeEvery : m_settings.probeEvery);
  }
  if (now >= m_nextLease) {
    probeForLease();
  }
}

void
Membership::notePause()
{
  const Duration gap = m_clock.now() - m_lastTick;
  ++m_counters.pauses;
  m_probes.clear();
  m_relays.clear();
  for (const std::string& host : m_suspects) {
    m_members.at(host).deadAt += gap;
  }
}

const Membership::Member*
Membership::advance(Rotation& aRotation, bool aAliveOnly)
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

/// Dead members stay in the rotation: nothing else would find out that a
/// partition has healed.
void
Membership::probeNext()
{
  const Member* member = nullptr;
  if (++m_round % kRecheckEvery == 0) {
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
    member = advance(m_all, false);
  }
  if (member != nullptr) {
    startProbe(*member, false);
  }
}

void
Membership::probeForLease()
{
  m_nextLease = m_clock.now() + m_leaseEvery;
  const Member* member = advance(m_neighbours, true);
  if (member == nullptr) {
    member = advance(m_neighbours, false);
  }
  if (member != nullptr) {
    startProbe(*member, true);
  }
}

void
Membership::probeSeeds()
{
  if (m_clock.now() < m_nextSeed) {
    return;
  }
  m_nextSeed = m_clock.now() + m_settings.probeEvery / 2;
  for (const PeerAddress& seed : m_seeds) {
    send(seed, makeMessage(GossipKind::Ping, ++m_sequence, {}), false);
  }
}

void
Membership::startProbe(const Member& aMember, bool aLease)
{
  Probe probe;
  probe.sequence = ++m_sequence;
  probe.host = aMember.host.name;
  probe.sentAt = m_clock.now();
  probe.lease = aLease;
  ++m_counters.probes;
  m_probes.push_back(probe);
  send({ aMember.host.address, aMember.host.peerPort },
       makeMessage(GossipKind::Ping, probe.sequence, probe.host),
       true);
}

/// Repeats the ping and asks other members to probe the host, so that neither
/// one lost datagram nor one broken path makes a suspect.
void
Membership::askRelays(const Probe& aProbe)
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
    return; // relays were asked before it became one
  }
  std::vector<const Member*> relays;
  for (const auto& [name, member] : m_members) {
    if (name != aProbe.host && member.state == MemberState::Alive) {
      relays.push_back(&member);
    }
  }
  for (std::uint32_t i = 0; i < m_settings.indirect && !relays.empty(); ++i) {
    const std::size_t pick = std::uniform_int_distribution<std::size_t>(
      0, relays.size() - 1)(m_random);
    const Host& relay = relays[pick]->host;
    relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(pick));
    Gossip request =
      makeMessage(GossipKind::PingRequest, aProbe.sequence, relay.name);
    request.target = aProbe.host;
    send({ relay.address, relay.peerPort }, std::move(request), false);
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
      leaseMissed = leaseMissed || (probe.lease && probe.rounds == 0);
      ++probe.rounds;
      askRelays(probe);
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
  m_relays.erase(std::remove_if(m_relays.begin(),
                                m_relays.end(),
                                [&](const Relay& aRelay) {
                                  return now - aRelay.sentAt >=
                                         m_settings.probeTimeout;
                                }),
                 m_relays.end());
  for (const std::string& host : failed) {
    ++m_counters.probesFailed;
    ++m_failedInRow;
    const auto member = m_members.find(host);
    if (member != m_members.end()) {
      suspect(member->second);
    }
  }
  if (leaseMissed) {
    // The lease can't wait for the next period.
    probeForLease();
  }
}

void
Membership::checkSuspects()
{
  const TimePoint now = m_clock.now();
  if (now < m_nextSuspectCheck) {
    return;
  }
  m_nextSuspectCheck = now + kSuspectCheckEvery;
  if (now - m_confirmsSince >= std::chrono::seconds(1)) {
    m_confirmsSince = now;
    m_confirms = 0;
  }
  for (auto i = m_suspects.begin(); i != m_suspects.end();) {
    Member& member = m_members.at(*i);
    // A refutation misses a few nodes at random; asking the suspect itself
    // late in its time reaches those.
    if (!member.confirmed && m_confirms < kMaxConfirmsASecond &&
        now >= member.deadAt - suspicionTime() / 2) {
      member.confirmed = true;
      ++m_confirms;
      startProbe(member, false);
    }
    if (now < member.deadAt) {
      ++i;
      continue;
    }
    i = m_suspects.erase(i);
    member.state = MemberState::Dead;
    ++m_counters.deaths;
    m_changed = true;
    log("member-dead", member);
    spreadDoubt(member);
  }
}

void
Membership::suspect(Member& aMember)
{
  if (aMember.state != MemberState::Alive) {
    return;
  }
  aMember.state = MemberState::Suspect;
  startSuspicion(aMember);
  m_changed = true;
  ++m_counters.suspicions;
  log("member-suspect", aMember);
  spreadDoubt(aMember);
}

void
Membership::startSuspicion(Member& aMember)
{
  aMember.deadAt = m_clock.now() + suspicionTime();
  aMember.confirmed = false;
  m_suspects.insert(aMember.host.name);
}

void
Membership::spreadDoubt(const Member& aMember)
{
  if (m_failedInRow < kIsolatedAfter || m_members.size() < kIsolatedAfter) {
    enqueue(updateOf(aMember));
  }
}

Gossip
Membership::makeMessage(GossipKind aKind,
                        std::uint32_t aSequence,
                        const std::string& aTo) const
{
  const PeerState state = m_local.state();
  Gossip message;
  message.kind = aKind;
  message.sequence = aSequence;
  message.from = m_self;
  message.to = aTo;
  message.incarnation = m_incarnation;
  message.refutation = m_refutation;
  message.leaving = m_leaving ? 1 : 0;
  message.load = m_local.load();
  message.view = state.view;
  message.settled = state.settled;
  message.digest = m_local.digest();
  return message;
}

void
Membership::send(const PeerAddress& aTo, Gossip aMessage, bool aAttach)
{
  // A host that is not believed alive is told so, and can refute it at once.
  const auto receiver = m_members.find(aMessage.to);
  if (receiver != m_members.end() &&
      receiver->second.state != MemberState::Alive) {
    aMessage.updates.push_back(updateOf(receiver->second));
  }
  if (aAttach) {
    attach(aMessage);
  }
  std::string bytes = encode(std::move(aMessage));
  if (bytes.size() > kMaxDatagramBytes) {
    logWrite(LogLevel::Error,
             LogLine("datagram-too-large").add("bytes", bytes.size()));
    return;
  }
  ++m_counters.sentDatagrams;
  m_counters.sentBytes += bytes.size();
  m_sender.sendDatagram(aTo, std::move(bytes));
}

/// Adds the updates that were sent least often, then broadcast items.
void
Membership::attach(Gossip& aMessage)
{
  std::vector<Queued*> queue;
  for (auto& entry : m_updates) {
    queue.push_back(&entry.second);
  }
  constexpr std::size_t kMost = kMaxUpdateBytes / MemberUpdate::kWireBytes;
  if (queue.size() > kMost) {
    // Without the shuffle, nodes with the same queue would all send the same
    // part of it first.
    std::shuffle(queue.begin(), queue.end(), m_random);
    std::nth_element(queue.begin(),
                     queue.begin() + kMost,
                     queue.end(),
                     [](const Queued* aOne, const Queued* aOther) {
                       return aOne->sent < aOther->sent;
                     });
    queue.resize(kMost);
  }
  const std::uint32_t limit = transmits();
  for (Queued* queued : queue) {
    const MemberUpdate update = queued->update;
    aMessage.updates.push_back(update);
    if (++queued->sent >= limit) {
      m_updates.erase(update.id);
    }
  }
  const std::size_t used = queue.size() * MemberUpdate::kWireBytes;
  m_broadcaster.take(kMaxAttachedBytes - used, limit, aMessage.items);
}

/// Tells a starting node which members are not alive; the updates about them
/// were spread before it listened.
void
Membership::attachUnavailable(Gossip& aMessage) const
{
  std::size_t used = 0;
  for (const auto& [name, member] : m_members) {
    const MemberUpdate update = updateOf(member);
    if (member.state != MemberState::Alive && name != aMessage.to &&
        used + MemberUpdate::kWireBytes <= kMaxAttachedBytes) {
      used += MemberUpdate::kWireBytes;
      aMessage.updates.push_back(update);
    }
  }
}

void
Membership::onDatagram(const PeerAddress& aFrom, std::string_view aBytes)
{
  ++m_counters.receivedDatagrams;
  m_counters.receivedBytes += aBytes.size();
  const auto message =
    aBytes.size() > kMaxDatagramBytes ? std::nullopt : decode<Gossip>(aBytes);
  if (!message || message->from.empty() || message->kind < GossipKind::Ping ||
      message->kind > GossipKind::RelayedAck) {
    ++m_counters.malformed;
    return;
  }
  // An address may have passed to another host.
  if (message->from == m_self ||
      (!message->to.empty() && message->to != m_self)) {
    ++m_counters.misaddressed;
    return;
  }
  const bool relayed = message->kind == GossipKind::RelayedAck;
  const std::string& subject = relayed ? message->target : message->from;
  apply({ memberId(subject),
          message->incarnation,
          message->refutation,
          message->leaving != 0 ? MemberState::Leaving : MemberState::Alive });
  const auto member = m_members.find(subject);
  if (member != m_members.end()) {
    member->second.load = message->load;
  }
  for (const MemberUpdate& update : message->updates) {
    if (update.state <= MemberState::Leaving) {
      apply(update);
    }
  }
  for (const BroadcastItem& item : message->items) {
    m_broadcaster.onReceived(item);
  }
  if (!relayed) {
    m_local.onDigest(message->from, aFrom, message->digest);
  }
  if (message->kind == GossipKind::Ping) {
    Gossip ack = makeMessage(GossipKind::Ack, message->sequence, message->from);
    const bool starting = message->digest.rules == 0;
    if (starting) {
      attachUnavailable(ack);
    }
    send(aFrom, std::move(ack), !starting);
  } else if (message->kind == GossipKind::PingRequest) {
    onRelayRequest(aFrom, *message);
  } else {
    finishProbe(*message, relayed);
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
      passToAsker(aMessage);
    }
    return;
  }
  const TimePoint sentAt = probe->sentAt;
  m_probes.erase(probe);
  if (m_failedInRow >= kIsolatedAfter) {
    // This node was cut off; what it sent meanwhile says nothing about others.
    m_probes.clear();
  }
  m_failedInRow = 0;
  m_counters.indirectAcks += aRelayed ? 1 : 0;
  m_evidence.onProbeAcked(
    { host, aMessage.incarnation, aMessage.view, aMessage.settled }, sentAt);
}

void
Membership::onRelayRequest(const PeerAddress& aFrom, const Gossip& aMessage)
{
  const auto target = m_members.find(aMessage.target);
  if (target == m_members.end() || m_relays.size() >= kMaxRelays) {
    return;
  }
  Relay relay;
  relay.sequence = ++m_sequence;
  relay.askedSequence = aMessage.sequence;
  relay.asker = aMessage.from;
  relay.address = aFrom;
  relay.sentAt = m_clock.now();
  relay.target = aMessage.target;
  const Host& host = target->second.host;
  send({ host.address, host.peerPort },
       makeMessage(GossipKind::Ping, relay.sequence, relay.target),
       false);
  m_relays.push_back(std::move(relay));
}

void
Membership::passToAsker(const Gossip& aMessage)
{
  const auto found =
    std::find_if(m_relays.begin(), m_relays.end(), [&](const Relay& aRelay) {
      return aRelay.sequence == aMessage.sequence &&
             aRelay.target == aMessage.from;
    });
  if (found == m_relays.end()) {
    return;
  }
  const Relay relay = *found;
  m_relays.erase(found);
  Gossip reply = aMessage;
  reply.kind = GossipKind::RelayedAck;
  reply.sequence = relay.askedSequence;
  reply.from = m_self;
  reply.to = relay.asker;
  reply.target = relay.target;
  reply.updates.clear();
  reply.items.clear();
  send(relay.address, std::move(reply), false);
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

void
Membership::leave()
{
  m_leaving = true;
  m_changed = true;
  enqueue(selfUpdate());
  std::vector<const Member*> targets;
  for (const auto& entry : m_members) {
    if (entry.second.state == MemberState::Alive) {
      targets.push_back(&entry.second);
    }
  }
  std::shuffle(targets.begin(), targets.end(), m_random);
  targets.resize(std::min(targets.size(), kLeaveFanOut));
  for (const Member* member : targets) {
    startProbe(*member, false);
  }
}

void
Membership::apply(const MemberUpdate& aUpdate)
{
  const auto name = m_names.find(aUpdate.id);
  if (name == m_names.end()) {
    return;
  }
  if (name->second == m_self) {
    applyToSelf(aUpdate);
    return;
  }
  const auto found = m_members.find(name->second);
  if (found == m_members.end()) {
    return;
  }
  Member& member = found->second;
  const auto rank = [](const auto& aEntry) {
    return std::make_tuple(aEntry.incarnation, aEntry.refutation, aEntry.state);
  };
  if (rank(aUpdate) <= rank(member)) {
    return;
  }
  const MemberState before = member.state;
  // The first incarnation heard of a host is no news to others.
  const bool isNews = member.incarnation != 0 ||
                      member.state != MemberState::Alive ||
                      aUpdate.state != MemberState::Alive;
  member.incarnation = aUpdate.incarnation;
  member.refutation = aUpdate.refutation;
  member.state = aUpdate.state;
  m_suspects.erase(name->second);
  if (member.state == MemberState::Suspect) {
    startSuspicion(member);
  }
  if (isNews) {
    enqueue(aUpdate);
  }
  if (before != member.state) {
    m_changed = true;
    log("member-state", member);
  }
}

void
Membership::applyToSelf(const MemberUpdate& aUpdate)
{
  const bool current =
    aUpdate.incarnation == m_incarnation && aUpdate.refutation >= m_refutation;
  if (aUpdate.incarnation > m_incarnation) {
    // The machine's clock went back between two starts: peers hold the state
    // of the earlier process for newer than this one's.
    logWrite(LogLevel::Error,
             LogLine("incarnation-behind")
               .add("own", m_incarnation)
               .add("heard", aUpdate.incarnation));
    return;
  }
  if (aUpdate.state == MemberState::Alive ||
      aUpdate.state == MemberState::Leaving) {
    return;
  }
  if (current) {
    m_refutation = aUpdate.refutation + 1;
    ++m_counters.refutations;
  } else if (aUpdate.incarnation == m_incarnation) {
    return; // refuted already
  }
  enqueue(selfUpdate());
}

void
Membership::enqueue(const MemberUpdate& aUpdate)
{
  m_updates[aUpdate.id] = { aUpdate, 0 };
}

MemberUpdate
Membership::updateOf(const Member& aMember) const
{
  return { memberId(aMember.host.name),
           aMember.incarnation,
           aMember.refutation,
           aMember.state };
}

MemberUpdate
Membership::selfUpdate() const
{
  return { memberId(m_self),
           m_incarnation,
           m_refutation,
           m_leaving ? MemberState::Leaving : MemberState::Alive };
}

/// An update must be sent a multiple of log(n) times to reach all n members
/// with high probability; the factor covers loss.
std::uint32_t
Membership::transmits() const
{
  constexpr double kFactor = 4.0;
  return static_cast<std::uint32_t>(std::ceil(
    kFactor * std::log10(static_cast<double>(m_members.size()) + 2.0)));
}

/// Long enough for the suspicion to reach the suspect and its refutation to
/// come back.
Duration
Membership::suspicionTime() const
{
  constexpr double kFactor = 4.0;
  const double periods =
    kFactor *
    std::max(1.0, std::log10(static_cast<double>(m_members.size()) + 1.0));
  return std::chrono::duration_cast<Duration>(m_settings.probeEvery * periods);
}

milliseconds
Membership::spreadTime() const
{
  const double rounds =
    std::max(1.0, std::log2(static_cast<double>(m_members.size()) + 1.0) / 2.0);
  return std::chrono::duration_cast<milliseconds>(m_settings.probeEvery *
                                                  rounds);
}

bool
Membership::isAlive(const std::string& aHost) const
{
  if (aHost == m_self) {
    return !m_leaving;
  }
  return stateOf(aHost) == MemberState::Alive;
}

MemberState
Membership::stateOf(const std::string& aHost) const
{
  const auto found = m_members.find(aHost);
  return found == m_members.end() ? MemberState::Dead : found->second.state;
}

std::shared_ptr<const MemberSnapshot>
Membership::makeSnapshot() const
{
  auto snapshot = std::make_shared<MemberSnapshot>();
  for (const auto& [name, member] : m_members) {
    snapshot->loads[name] = member.load;
    if (member.state != MemberState::Alive) {
      snapshot->unavailable.insert(name);
    }
  }
  return snapshot;
}

bool
Membership::takeChanged()
{
  const bool changed = m_changed;
  m_changed = false;
  return changed;
}

void
Membership::log(const char* aEvent, const Member& aMember) const
{
  if (!logEnabled(LogLevel::Info)) {
    return;
  }
  constexpr const char* kNames[] = { "alive", "suspect", "dead", "leaving" };
  logWrite(LogLevel::Info,
           LogLine(aEvent)
             .add("peer", aMember.host.name)
             .add("state", kNames[static_cast<std::size_t>(aMember.state)])
             .add("incarnation", aMember.incarnation)
             .add("refutation", aMember.refutation));
}

} // namespace toucanridge
