#include "membership_p.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <xxhash.h>

#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// Suspicions last for seconds; more frequent checks would only cost CPU time.
constexpr milliseconds kSuspectCheckInterval{ 250 };
/// Members that leave() probes at once.
constexpr std::size_t kLeaveFanOut = 8;
/// Limit of the extra probes of suspects in a second. A partition can make
/// hundreds of members suspects at once; the limit keeps the traffic constant.
constexpr std::uint32_t kMaxConfirmProbesPerSecond = 4;
/// A member that has run for this long has found most others and exchanged
/// messages with several of them.
constexpr std::chrono::seconds kInformedAfter{ 5 };

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
                       LocalNodeI& aLocal,
                       ProbeAckListenerI& aProbeAckListener,
                       Broadcaster& aBroadcaster,
                       std::string aDataCentre)
  : m_clock(aClock)
  , m_random(aSeed)
  , m_settings(aSettings)
  , m_sender(aSender)
  , m_local(aLocal)
  , m_probeAckListener(aProbeAckListener)
  , m_broadcaster(aBroadcaster)
  , m_self(aLocal.state().host)
  , m_dataCentre(std::move(aDataCentre))
  , m_incarnation(aLocal.state().incarnation)
  , m_lastTick(aClock.now())
  , m_informedSince(aClock.now())
{
  // A random phase, so that nodes that start together don't probe at the same
  // time.
  const auto phase = std::uniform_int_distribution<std::int64_t>(
    0, Duration(m_settings.joinProbeInterval).count())(m_random);
  m_nextProbe = m_nextLeaseProbe = m_nextSeedProbe =
    m_lastTick + Duration(phase);
  rebuildNames();
  enqueue(selfUpdate());
}

void
Membership::setHosts(const HostList& aHosts)
{
  std::map<std::string, Member> members;
  m_allHosts = {};
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
    m_allHosts.hosts.push_back(host.name);
    if (host.dataCentre == m_dataCentre) {
      m_neighbours.hosts.push_back(host.name);
    }
  }
  m_members = std::move(members);
  std::shuffle(m_allHosts.hosts.begin(), m_allHosts.hosts.end(), m_random);
  std::shuffle(m_neighbours.hosts.begin(), m_neighbours.hosts.end(), m_random);
  const auto eraseUnlisted = [this](auto& aNames) {
    for (auto i = aNames.begin(); i != aNames.end();) {
      i = m_members.count(*i) == 0 ? aNames.erase(i) : std::next(i);
    }
  };
  eraseUnlisted(m_suspects);
  rebuildNames();
  for (auto i = m_queuedUpdates.begin(); i != m_queuedUpdates.end();) {
    i = m_namesById.count(i->first) == 0 ? m_queuedUpdates.erase(i)
                                         : std::next(i);
  }
  m_changed = true;
}

void
Membership::rebuildNames()
{
  m_namesById = { { memberId(m_self), m_self } };
  std::set<std::uint32_t> ambiguous;
  for (const auto& entry : m_members) {
    const std::uint32_t id = memberId(entry.first);
    if (!m_namesById.emplace(id, entry.first).second) {
      ambiguous.insert(id);
    }
  }
  for (const std::uint32_t id : ambiguous) {
    m_namesById.erase(id);
  }
}

void
Membership::setLease(milliseconds aLease)
{
  m_leaseProbeInterval =
    std::min<Duration>(m_settings.probeInterval, aLease / 3);
}

void
Membership::checkSuspects()
{
  const TimePoint now = m_clock.now();
  if (now < m_nextSuspectCheck) {
    return;
  }
  m_nextSuspectCheck = now + kSuspectCheckInterval;
  if (now - m_confirmWindowStart >= std::chrono::seconds(1)) {
    m_confirmWindowStart = now;
    m_confirmProbes = 0;
  }
  for (auto i = m_suspects.begin(); i != m_suspects.end();) {
    Member& member = m_members.at(*i);
    // Gossip doesn't deliver a refutation to every node. A node that didn't
    // receive it obtains it by probing the suspect in the second half of the
    // suspicion.
    if (!member.confirmProbeSent &&
        m_confirmProbes < kMaxConfirmProbesPerSecond &&
        now >= member.deadAt - suspicionTime() / 2) {
      member.confirmProbeSent = true;
      ++m_confirmProbes;
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
    enqueueUnlessIsolated(member);
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
  enqueueUnlessIsolated(aMember);
}

void
Membership::startSuspicion(Member& aMember)
{
  aMember.deadAt = m_clock.now() + suspicionTime();
  aMember.confirmProbeSent = false;
  m_suspects.insert(aMember.host.name);
}

void
Membership::enqueueUnlessIsolated(const Member& aMember)
{
  if (m_consecutiveFailures < kIsolatedAfterFailures ||
      m_members.size() < kIsolatedAfterFailures) {
    enqueue(updateOf(aMember));
  }
}

void
Membership::leave()
{
  m_leaving = true;
  m_changed = true;
  enqueue(selfUpdate());
  announce(kLeaveFanOut, false);
}

void
Membership::announce(std::size_t aMembers, bool aSameDataCentre)
{
  std::vector<const Member*> targets;
  for (const auto& entry : m_members) {
    if (entry.second.state == MemberState::Alive &&
        (!aSameDataCentre || entry.second.host.dataCentre == m_dataCentre)) {
      targets.push_back(&entry.second);
    }
  }
  std::shuffle(targets.begin(), targets.end(), m_random);
  targets.resize(std::min(targets.size(), aMembers));
  for (const Member* member : targets) {
    startProbe(*member, false);
  }
}

void
Membership::apply(const MemberUpdate& aUpdate)
{
  const auto name = m_namesById.find(aUpdate.id);
  if (name == m_namesById.end()) {
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
  const MemberState previousState = member.state;
  // The first incarnation received from a live host needs no update: others
  // know it already.
  const bool shouldSpread = member.incarnation != 0 ||
                            member.state != MemberState::Alive ||
                            aUpdate.state != MemberState::Alive;
  member.incarnation = aUpdate.incarnation;
  member.refutation = aUpdate.refutation;
  member.state = aUpdate.state;
  m_suspects.erase(name->second);
  if (member.state == MemberState::Suspect) {
    startSuspicion(member);
  }
  if (shouldSpread) {
    enqueue(aUpdate);
  }
  if (previousState != member.state) {
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
    // The system clock went back between two starts, so peers consider the
    // state of the earlier process newer than this one's.
    logWrite(LogLevel::Warn,
             LogLine("incarnation-behind")
               .add("own", m_incarnation)
               .add("received", aUpdate.incarnation));
    m_incarnation = aUpdate.incarnation + 1;
    enqueue(selfUpdate());
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
    return; // already refuted
  }
  enqueue(selfUpdate());
}

void
Membership::enqueue(const MemberUpdate& aUpdate)
{
  m_queuedUpdates[aUpdate.id] = { aUpdate, 0 };
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

/// @returns how often an update is sent. An update that is sent a multiple of
/// log(n) times reaches all n members with high probability; the factor covers
/// packet loss.
std::uint32_t
Membership::transmitLimit() const
{
  constexpr double kFactor = 4.0;
  return static_cast<std::uint32_t>(std::ceil(
    kFactor * std::log10(static_cast<double>(m_members.size()) + 2.0)));
}

/// @returns how long a suspicion lasts: long enough for it to reach the suspect
/// and for the refutation to spread back
Duration
Membership::suspicionTime() const
{
  constexpr double kFactor = 4.0;
  const double periods =
    kFactor *
    std::max(1.0, std::log10(static_cast<double>(m_members.size()) + 1.0));
  return std::chrono::duration_cast<Duration>(m_settings.probeInterval *
                                              periods);
}

milliseconds
Membership::spreadTime() const
{
  const double rounds =
    std::max(1.0, std::log2(static_cast<double>(m_members.size()) + 1.0) / 2.0);
  return std::chrono::duration_cast<milliseconds>(m_settings.probeInterval *
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

std::vector<std::string>
Membership::aliveHosts() const
{
  std::vector<std::string> hosts{ m_self };
  for (const auto& [name, member] : m_members) {
    if (member.state == MemberState::Alive) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

bool
Membership::isInformed() const
{
  return m_clock.now() - m_informedSince >= Duration(kInformedAfter);
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
  logWrite(LogLevel::Info,
           LogLine(aEvent)
             .add("peer", aMember.host.name)
             .add("state", toString(aMember.state))
             .add("incarnation", aMember.incarnation)
             .add("refutation", aMember.refutation));
}

} // namespace toucanridge
