#include "rights_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

constexpr ViewId kNoView;

/// Earlier holders kept for a slot; bounds the memory that hosts which never
/// report again would take.
constexpr std::size_t kMaxEarlier = 4;

/// @returns true when no view can lie between the two
bool
isNext(const ViewId& aOld, const ViewId& aNew)
{
  return aNew.rules - aOld.rules + (aNew.hosts - aOld.hosts) == 1;
}

bool
isVoter(const View& aView, const Host& aHost)
{
  return aView.rules->hostsOut.count(aHost.name) == 0;
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
startSilence(const RuleSet& aRules)
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
  // The slots are published before a later lease, so a lease is never read
  // together with slots that it does not cover.
  if (m_clock.now().time_since_epoch().count() >= m_until.load()) {
    return false;
  }
  return std::atomic_load(&m_open)->count(aKey) != 0;
}

void
SendingRights::publish()
{
  auto open = std::make_shared<Keys>();
  for (const auto& [key, held] : m_held) {
    if (held.open) {
      open->insert(key);
    }
  }
  std::atomic_store(&m_open, std::shared_ptr<const Keys>(std::move(open)));
  m_until.store(m_leaseEnd.time_since_epoch().count());
}

void
SendingRights::adopt(const ViewPtr& aView)
{
  if (m_view && (!aView->id.covers(m_view->id) || aView->id == m_view->id)) {
    return;
  }
  std::map<SlotKey, Place> places;
  for (std::size_t i = 0; i < aView->placement.size(); ++i) {
    const ServiceRule& service = aView->rules->services[i];
    for (const SlotPlace& place : aView->placement[i].slots) {
      const SlotKey key{ service.servers[place.server].name, place.slot };
      if (place.host != SlotPlace::kNoHost) {
        const Host& host = aView->hosts.hosts[place.host];
        places[key] = { host.name, host.dataCentre };
      } else {
        places[key] = {};
      }
    }
  }
  const TimePoint now = m_clock.now();
  m_longestLease =
    std::max<Duration>(m_longestLease, aView->rules->rights.lease);
  m_longestDeadline =
    std::max(m_longestDeadline, longestDeadline(*aView->rules));
  if (m_view && !isNext(m_view->id, aView->id)) {
    forgetHistory(false);
  }
  moveSlots(*aView, places);
  m_view = aView;
  const Host* self = aView->findHost(m_self);
  m_dataCentre = self != nullptr ? self->dataCentre : std::string();
  // Replaced hosts never report again and would fill the map.
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
SendingRights::moveSlots(const View& aView,
                         const std::map<SlotKey, Place>& aPlaces)
{
  for (auto& [key, slot] : m_slots) {
    const auto found = aPlaces.find(key);
    const Place place = found != aPlaces.end() ? found->second : Place{};
    if (place.host == slot.holder.host) {
      continue;
    }
    if (!slot.holder.host.empty()) {
      earlierSettled(slot);
      slot.earlier.push_back({ slot.holder, aView.id });
      if (slot.earlier.size() > kMaxEarlier) {
        slot.earlier.clear();
        slot.forgotten = true;
      }
    }
    slot.holder = place;
    if (m_held.erase(key) != 0) {
      logSlot("right-lost", key, aView.id, "moved");
    }
    if (place.host != m_self) {
      continue;
    }
    auto& earlier = slot.earlier;
    earlier.erase(std::remove_if(earlier.begin(),
                                 earlier.end(),
                                 [this](const Earlier& aEarlier) {
                                   return aEarlier.place.host == m_self;
                                 }),
                  earlier.end());
    m_held[key].fresh = slot.forgotten || !m_history.open;
  }
  for (const auto& [key, place] : aPlaces) {
    if (m_slots.emplace(key, Slot{ place, {}, false }).second &&
        place.host == m_self) {
      m_held[key].fresh = true;
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
SendingRights::wantsEvidence() const
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

/// @returns the end of the lease that the acknowledgements under the present
/// view give, or the least time point without a quorum
TimePoint
SendingRights::quorumLease(TimePoint aNow) const
{
  std::size_t voters = 0;
  std::vector<TimePoint> here;
  std::vector<TimePoint> anywhere;
  for (const Host& host : m_view->hosts.hosts) {
    const bool local = host.dataCentre == m_dataCentre;
    voters += local && isVoter(*m_view, host) ? 1 : 0;
    const auto ack = m_acks.find(host.name);
    if (host.name == m_self || ack == m_acks.end() ||
        ack->second.view != m_view->id || ack->second.settled == kNoView) {
      continue;
    }
    anywhere.push_back(ack->second.sentAt);
    if (local && isVoter(*m_view, host)) {
      here.push_back(ack->second.sentAt);
    }
  }
  if (m_view->hosts.hosts.size() == 1) {
    return TimePoint::max();
  }
  std::vector<TimePoint>& sent = voters > 1 ? here : anywhere;
  const std::size_t others = voters > 1 ? voters / 2 : 1;
  if (sent.size() < others) {
    return TimePoint::min();
  }
  std::sort(sent.rbegin(), sent.rend());
  const TimePoint end = sent[others - 1] + m_view->rules->rights.lease;
  return end > aNow ? end : TimePoint::min();
}

/// Makes every slot that is not open, or every slot, wait as after a start.
void
SendingRights::forgetHistory(bool aClose)
{
  m_history = Held{};
  for (auto& [key, held] : m_held) {
    if (held.open && aClose) {
      logSlot("right-lost", key, m_view->id, "lease-lapsed");
    }
    if (!held.open || aClose) {
      held = Held{};
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
  const TimePoint end = quorumLease(aNow);
  if (end <= aNow) {
    return;
  }
  // A short lapse under one view is harmless: the same voters have not voted
  // for another view in between. After more than one lease time, a voter may
  // have adopted a newer view, restarted and read this one again.
  const bool sameView = m_leaseView == m_view->id;
  if (lapsed && (!sameView || m_leaseEnd + m_longestLease < aNow)) {
    forgetHistory(true);
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

/// @returns true when a quorum of a data centre has named this view, so that no
/// quorum is left there under an older one. One host that holds a lease under
/// this view shows it: its lease is that quorum. Hearing the majority itself
/// would take minutes at 70 hosts a data centre and one random probe a second.
/// The word need not be recent: hosts go back to an older view only by a
/// restart, and a restarted host itself waits for every data centre.
bool
SendingRights::sameViewIn(const std::string& aDataCentre) const
{
  bool empty = true;
  for (const Host& host : m_view->hosts.hosts) {
    if (host.dataCentre != aDataCentre || !isVoter(*m_view, host)) {
      continue;
    }
    empty = false;
    const auto ack = m_acks.find(host.name);
    if (ack != m_acks.end() && ack->second.leased.covers(m_view->id)) {
      return true;
    }
  }
  return empty;
}

bool
SendingRights::elsewhereMoved(bool aFresh,
                              const std::vector<Earlier>& aEarlier) const
{
  std::set<std::string> elsewhere;
  if (aFresh) {
    for (const Host& host : m_view->hosts.hosts) {
      elsewhere.insert(host.dataCentre);
    }
  }
  for (const Earlier& earlier : aEarlier) {
    elsewhere.insert(earlier.place.dataCentre);
  }
  elsewhere.erase(m_dataCentre);
  return std::all_of(
    elsewhere.begin(), elsewhere.end(), [&](const std::string& aName) {
      return sameViewIn(aName);
    });
}

/// Drops the earlier holders that have settled. A report under a newer view
/// does not count: that view may have given the slot back to its sender.
/// @returns true when none is left
bool
SendingRights::earlierSettled(Slot& aSlot) const
{
  auto& earlier = aSlot.earlier;
  earlier.erase(
    std::remove_if(earlier.begin(),
                   earlier.end(),
                   [this](const Earlier& aEarlier) {
                     const auto ack = m_acks.find(aEarlier.place.host);
                     return ack != m_acks.end() &&
                            ack->second.view == m_view->id &&
                            ack->second.settled.covers(aEarlier.replacedBy);
                   }),
    earlier.end());
  return earlier.empty();
}

/// Starts the handover wait when the other data centres show this view.
/// @returns true when they still show it at the end of the wait
bool
SendingRights::hasWaited(Held& aHeld,
                         const std::vector<Earlier>& aEarlier,
                         TimePoint aNow) const
{
  if (aHeld.waiting && aNow < aHeld.waitStart + handoverWait()) {
    return false;
  }
  if (!elsewhereMoved(aHeld.fresh, aEarlier)) {
    return false;
  }
  if (!aHeld.waiting) {
    aHeld.waiting = true;
    aHeld.waitStart = aNow;
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
  m_history.open = m_history.open || hasWaited(m_history, {}, aNow);
  bool changed = false;
  for (auto& [key, held] : m_held) {
    if (held.open) {
      continue;
    }
    Slot& slot = m_slots.at(key);
    if (earlierSettled(slot) && !held.fresh) {
      held.open = true;
      logSlot("right-handed-over", key, m_view->id, "settled");
    } else if (hasWaited(held, slot.earlier, aNow)) {
      held.open = true;
      logSlot("right-gained", key, m_view->id, "waited");
    }
    if (held.open) {
      held.fresh = false;
      slot.earlier.clear();
      slot.forgotten = false;
      changed = true;
    }
  }
  if (changed) {
    publish();
  }
}

} // namespace toucanridge
