#include "rights_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

constexpr ViewId kNoView;

/// Maximum number of earlier holders recorded for a slot. Bounds the memory
/// taken by hosts that never report again.
constexpr std::size_t kMaxEarlierHolders = 4;

/// @returns true when `aNew` follows `aOld` directly, with no view in between
bool
isNextView(const ViewId& aOld, const ViewId& aNew)
{
  return aNew.rules - aOld.rules + (aNew.hosts - aOld.hosts) == 1;
}

bool
isVoter(const View& aView, const Host& aHost)
{
  return aView.rules->hostsOutOfService.count(aHost.name) == 0;
}

void
logSlot(const char* aEvent,
        const SlotKey& aKey,
        const ViewId& aView,
        const char* aReason)
{
  logWrite(LogLevel::Info,
           LogLine(aEvent)
             .add("server", aKey.server)
             .add("slot", aKey.slot)
             .add("rules", aView.rules)
             .add("hosts", aView.hosts)
             .add("reason", aReason));
}

} // namespace

Duration
longestDeadline(const RuleSet& aRules)
{
  Duration longest{ 0 };
  for (const auto& entry : aRules.classes) {
    longest = std::max<Duration>(longest, entry.second.deadline);
  }
  return longest;
}

Duration
startupQuietPeriod(const RuleSet& aRules)
{
  return aRules.rights.lease + longestDeadline(aRules) + kHandoverMargin;
}

SendingRights::SendingRights(const ClockI& aClock, std::string aSelf)
  : m_clock(aClock)
  , m_self(std::move(aSelf))
{
}

Duration
SendingRights::handoverWait() const
{
  return 2 * m_longestLease + m_longestDeadline + kHandoverMargin;
}

bool
SendingRights::mayUse(const SlotKey& aKey) const
{
  // publish() stores the slots before the end of the lease and this function
  // reads them in reverse order, so a lease is never combined with older slots
  // that it does not cover.
  if (m_clock.now().time_since_epoch().count() >= m_usableUntil.load()) {
    return false;
  }
  return std::atomic_load(&m_openSlots)->count(aKey) != 0;
}

void
SendingRights::publish()
{
  auto open = std::make_shared<SlotKeys>();
  for (const auto& [key, held] : m_held) {
    if (held.open) {
      open->insert(key);
    }
  }
  std::atomic_store(&m_openSlots,
                    std::shared_ptr<const SlotKeys>(std::move(open)));
  m_usableUntil.store(m_leaseEnd.time_since_epoch().count());
}

void
SendingRights::adopt(const ViewPtr& aView)
{
  if (m_view && (!aView->id.isAtLeast(m_view->id) || aView->id == m_view->id)) {
    return;
  }
  std::map<SlotKey, SlotHolder> holders;
  for (std::size_t i = 0; i < aView->placement.size(); ++i) {
    const ServiceRule& service = aView->rules->services[i];
    for (const SlotPlace& place : aView->placement[i].slots) {
      const SlotKey key{ service.servers[place.server].name, place.slot };
      if (place.host != SlotPlace::kNoHost) {
        const Host& host = aView->hosts.hosts[place.host];
        holders[key] = { host.name, host.dataCentre };
      } else {
        holders[key] = {};
      }
    }
  }
  const TimePoint now = m_clock.now();
  m_longestLease =
    std::max<Duration>(m_longestLease, aView->rules->rights.lease);
  m_longestDeadline =
    std::max(m_longestDeadline, longestDeadline(*aView->rules));
  if (m_view && !isNextView(m_view->id, aView->id)) {
    resetHandovers(false);
  }
  updateHolders(*aView, holders);
  m_view = aView;
  const Host* self = aView->findHost(m_self);
  m_dataCentre = self != nullptr ? self->dataCentre : std::string();
  // Hosts that were replaced never report again; without this the map would
  // grow without bound.
  for (auto ack = m_acks.begin(); ack != m_acks.end();) {
    const bool old = ack->second.sentAt + handoverWait() < now;
    ack = old && aView->findHost(ack->first) == nullptr ? m_acks.erase(ack)
                                                        : std::next(ack);
  }
  publish();
  renewLease(now);
  openSlots(now);
}

void
SendingRights::updateHolders(const View& aView,
                             const std::map<SlotKey, SlotHolder>& aHolders)
{
  for (auto& [key, slot] : m_slots) {
    const auto found = aHolders.find(key);
    const SlotHolder newHolder =
      found != aHolders.end() ? found->second : SlotHolder{};
    if (newHolder.host == slot.holder.host) {
      continue;
    }
    if (!slot.holder.host.empty()) {
      removeSettledHolders(slot);
      slot.earlier.push_back({ slot.holder, aView.id });
      if (slot.earlier.size() > kMaxEarlierHolders) {
        slot.earlier.clear();
        slot.earlierDropped = true;
      }
    }
    slot.holder = newHolder;
    if (m_held.erase(key) != 0) {
      logSlot("right-lost", key, aView.id, "moved");
    }
    if (newHolder.host != m_self) {
      continue;
    }
    auto& earlier = slot.earlier;
    earlier.erase(std::remove_if(earlier.begin(),
                                 earlier.end(),
                                 [this](const EarlierHolder& aEarlier) {
                                   return aEarlier.holder.host == m_self;
                                 }),
                  earlier.end());
    m_held[key].earlierUnknown = slot.earlierDropped || !m_nodeHandover.open;
  }
  for (const auto& [key, newHolder] : aHolders) {
    if (m_slots.emplace(key, Slot{ newHolder, {}, false }).second &&
        newHolder.host == m_self) {
      m_held[key].earlierUnknown = true;
    }
  }
}

void
SendingRights::onProbeAcked(const PeerState& aPeer, TimePoint aSentAt)
{
  Ack& ack = m_acks[aPeer.host];
  if (aPeer.incarnation < ack.incarnation ||
      (aPeer.incarnation == ack.incarnation && aSentAt < ack.sentAt)) {
    return;
  }
  ack = { aPeer.incarnation, aPeer.view, aPeer.settled, aPeer.leased, aSentAt };
  const TimePoint now = m_clock.now();
  renewLease(now);
  openSlots(now);
}

ViewId
SendingRights::leased() const
{
  return m_leased && m_leaseEnd > m_clock.now() ? m_leaseView : kNoView;
}

bool
SendingRights::needsPeerAcks() const
{
  return std::any_of(m_held.begin(), m_held.end(), [](const auto& aEntry) {
    return !aEntry.second.open && !aEntry.second.waiting;
  });
}

void
SendingRights::tick()
{
  const TimePoint now = m_clock.now();
  renewLease(now);
  openSlots(now);
}

/// @returns the end of the lease that the votes for the current view give, or
///          the minimum time point without a quorum
TimePoint
SendingRights::quorumLeaseEnd(TimePoint aNow) const
{
  std::size_t localVoters = 0;
  std::vector<TimePoint> localSentAt;
  std::vector<TimePoint> allSentAt;
  for (const Host& host : m_view->hosts.hosts) {
    const bool local = host.dataCentre == m_dataCentre;
    localVoters += local && isVoter(*m_view, host) ? 1 : 0;
    const auto ack = m_acks.find(host.name);
    if (host.name == m_self || ack == m_acks.end() ||
        ack->second.view != m_view->id || ack->second.settled == kNoView) {
      continue;
    }
    allSentAt.push_back(ack->second.sentAt);
    if (local && isVoter(*m_view, host)) {
      localSentAt.push_back(ack->second.sentAt);
    }
  }
  if (m_view->hosts.hosts.size() == 1) {
    return TimePoint::max();
  }
  std::vector<TimePoint>& sentTimes = localVoters > 1 ? localSentAt : allSentAt;
  const std::size_t acksNeeded = localVoters > 1 ? localVoters / 2 : 1;
  if (sentTimes.size() < acksNeeded) {
    return TimePoint::min();
  }
  std::sort(sentTimes.rbegin(), sentTimes.rend());
  const TimePoint end = sentTimes[acksNeeded - 1] + m_view->rules->rights.lease;
  return end > aNow ? end : TimePoint::min();
}

/// Makes the slots wait again as after a start.
/// @param[in] aCloseOpenSlots whether this includes slots that are open
void
SendingRights::resetHandovers(bool aCloseOpenSlots)
{
  m_nodeHandover = Handover{};
  for (auto& [key, held] : m_held) {
    if (held.open && aCloseOpenSlots) {
      logSlot("right-lost", key, m_view->id, "lease-lapsed");
    }
    if (!held.open || aCloseOpenSlots) {
      held = Handover{};
    }
  }
}

void
SendingRights::renewLease(TimePoint aNow)
{
  if (!m_view || m_dataCentre.empty()) {
    return;
  }
  const bool lapsed = m_leaseEnd <= aNow;
  if (lapsed && m_leased) {
    m_leased = false;
    logWrite(LogLevel::Warn,
             LogLine("lease-lost")
               .add("rules", m_view->id.rules)
               .add("hosts", m_view->id.hosts));
  }
  const TimePoint end = quorumLeaseEnd(aNow);
  if (end <= aNow) {
    return;
  }
  // A short lapse under an unchanged view is harmless: the same voters cannot
  // have voted for another view in between. In a lapse longer than one lease, a
  // voter may have adopted a newer view, restarted and read this view again.
  const bool sameView = m_leaseView == m_view->id;
  if (lapsed && (!sameView || m_leaseEnd + m_longestLease < aNow)) {
    resetHandovers(true);
    publish();
  }
  m_leaseView = m_view->id;
  if (!m_leased) {
    m_leased = true;
    logWrite(LogLevel::Info,
             LogLine("lease-gained")
               .add("rules", m_view->id.rules)
               .add("hosts", m_view->id.hosts));
  }
  if (end > m_leaseEnd) {
    m_leaseEnd = end;
    publish();
  }
}

/// @returns true when a quorum of the data centre has named this view, so that
///          no quorum under an older view remains there; also true when the
///          data centre has no voters
///
/// A lease under this view or a newer one that one voter of the data centre
/// holds proves the quorum. Collecting the votes of the majority directly would
/// take minutes at 70 hosts per data centre and one random probe per second.
/// The acknowledgement need not be recent: hosts return to an older view only
/// by a restart, and a restarted host itself waits for every data centre.
bool
SendingRights::quorumNamedView(const std::string& aDataCentre) const
{
  bool noVoters = true;
  for (const Host& host : m_view->hosts.hosts) {
    if (host.dataCentre != aDataCentre || !isVoter(*m_view, host)) {
      continue;
    }
    noVoters = false;
    const auto ack = m_acks.find(host.name);
    if (ack != m_acks.end() && ack->second.leased.isAtLeast(m_view->id)) {
      return true;
    }
  }
  return noVoters;
}

/// @param[in] aEarlierUnknown whether any data centre may have earlier holders
///            that are not in `aEarlier`
/// @returns true when a quorum has named this view in each data centre, other
///          than this node's, that may have an earlier holder
bool
SendingRights::otherDataCentresNamedView(
  bool aEarlierUnknown,
  const std::vector<EarlierHolder>& aEarlier) const
{
  std::set<std::string> otherDataCentres;
  if (aEarlierUnknown) {
    for (const Host& host : m_view->hosts.hosts) {
      otherDataCentres.insert(host.dataCentre);
    }
  }
  for (const EarlierHolder& earlier : aEarlier) {
    otherDataCentres.insert(earlier.holder.dataCentre);
  }
  otherDataCentres.erase(m_dataCentre);
  return std::all_of(
    otherDataCentres.begin(),
    otherDataCentres.end(),
    [&](const std::string& aName) { return quorumNamedView(aName); });
}

/// Removes the earlier holders that have settled. A report under a newer view
/// does not count, because that view may have returned the slot to the peer
/// that sent the report.
/// @returns true when no earlier holder is left
bool
SendingRights::removeSettledHolders(Slot& aSlot) const
{
  auto& earlier = aSlot.earlier;
  earlier.erase(
    std::remove_if(earlier.begin(),
                   earlier.end(),
                   [this](const EarlierHolder& aEarlier) {
                     const auto ack = m_acks.find(aEarlier.holder.host);
                     return ack != m_acks.end() &&
                            ack->second.view == m_view->id &&
                            ack->second.settled.isAtLeast(aEarlier.replacedBy);
                   }),
    earlier.end());
  return earlier.empty();
}

/// Starts the handover wait once quorums of the other data centres have named
/// this view.
/// @returns true when the wait is over and the quorums still name this view
bool
SendingRights::updateWait(Handover& aHandover,
                          const std::vector<EarlierHolder>& aEarlier,
                          TimePoint aNow) const
{
  if (aHandover.waiting && aNow < aHandover.waitStart + handoverWait()) {
    return false;
  }
  if (!otherDataCentresNamedView(aHandover.earlierUnknown, aEarlier)) {
    return false;
  }
  if (!aHandover.waiting) {
    aHandover.waiting = true;
    aHandover.waitStart = aNow;
    return false;
  }
  return true;
}

void
SendingRights::openSlots(TimePoint aNow)
{
  if (!m_view || m_leaseView != m_view->id || m_leaseEnd <= aNow) {
    return;
  }
  m_nodeHandover.open =
    m_nodeHandover.open || updateWait(m_nodeHandover, {}, aNow);
  bool changed = false;
  for (auto& [key, held] : m_held) {
    if (held.open) {
      continue;
    }
    Slot& slot = m_slots.at(key);
    if (removeSettledHolders(slot) && !held.earlierUnknown) {
      held.open = true;
      logSlot("right-handed-over", key, m_view->id, "settled");
    } else if (updateWait(held, slot.earlier, aNow)) {
      held.open = true;
      logSlot("right-gained", key, m_view->id, "waited");
    }
    if (held.open) {
      held.earlierUnknown = false;
      slot.earlier.clear();
      slot.earlierDropped = false;
      changed = true;
    }
  }
  if (changed) {
    publish();
  }
}

} // namespace toucanridge
