#include "warmth_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// Shortest time between two reports or questions about one server.
constexpr milliseconds kMessageEvery{ 100 };
/// A reply slower than this many times the learnt median counts as bad. A cold
/// server takes about three times as long as a warm one.
constexpr double kSlowFactor = 2.5;
/// Surplus of bad over good replies that makes a server cold. One in 20
/// replies of a warm server is over the limit above, so five in surplus come
/// by chance about once in a million replies.
constexpr std::uint32_t kMaxBad = 5;
/// What a bad reply takes from a run of good ones.
constexpr std::uint32_t kRunSetback = 4;
/// Replies after which slow but steady replies count as the server's normal:
/// an index that grew must not keep its server cold for ever.
constexpr std::uint32_t kSteadyReplies = 512;
constexpr double kMedian = 0.5;

std::uint64_t
bitOf(std::size_t aSlot)
{
  return std::uint64_t(1) << aSlot;
}

} // namespace

Warmth::Server::Server(const ClockI& aClock)
  : median(aClock, kMedian)
{
}

Warmth::Warmth(const ClockI& aClock,
               const ViewHolder& aViews,
               const RightsI& aRights,
               std::string aSelf)
  : m_clock(aClock)
  , m_views(aViews)
  , m_rights(aRights)
  , m_self(std::move(aSelf))
{
}

/// Takes over a new view: keeps what is known of servers with a slot here.
void
Warmth::refresh() const
{
  const ViewPtr view = m_views.get();
  if (!view || view == m_view) {
    return;
  }
  m_view = view;
  std::map<std::string, Server> before;
  before.swap(m_servers);
  const RuleSet& rules = *view->rules;
  std::map<std::string, Duration> longest;
  for (const auto& [name, rule] : rules.classes) {
    const auto snapshot = rules.snapshots.find(rule.application);
    if (snapshot != rules.snapshots.end()) {
      for (const std::string& service : snapshot->second.services) {
        longest[service] = std::max<Duration>(longest[service], rule.deadline);
      }
    }
  }
  for (std::size_t i = 0; i < rules.services.size(); ++i) {
    const ServiceRule& service = rules.services[i];
    std::vector<std::vector<std::string>> holders(
      service.servers.size(), std::vector<std::string>(service.slots));
    for (const SlotPlace& place : view->placement[i].slots) {
      if (place.host != SlotPlace::kNoHost) {
        holders[place.server][place.slot] = view->hosts.hosts[place.host].name;
      }
    }
    for (std::size_t s = 0; s < holders.size(); ++s) {
      const std::string& name = service.servers[s].name;
      const auto known = before.find(name);
      const bool here =
        std::count(holders[s].begin(), holders[s].end(), m_self);
      if (!here && (known == before.end() || known->second.inFlight == 0)) {
        continue;
      }
      Server server =
        known == before.end() ? Server(m_clock) : std::move(known->second);
      if (!server.holders.empty() && server.holders[0] != holders[s][0]) {
        server.leaseMask = 0;
        server.round = 0;
      }
      if (server.owner && server.holders != holders[s]) {
        // Other holders may have leases, so the new set is asked again.
        server.owner = false;
      }
      server.holders = std::move(holders[s]);
      server.coldSlots = service.coldSlots;
      server.longestRequest = longest[service.name];
      server.allowance = std::min(server.allowance, service.slots);
      m_servers.emplace(name, std::move(server));
    }
  }
}

Warmth::Server*
Warmth::find(const std::string& aServer) const
{
  refresh();
  const auto found = m_servers.find(aServer);
  return found == m_servers.end() ? nullptr : &found->second;
}

bool
Warmth::isSeenWarm(const Server& aServer) const
{
  return aServer.seenWarm &&
         m_clock.now() - aServer.lastGood <= Duration(kEvidenceAge);
}

bool
Warmth::mayUseOwnSlots(const std::string& aName, const Server& aServer) const
{
  for (std::uint32_t slot = 0; slot < aServer.holders.size(); ++slot) {
    if (aServer.holders[slot] == m_self && !m_rights.mayUse({ aName, slot })) {
      return false;
    }
  }
  return true;
}

/// Follows the right to slot 0, which passes from owner to owner.
void
Warmth::checkOwner(const std::string& aName, Server& aServer) const
{
  const bool owner =
    aServer.holders[0] == m_self && m_rights.mayUse({ aName, 0 });
  if (owner == aServer.owner) {
    return;
  }
  aServer.owner = owner;
  if (!owner) {
    return;
  }
  aServer.leaseMask = 0;
  if (isSeenWarm(aServer)) {
    aServer.settling = false;
    aServer.allowance = static_cast<std::uint32_t>(aServer.holders.size());
    aServer.evidence = aServer.lastGood;
    aServer.ownRound = 0;
    return;
  }
  beginSettling(aServer, false);
}

/// Waits until nobody else can be using the server: until each other holder
/// says so, or until every lease and request of theirs has ended by itself.
void
Warmth::beginSettling(Server& aServer, bool aRevoking) const
{
  const TimePoint now = m_clock.now();
  aServer.settling = true;
  aServer.revoking = aRevoking;
  aServer.ownRound = static_cast<std::uint64_t>(now.time_since_epoch().count());
  aServer.settleUntil =
    now + std::max<Duration>(kLease, kEvidenceAge) + aServer.longestRequest;
  aServer.nextQuestion = now;
  aServer.allowance = firstAllowance(aServer);
  aServer.run = 0;
  aServer.runReplies = 0;
  aServer.unsettled.clear();
  for (const std::string& holder : aServer.holders) {
    if (holder != m_self) {
      // A slot without a holder has nobody to answer: only time settles it.
      aServer.unsettled.insert(holder);
    }
  }
}

void
Warmth::settle(const std::string& aName, Server& aServer) const
{
  const bool answered = aServer.unsettled.empty() && aServer.inFlight == 0 &&
                        mayUseOwnSlots(aName, aServer);
  if (aServer.settling && (answered || m_clock.now() >= aServer.settleUntil)) {
    aServer.settling = false;
  }
}

std::uint32_t
Warmth::firstAllowance(const Server& aServer) const
{
  const auto own = static_cast<std::uint32_t>(
    std::count(aServer.holders.begin(), aServer.holders.end(), m_self));
  return std::min(aServer.coldSlots, own);
}

/// @returns the slots, of all nodes, that the owner lets be used now
std::uint64_t
Warmth::allowedSlots(const Server& aServer) const
{
  if (!aServer.owner || aServer.settling) {
    return 0;
  }
  // Without a recent good reply the server may have restarted unseen. One
  // good reply through a cold server's slots brings the allowance back.
  const bool fresh = m_clock.now() - aServer.evidence <= Duration(kEvidenceAge);
  std::uint32_t left = fresh ? aServer.allowance : firstAllowance(aServer);
  std::uint64_t mask = 0;
  for (const bool own : { true, false }) {
    for (std::size_t slot = 0; slot < aServer.holders.size(); ++slot) {
      if (left > 0 && (aServer.holders[slot] == m_self) == own) {
        mask |= bitOf(slot);
        --left;
      }
    }
  }
  return mask;
}

bool
Warmth::mayUse(const SlotKey& aKey, std::uint32_t) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Server* const server = find(aKey.server);
  if (server == nullptr || aKey.slot >= server->holders.size()) {
    return false;
  }
  checkOwner(aKey.server, *server);
  if (isSeenWarm(*server)) {
    return true;
  }
  const bool leased = m_clock.now() < server->leaseUntil &&
                      (server->leaseMask & bitOf(aKey.slot)) != 0;
  if (leased || (allowedSlots(*server) & bitOf(aKey.slot)) != 0) {
    return true;
  }
  server->wanted = true;
  return false;
}

/// Only a server seen warm bears a request that it hasn't noticed to be
/// cancelled beside the next one: no reply says when a cancel took effect.
bool
Warmth::mayCancel(const std::string& aServer) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Server* const server = find(aServer);
  return server != nullptr && isSeenWarm(*server);
}

void
Warmth::onSent(const SlotKey& aKey)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (Server* const server = find(aKey.server)) {
    ++server->inFlight;
  }
}

/// Takes signs of cold: nothing that was known of the server's warmth holds.
void
Warmth::turnCold(Server& aServer, std::uint64_t aIncarnation) const
{
  aServer.seenWarm = false;
  aServer.leaseMask = 0;
  aServer.barrier = aServer.sequence;
  aServer.bad = 0;
  aServer.good = 0;
  aServer.incarnation = aIncarnation;
  aServer.evidence = TimePoint();
  if (!aServer.owner) {
    aServer.cold = true;
  } else if (!aServer.settling) {
    beginSettling(aServer, true);
  }
}

void
Warmth::raise(Server& aServer, std::uint32_t aGood) const
{
  aServer.run += aGood;
  aServer.runReplies += aGood;
  if (aServer.allowance >= aServer.holders.size()) {
    return;
  }
  const bool steady = aServer.runReplies >= kSteadyReplies;
  if (steady) {
    aServer.median = LatencyTracker(m_clock, kMedian);
  }
  if (aServer.run >= kRun || steady) {
    ++aServer.allowance;
    aServer.run = 0;
    aServer.runReplies = 0;
  }
}

/// Takes a Done reply that was not slow.
void
Warmth::takeGood(Server& aServer, const BackendReply& aReply) const
{
  const TimePoint now = m_clock.now();
  aServer.incarnation = aReply.incarnation;
  aServer.bad -= aServer.bad > 0 ? 1 : 0;
  ++aServer.good;
  aServer.lastGood = now;
  const bool leaseWarm = aServer.leaseWarm && now < aServer.leaseUntil &&
                         aServer.leaseMask != 0 &&
                         aServer.leaseIncarnation == aReply.incarnation;
  if (aServer.owner && !aServer.settling) {
    aServer.evidence = now;
    raise(aServer, 1);
  }
  const bool full = aServer.owner && !aServer.settling &&
                    aServer.allowance >= aServer.holders.size();
  if (full || leaseWarm) {
    aServer.seenWarm = true;
  }
  if (aServer.seenWarm) {
    aServer.median.add(aReply.latency);
  }
}

void
Warmth::onReply(const SlotKey& aKey, const BackendReply& aReply)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Server* const server = find(aKey.server);
  if (server == nullptr) {
    return;
  }
  server->inFlight -= server->inFlight > 0 ? 1 : 0;
  if (aReply.cancelled) {
    return;
  }
  if (aReply.incarnation != 0 && server->incarnation != 0 &&
      aReply.incarnation != server->incarnation) {
    turnCold(*server, aReply.incarnation);
    return;
  }
  const bool unconnected =
    aReply.status == SubStatus::NotRun && aReply.error == Errc::Unreachable;
  if (aReply.status == SubStatus::Lost || unconnected) {
    turnCold(*server, 0);
    return;
  }
  if (aReply.status == SubStatus::NoSnapshot || aReply.draining) {
    return;
  }
  const auto median = server->median.value();
  const bool slow =
    median && static_cast<double>(aReply.latency.count()) >
                kSlowFactor * static_cast<double>(median->count());
  if (aReply.status == SubStatus::Done && !slow) {
    takeGood(*server, aReply);
    return;
  }
  server->run -= std::min(server->run, kRunSetback);
  server->runReplies += aReply.status == SubStatus::Done ? 1 : 0;
  if (server->owner && !server->settling) {
    raise(*server, 0);
  }
  // An owner at its first allowance has nothing to take back.
  const bool lowest =
    server->owner && !server->seenWarm &&
    (server->settling || server->allowance <= firstAllowance(*server));
  if (++server->bad >= kMaxBad && !lowest) {
    turnCold(*server, 0);
  }
}

void
Warmth::onReport(const std::string& aHost, const WarmthReport& aReport)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Server* const server = find(aReport.server);
  if (server == nullptr) {
    return;
  }
  checkOwner(aReport.server, *server);
  const auto& holders = server->holders;
  if (!server->owner ||
      std::find(holders.begin(), holders.end(), aHost) == holders.end()) {
    return;
  }
  const bool same = server->incarnation == 0 || aReport.incarnation == 0 ||
                    server->incarnation == aReport.incarnation;
  // A holder that met a new incarnation which the owner serves already tells
  // nothing new.
  const bool news =
    aReport.incarnation == 0 || aReport.incarnation != server->incarnation;
  const bool atFirst = server->allowance <= firstAllowance(*server);
  if (aReport.cold && news && !server->settling &&
      (!atFirst || server->seenWarm)) {
    turnCold(*server, aReport.incarnation);
  }
  const Duration age = std::chrono::microseconds(aReport.goodAgeUs);
  const bool fresh = age <= Duration(kEvidenceAge);
  // Only a holder that has heard of this round knows what the owner knows.
  if (server->settling && aReport.round == server->ownRound) {
    if (aReport.warm && fresh && same) {
      server->settling = false;
      server->incarnation = aReport.incarnation;
      server->allowance = static_cast<std::uint32_t>(holders.size());
      server->evidence = m_clock.now() - age;
    } else if (aReport.settled) {
      server->unsettled.erase(aHost);
    }
    settle(aReport.server, *server);
  }
  if (server->settling) {
    return;
  }
  if (aReport.good > 0 && !aReport.cold && aReport.incarnation != 0 &&
      aReport.incarnation == server->incarnation && fresh) {
    server->evidence = std::max(server->evidence, m_clock.now() - age);
    raise(*server, aReport.good);
  }
  // A lease must end before the evidence that it rests on is too old.
  if (m_clock.now() - server->evidence > Duration(kEvidenceAge - kLease)) {
    return;
  }
  WarmthGrant grant;
  const std::uint64_t allowed = allowedSlots(*server);
  for (std::size_t slot = 0; slot < holders.size(); ++slot) {
    grant.slots |= holders[slot] == aHost ? allowed & bitOf(slot) : 0;
  }
  if (grant.slots != 0) {
    grant.server = aReport.server;
    grant.incarnation = server->incarnation;
    grant.answers = aReport.sequence;
    grant.warm = server->allowance >= holders.size();
    m_outbox.push_back({ aHost, std::move(grant) });
  }
}

void
Warmth::onGrant(const std::string& aHost, const WarmthGrant& aGrant)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Server* const server = find(aGrant.server);
  if (server == nullptr || server->holders[0] != aHost || aHost == m_self) {
    return;
  }
  if (aGrant.round != 0) {
    server->asked = true;
    server->leaseMask = 0;
    server->barrier = server->sequence;
    if (aGrant.revoked && server->round != aGrant.round) {
      server->seenWarm = false;
      server->incarnation = 0;
      server->good = 0;
      server->cold = false;
    }
    server->round = aGrant.round;
    return;
  }
  if (aGrant.answers != server->sequence || aGrant.answers <= server->barrier) {
    return;
  }
  server->leaseMask = aGrant.slots;
  server->leaseUntil = server->reported + kLease;
  server->leaseWarm = aGrant.warm;
  server->leaseIncarnation = aGrant.incarnation;
}

bool
Warmth::needsReport(const Server& aServer) const
{
  if (aServer.owner || aServer.holders[0].empty() ||
      aServer.holders[0] == m_self) {
    return false;
  }
  if (aServer.cold || aServer.asked) {
    return true;
  }
  const TimePoint now = m_clock.now();
  if (now - aServer.reported < kMessageEvery) {
    return false;
  }
  const bool renewal =
    aServer.leaseMask != 0 && aServer.good > 0 && !isSeenWarm(aServer);
  return aServer.wanted || renewal;
}

void
Warmth::report(const std::string& aName, Server& aServer)
{
  const TimePoint now = m_clock.now();
  WarmthReport report;
  report.server = aName;
  report.sequence = ++aServer.sequence;
  report.round = aServer.round;
  report.incarnation = aServer.incarnation;
  report.cold = aServer.cold;
  report.warm = isSeenWarm(aServer);
  report.settled = aServer.inFlight == 0 && aServer.leaseMask == 0 &&
                   !report.warm && mayUseOwnSlots(aName, aServer);
  report.good = aServer.good;
  report.goodAgeUs = std::chrono::duration_cast<std::chrono::microseconds>(
                       now - aServer.lastGood)
                       .count();
  aServer.reported = now;
  // A holder that can't say yet that it has settled says so when it can.
  aServer.asked = aServer.asked && !report.settled && !report.warm;
  aServer.cold = false;
  aServer.wanted = false;
  aServer.good = 0;
  m_outbox.push_back({ aServer.holders[0], std::move(report) });
}

/// Asks the holders that have not settled yet.
void
Warmth::question(const std::string& aName, Server& aServer)
{
  aServer.nextQuestion = m_clock.now() + kMessageEvery;
  for (const std::string& holder : aServer.unsettled) {
    if (holder.empty()) {
      continue;
    }
    WarmthGrant grant;
    grant.server = aName;
    grant.round = aServer.ownRound;
    grant.revoked = aServer.revoking;
    m_outbox.push_back({ holder, std::move(grant) });
  }
}

std::vector<WarmthMessage>
Warmth::tick()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  refresh();
  const TimePoint now = m_clock.now();
  for (auto& [name, server] : m_servers) {
    checkOwner(name, server);
    settle(name, server);
    if (server.owner && server.settling && now >= server.nextQuestion) {
      question(name, server);
    }
    if (needsReport(server)) {
      report(name, server);
    }
  }
  std::vector<WarmthMessage> messages;
  messages.swap(m_outbox);
  return messages;
}

std::vector<WarmthStatus>
Warmth::status() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<WarmthStatus> list;
  for (const auto& [name, server] : m_servers) {
    list.push_back({ name,
                     server.owner,
                     isSeenWarm(server),
                     server.owner && !server.settling ? server.allowance : 0 });
  }
  return list;
}

} // namespace toucanridge
