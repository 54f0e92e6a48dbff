#include "warmth_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// Shortest time between two reports or report requests about one server.
constexpr milliseconds kMessageInterval{ 100 };
/// A reply slower than this multiple of the learnt median latency counts as
/// bad. A cold server takes about three times as long as a warm one.
constexpr double kSlowFactor = 2.5;
/// Surplus of bad over good replies at which a server counts as cold. One in 20
/// replies of a warm server is slower than kSlowFactor allows, so a surplus of
/// five occurs by chance about once in a million replies.
constexpr std::uint32_t kMaxBadSurplus = 5;
/// Subtracted from Server::raiseScore for each bad reply.
constexpr std::uint32_t kBadReplyPenalty = 4;
/// Number of replies after which a steadily higher latency is taken as the
/// server's normal one. Otherwise a server whose index has grown would be
/// treated as cold indefinitely.
constexpr std::uint32_t kSteadyReplies = 512;
constexpr double kMedianQuantile = 0.5;

std::uint64_t
bitOf(std::size_t aSlot)
{
  return std::uint64_t(1) << aSlot;
}

} // namespace

Warmth::Server::Server(const ClockI& aClock)
  : medianLatency(aClock, kMedianQuantile)
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

/// Applies a new view. Keeps the state of servers that this node still holds a
/// slot of or has requests in flight to.
void
Warmth::applyView() const
{
  const ViewPtr view = m_views.get();
  if (!view || view == m_view) {
    return;
  }
  m_view = view;
  std::map<std::string, Server> previous;
  previous.swap(m_servers);
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
      const auto known = previous.find(name);
      const bool holdsSlot =
        std::count(holders[s].begin(), holders[s].end(), m_self);
      if (!holdsSlot &&
          (known == previous.end() || known->second.inFlight == 0)) {
        continue;
      }
      Server server =
        known == previous.end() ? Server(m_clock) : std::move(known->second);
      if (!server.holders.empty() && server.holders[0] != holders[s][0]) {
        server.leaseMask = 0;
        server.ownerRound = 0;
      }
      if (server.isOwner && server.holders != holders[s]) {
        // Other holders may have leases, so updateOwner() starts over with the
        // new set of holders.
        server.isOwner = false;
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
Warmth::findServer(const std::string& aServer) const
{
  applyView();
  const auto found = m_servers.find(aServer);
  return found == m_servers.end() ? nullptr : &found->second;
}

bool
Warmth::isSeenWarm(const Server& aServer) const
{
  return aServer.seenWarm &&
         m_clock.now() - aServer.lastGoodReply <= Duration(kMaxEvidenceAge);
}

/// @returns true when this node has the sending right to each slot placed here;
///          otherwise an earlier holder may still use one
bool
Warmth::hasRightsToAllOwnSlots(const std::string& aName,
                               const Server& aServer) const
{
  for (std::uint32_t slot = 0; slot < aServer.holders.size(); ++slot) {
    if (aServer.holders[slot] == m_self && !m_rights.mayUse({ aName, slot })) {
      return false;
    }
  }
  return true;
}

/// Makes this node the owner exactly while it has the right to use slot 0.
void
Warmth::updateOwner(const std::string& aName, Server& aServer) const
{
  const bool owner =
    aServer.holders[0] == m_self && m_rights.mayUse({ aName, 0 });
  if (owner == aServer.isOwner) {
    return;
  }
  aServer.isOwner = owner;
  if (!owner) {
    return;
  }
  aServer.leaseMask = 0;
  if (isSeenWarm(aServer)) {
    aServer.settling = false;
    aServer.allowance = static_cast<std::uint32_t>(aServer.holders.size());
    aServer.lastEvidence = aServer.lastGoodReply;
    aServer.settleId = 0;
    return;
  }
  beginSettling(aServer, false);
}

/// Starts to wait until no other holder can be using the server: until each one
/// has reported so, or until all their leases and requests must have ended.
void
Warmth::beginSettling(Server& aServer, bool aRevoking) const
{
  const TimePoint now = m_clock.now();
  aServer.settling = true;
  aServer.revoking = aRevoking;
  aServer.settleId = static_cast<std::uint64_t>(now.time_since_epoch().count());
  aServer.settleDeadline = now +
                           std::max<Duration>(kLeaseDuration, kMaxEvidenceAge) +
                           aServer.longestRequest;
  aServer.nextReportRequestAt = now;
  aServer.allowance = initialAllowance(aServer);
  aServer.raiseScore = 0;
  aServer.repliesSinceRaise = 0;
  aServer.unsettledHolders.clear();
  for (const std::string& holder : aServer.holders) {
    if (holder != m_self) {
      // A slot without a holder adds an empty name, which no report removes, so
      // that settling lasts until settleDeadline.
      aServer.unsettledHolders.insert(holder);
    }
  }
}

void
Warmth::endSettlingIfDone(const std::string& aName, Server& aServer) const
{
  const bool answered = aServer.unsettledHolders.empty() &&
                        aServer.inFlight == 0 &&
                        hasRightsToAllOwnSlots(aName, aServer);
  if (aServer.settling &&
      (answered || m_clock.now() >= aServer.settleDeadline)) {
    aServer.settling = false;
  }
}

std::uint32_t
Warmth::initialAllowance(const Server& aServer) const
{
  const auto own = static_cast<std::uint32_t>(
    std::count(aServer.holders.begin(), aServer.holders.end(), m_self));
  return std::min(aServer.coldSlots, own);
}

/// @returns one bit for each slot, of any holder, that the owner allows now
std::uint64_t
Warmth::allowedSlots(const Server& aServer) const
{
  if (!aServer.isOwner || aServer.settling) {
    return 0;
  }
  // Without a recent good reply the server may have restarted unnoticed. One
  // good reply through the initial slots restores the allowance.
  const bool fresh =
    m_clock.now() - aServer.lastEvidence <= Duration(kMaxEvidenceAge);
  std::uint32_t remaining =
    fresh ? aServer.allowance : initialAllowance(aServer);
  std::uint64_t mask = 0;
  for (const bool own : { true, false }) {
    for (std::size_t slot = 0; slot < aServer.holders.size(); ++slot) {
      if (remaining > 0 && (aServer.holders[slot] == m_self) == own) {
        mask |= bitOf(slot);
        --remaining;
      }
    }
  }
  return mask;
}

bool
Warmth::mayUse(const SlotKey& aKey, std::uint32_t) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Server* const server = findServer(aKey.server);
  if (server == nullptr || aKey.slot >= server->holders.size()) {
    return false;
  }
  updateOwner(aKey.server, *server);
  if (isSeenWarm(*server)) {
    return true;
  }
  const bool leased = m_clock.now() < server->leaseUntil &&
                      (server->leaseMask & bitOf(aKey.slot)) != 0;
  if (leased || (allowedSlots(*server) & bitOf(aKey.slot)) != 0) {
    return true;
  }
  server->leaseWanted = true;
  return false;
}

/// No reply shows when a cancellation took effect, so the server may run a
/// cancelled request concurrently with the next one. Only a server seen warm
/// can take that.
bool
Warmth::mayCancel(const std::string& aServer) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Server* const server = findServer(aServer);
  return server != nullptr && isSeenWarm(*server);
}

void
Warmth::onSent(const SlotKey& aKey)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (Server* const server = findServer(aKey.server)) {
    ++server->inFlight;
  }
}

/// Handles signs that the server is cold: discards what is known of its warmth.
void
Warmth::markCold(Server& aServer, std::uint64_t aIncarnation) const
{
  aServer.seenWarm = false;
  aServer.leaseMask = 0;
  aServer.grantsVoidUpTo = aServer.sequence;
  aServer.badSurplus = 0;
  aServer.goodSinceReport = 0;
  aServer.incarnation = aIncarnation;
  aServer.lastEvidence = TimePoint();
  if (!aServer.isOwner) {
    aServer.coldUnreported = true;
  } else if (!aServer.settling) {
    beginSettling(aServer, true);
  }
}

void
Warmth::raiseAllowance(Server& aServer, std::uint32_t aGood) const
{
  aServer.raiseScore += aGood;
  aServer.repliesSinceRaise += aGood;
  if (aServer.allowance >= aServer.holders.size()) {
    return;
  }
  const bool steady = aServer.repliesSinceRaise >= kSteadyReplies;
  if (steady) {
    aServer.medianLatency = LatencyTracker(m_clock, kMedianQuantile);
  }
  if (aServer.raiseScore >= kGoodRepliesPerSlot || steady) {
    ++aServer.allowance;
    aServer.raiseScore = 0;
    aServer.repliesSinceRaise = 0;
  }
}

/// Handles a Done reply that was not slow.
void
Warmth::onGoodReply(Server& aServer, const BackendReply& aReply) const
{
  const TimePoint now = m_clock.now();
  aServer.incarnation = aReply.incarnation;
  aServer.badSurplus -= aServer.badSurplus > 0 ? 1 : 0;
  ++aServer.goodSinceReport;
  aServer.lastGoodReply = now;
  const bool leaseWarm = aServer.leaseWarm && now < aServer.leaseUntil &&
                         aServer.leaseMask != 0 &&
                         aServer.leaseIncarnation == aReply.incarnation;
  if (aServer.isOwner && !aServer.settling) {
    aServer.lastEvidence = now;
    raiseAllowance(aServer, 1);
  }
  const bool full = aServer.isOwner && !aServer.settling &&
                    aServer.allowance >= aServer.holders.size();
  if (full || leaseWarm) {
    aServer.seenWarm = true;
  }
  if (aServer.seenWarm) {
    aServer.medianLatency.add(aReply.latency);
  }
}

void
Warmth::onReply(const SlotKey& aKey, const BackendReply& aReply)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Server* const server = findServer(aKey.server);
  if (server == nullptr) {
    return;
  }
  server->inFlight -= server->inFlight > 0 ? 1 : 0;
  if (aReply.cancelled) {
    return;
  }
  if (aReply.incarnation != 0 && server->incarnation != 0 &&
      aReply.incarnation != server->incarnation) {
    markCold(*server, aReply.incarnation);
    return;
  }
  const bool connectFailed =
    aReply.status == SubStatus::NotRun && aReply.error == Errc::Unreachable;
  if (aReply.status == SubStatus::Lost || connectFailed) {
    markCold(*server, 0);
    return;
  }
  if (aReply.status == SubStatus::NoSnapshot || aReply.draining) {
    return;
  }
  const auto median = server->medianLatency.value();
  const bool slow =
    median && static_cast<double>(aReply.latency.count()) >
                kSlowFactor * static_cast<double>(median->count());
  if (aReply.status == SubStatus::Done && !slow) {
    onGoodReply(*server, aReply);
    return;
  }
  server->raiseScore -= std::min(server->raiseScore, kBadReplyPenalty);
  server->repliesSinceRaise += aReply.status == SubStatus::Done ? 1 : 0;
  if (server->isOwner && !server->settling) {
    raiseAllowance(*server, 0);
  }
  // An owner at its initial allowance can't reduce it any further.
  const bool atMinimum =
    server->isOwner && !server->seenWarm &&
    (server->settling || server->allowance <= initialAllowance(*server));
  if (++server->badSurplus >= kMaxBadSurplus && !atMinimum) {
    markCold(*server, 0);
  }
}

void
Warmth::onReport(const std::string& aHost, const WarmthReport& aReport)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Server* const server = findServer(aReport.server);
  if (server == nullptr) {
    return;
  }
  updateOwner(aReport.server, *server);
  const auto& holders = server->holders;
  if (!server->isOwner ||
      std::find(holders.begin(), holders.end(), aHost) == holders.end()) {
    return;
  }
  const bool mayBeSameIncarnation = server->incarnation == 0 ||
                                    aReport.incarnation == 0 ||
                                    server->incarnation == aReport.incarnation;
  // A report that the server is cold adds nothing when it names the incarnation
  // that the owner already knows.
  const bool mayBeOtherIncarnation =
    aReport.incarnation == 0 || aReport.incarnation != server->incarnation;
  const bool atInitialAllowance =
    server->allowance <= initialAllowance(*server);
  if (aReport.cold && mayBeOtherIncarnation && !server->settling &&
      (!atInitialAllowance || server->seenWarm)) {
    markCold(*server, aReport.incarnation);
  }
  const Duration age = std::chrono::microseconds(aReport.goodAgeUs);
  const bool fresh = age <= Duration(kMaxEvidenceAge);
  // A report with another round was made before the holder received the owner's
  // report request, so it may be out of date.
  if (server->settling && aReport.round == server->settleId) {
    if (aReport.warm && fresh && mayBeSameIncarnation) {
      server->settling = false;
      server->incarnation = aReport.incarnation;
      server->allowance = static_cast<std::uint32_t>(holders.size());
      server->lastEvidence = m_clock.now() - age;
    } else if (aReport.settled) {
      server->unsettledHolders.erase(aHost);
    }
    endSettlingIfDone(aReport.server, *server);
  }
  if (server->settling) {
    return;
  }
  if (aReport.good > 0 && !aReport.cold && aReport.incarnation != 0 &&
      aReport.incarnation == server->incarnation && fresh) {
    server->lastEvidence = std::max(server->lastEvidence, m_clock.now() - age);
    raiseAllowance(*server, aReport.good);
  }
  // A lease must end before the evidence that it is based on expires.
  if (m_clock.now() - server->lastEvidence >
      Duration(kMaxEvidenceAge - kLeaseDuration)) {
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
    grant.reportSequence = aReport.sequence;
    grant.warm = server->allowance >= holders.size();
    m_outbox.push_back({ aHost, std::move(grant) });
  }
}

void
Warmth::onGrant(const std::string& aHost, const WarmthGrant& aGrant)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Server* const server = findServer(aGrant.server);
  if (server == nullptr || server->holders[0] != aHost || aHost == m_self) {
    return;
  }
  if (aGrant.round != 0) {
    // A report request: it also ends the lease.
    server->reportRequested = true;
    server->leaseMask = 0;
    server->grantsVoidUpTo = server->sequence;
    if (aGrant.revoked && server->ownerRound != aGrant.round) {
      server->seenWarm = false;
      server->incarnation = 0;
      server->goodSinceReport = 0;
      server->coldUnreported = false;
    }
    server->ownerRound = aGrant.round;
    return;
  }
  if (aGrant.reportSequence != server->sequence ||
      aGrant.reportSequence <= server->grantsVoidUpTo) {
    return;
  }
  server->leaseMask = aGrant.slots;
  server->leaseUntil = server->lastReportAt + kLeaseDuration;
  server->leaseWarm = aGrant.warm;
  server->leaseIncarnation = aGrant.incarnation;
}

bool
Warmth::needsReport(const Server& aServer) const
{
  if (aServer.isOwner || aServer.holders[0].empty() ||
      aServer.holders[0] == m_self) {
    return false;
  }
  if (aServer.coldUnreported || aServer.reportRequested) {
    return true;
  }
  const TimePoint now = m_clock.now();
  if (now - aServer.lastReportAt < kMessageInterval) {
    return false;
  }
  const bool renewal = aServer.leaseMask != 0 && aServer.goodSinceReport > 0 &&
                       !isSeenWarm(aServer);
  return aServer.leaseWanted || renewal;
}

void
Warmth::queueReport(const std::string& aName, Server& aServer)
{
  const TimePoint now = m_clock.now();
  WarmthReport report;
  report.server = aName;
  report.sequence = ++aServer.sequence;
  report.round = aServer.ownerRound;
  report.incarnation = aServer.incarnation;
  report.cold = aServer.coldUnreported;
  report.warm = isSeenWarm(aServer);
  report.settled = aServer.inFlight == 0 && aServer.leaseMask == 0 &&
                   !report.warm && hasRightsToAllOwnSlots(aName, aServer);
  report.good = aServer.goodSinceReport;
  report.goodAgeUs = std::chrono::duration_cast<std::chrono::microseconds>(
                       now - aServer.lastGoodReply)
                       .count();
  aServer.lastReportAt = now;
  // A holder that is neither settled nor warm keeps reporting until it is.
  aServer.reportRequested =
    aServer.reportRequested && !report.settled && !report.warm;
  aServer.coldUnreported = false;
  aServer.leaseWanted = false;
  aServer.goodSinceReport = 0;
  m_outbox.push_back({ aServer.holders[0], std::move(report) });
}

/// Queues a report request to each holder that has not settled yet.
void
Warmth::queueReportRequests(const std::string& aName, Server& aServer)
{
  aServer.nextReportRequestAt = m_clock.now() + kMessageInterval;
  for (const std::string& holder : aServer.unsettledHolders) {
    if (holder.empty()) {
      continue;
    }
    WarmthGrant grant;
    grant.server = aName;
    grant.round = aServer.settleId;
    grant.revoked = aServer.revoking;
    m_outbox.push_back({ holder, std::move(grant) });
  }
}

std::vector<WarmthMessage>
Warmth::tick()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  applyView();
  const TimePoint now = m_clock.now();
  for (auto& [name, server] : m_servers) {
    updateOwner(name, server);
    endSettlingIfDone(name, server);
    if (server.isOwner && server.settling &&
        now >= server.nextReportRequestAt) {
      queueReportRequests(name, server);
    }
    if (needsReport(server)) {
      queueReport(name, server);
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
  std::vector<WarmthStatus> servers;
  for (const auto& [name, server] : m_servers) {
    servers.push_back(
      { name,
        server.isOwner,
        isSeenWarm(server),
        server.isOwner && !server.settling ? server.allowance : 0 });
  }
  return servers;
}

} // namespace toucanridge
