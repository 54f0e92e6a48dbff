#ifndef TOUCANRIDGE_RIGHTS_P_H
#define TOUCANRIDGE_RIGHTS_P_H

/// Decides whether this node may use a slot at this moment; see section 4.1 of
/// docs/design.md.

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "backend_p.h"
#include "clock_p.h"
#include "peer_state_p.h"
#include "view_p.h"

namespace toucanridge {

/// Safety margin of a handover, for scheduling delays and clock granularity
/// between the send of a request and its deadline.
constexpr std::chrono::milliseconds kHandoverMargin{ 500 };

/// @returns the longest deadline of a sub-request under these rules
Duration
longestDeadline(const RuleSet& aRules);

/// @returns how long a node neither votes nor reports settled views after its
///          start. At the end of that time every lease that its previous
///          process voted for has expired and no request of that process is
///          running.
Duration
startupQuietPeriod(const RuleSet& aRules);

/// Sending rights of one node: which of the slots placed here it may use now.
/// All members but mayUse() run on the control thread.
///
/// Lease. A node may send only while it holds a lease of duration L. A peer
/// votes for a view by naming it, as its own current view, in the
/// acknowledgement of a probe; it does not vote in the quiet period after its
/// start, see startupQuietPeriod(). The quorum of a data centre is a majority
/// of its voters, this node included. Its voters are the listed hosts without a
/// rule that takes this very host out of service. The lease lasts L from the
/// time at which the oldest probe in the newest quorum of votes for this node's
/// view was sent. One acknowledging peer is not enough: two hosts that are
/// partitioned together and read a stale host list would renew each other's
/// lease indefinitely. Votes are exclusive because a host has one view at a
/// time. In a data centre with at most one voter, a host needs one vote for its
/// view, from any listed host of any data centre. The lease of the only listed
/// host does not end, as there is no peer that could act under another view.
///
/// Handover. A newly gained slot opens when its earlier holders report settled
/// views, or 2 L + longest deadline + 500 ms after the quorum under the new
/// view. After the first L, the leases of the older view have ended. The second
/// L covers a holder that kept the slot through a view which this node skipped.
/// When the earlier holder is in another data centre, a quorum there must name
/// this view too, at the start and at the end of the wait, because a quorum in
/// this data centre proves nothing about the leases in the other one.
///
/// Several view changes in a row. Every earlier holder since the last completed
/// handover must settle, because a holder may not have taken part in each of
/// the changes. When a slot returns to this node, it does not wait for itself
/// but for the holders in between. After a start, and after a lapse of the
/// lease that is longer than L or that ends under another view, this node may
/// have missed holders: all its slots wait, and a quorum of every data centre
/// must name this view. The same holds for slots gained when revisions were
/// skipped, or soon after, because a holder under a skipped view may still be
/// sending in any data centre.
class SendingRights final
  : public RightsI
  , public ProbeAckListenerI
{
public:
  /// @param[in] aSelf name of this host
  SendingRights(const ClockI& aClock, std::string aSelf);

  /// Switches to a newer view; an older or equal one is ignored. Call it before
  /// the view is published to traffic threads, so that slots which this node
  /// loses are closed first.
  void adopt(const ViewPtr& aView);

  void onProbeAcked(const PeerState& aPeer, TimePoint aSentAt) override;

  /// Opens the slots whose handover wait is over and logs the end of a lease.
  /// Call it at least every 100 ms.
  void tick();

  /// @returns the view under which this node holds a lease, or the null view
  ///          without one
  ViewId leased() const;
  /// @returns true while the handover wait of a held slot cannot start because
  ///          acknowledgements from peers are missing
  bool needsPeerAcks() const;

  /// Callable from any thread; never blocks on the control thread.
  bool mayUse(const SlotKey& aKey) const override;

private:
  using SlotKeys = std::set<SlotKey>;
  /// The latest acknowledgement of a probe by one peer.
  struct Ack
  {
    std::uint64_t incarnation = 0;
    ViewId view;
    ViewId settled;
    ViewId leased;
    TimePoint sentAt;
  };
  struct SlotHolder
  {
    std::string host;
    std::string dataCentre;
  };
  struct EarlierHolder
  {
    SlotHolder holder;
    ViewId replacedBy; ///< the view that gave the slot to another host
  };
  struct Slot
  {
    SlotHolder holder;
    std::vector<EarlierHolder> earlier; ///< not known to have settled
    bool earlierDropped = false;        ///< `earlier` exceeded its bound
  };
  /// Progress of the handover of a slot to this node.
  struct Handover
  {
    bool open = false;
    bool earlierUnknown = true; ///< the earlier holders are not all known
    bool waiting = false;
    TimePoint waitStart;
  };

  void updateHolders(const View& aView,
                     const std::map<SlotKey, SlotHolder>& aHolders);
  TimePoint quorumLeaseEnd(TimePoint aNow) const;
  bool quorumNamedView(const std::string& aDataCentre) const;
  bool otherDataCentresNamedView(
    bool aEarlierUnknown,
    const std::vector<EarlierHolder>& aEarlier) const;
  bool updateWait(Handover& aHandover,
                  const std::vector<EarlierHolder>& aEarlier,
                  TimePoint aNow) const;
  void resetHandovers(bool aCloseOpenSlots);
  bool removeSettledHolders(Slot& aSlot) const;
  void renewLease(TimePoint aNow);
  void openSlots(TimePoint aNow);
  void publish();
  Duration handoverWait() const;

  const ClockI& m_clock;
  const std::string m_self;
  ViewPtr m_view;
  std::string m_dataCentre;
  std::map<std::string, Ack> m_acks;
  std::map<SlotKey, Slot> m_slots;
  std::map<SlotKey, Handover> m_held;
  ViewId m_leaseView; ///< view of the latest quorum
  bool m_leased = false;
  TimePoint m_leaseEnd{ Duration::min() };
  /// Handover for the whole node after a start, a lapse or skipped revisions;
  /// open once all earlier holders that may still send are known.
  Handover m_nodeHandover;
  Duration m_longestLease{ 0 };
  Duration m_longestDeadline{ 0 };

  // Read by traffic threads.
  std::shared_ptr<const SlotKeys> m_openSlots =
    std::make_shared<const SlotKeys>();
  std::atomic<Duration::rep> m_usableUntil{ Duration::min().count() };
};

} // namespace toucanridge

#endif // TOUCANRIDGE_RIGHTS_P_H
