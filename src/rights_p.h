#ifndef TOUCANRIDGE_RIGHTS_P_H
#define TOUCANRIDGE_RIGHTS_P_H

/// Decides whether this node may use a slot now; design 4.1.

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

/// Covers scheduling and clock granularity between a send and its deadline.
constexpr std::chrono::milliseconds kHandoverMargin{ 500 };

/// @returns the longest deadline of a sub-request under these rules
Duration
longestDeadline(const RuleSet& aRules);

/// @returns how long a started node neither votes nor reports settled views;
/// by then no lease that its previous process acknowledged is left, and no
/// request of that process runs
Duration
startSilence(const RuleSet& aRules);

/// Sending rights of one node. All members but mayUse() run on the control
/// thread.
///
/// Lease. The quorum of a data centre is a majority of its listed hosts, this
/// node included. The lease lasts L from the oldest probe in the newest quorum
/// of acknowledgements that name this node's own view. One acknowledging peer
/// is not enough: two hosts that are cut off together and read a stale list
/// would renew each other without end. Naming the same view makes a vote
/// exclusive, because a host has one view at a time. A host alone in its data
/// centre needs one peer anywhere with the same view. The only listed host has
/// no peer that could act under another view, so its lease does not end.
///
/// Handover. A slot gained opens when its earlier holders report settled
/// views, or 2 L + longest deadline + 500 ms after the quorum under the new
/// view. One L ends the leases of the older view; the second ends the lease
/// of a holder that kept the slot through a view which this node skipped.
/// When the earlier holder is in another data centre, a quorum there must name
/// this view too, at the start and at the end of the wait, because
/// no quorum here says anything about the leases there.
///
/// Several views in a row: every earlier holder since the last completed
/// handover must settle, since a holder may have taken no part between two
/// changes. A returning earlier holder does not wait for itself but for the
/// holders in between. A started node, and one whose lease lapsed for more than
/// L or comes back under another view, may have missed holders: all its slots
/// wait, and every data centre must show a quorum under this view. The
/// same holds for slots gained in or soon after a jump over revisions, because
/// a holder of a skipped view may go on in any data centre.
class SendingRights final
  : public RightsI
  , public PeerEvidenceI
{
public:
  /// @param[in] aSelf name of this host
  SendingRights(const ClockI& aClock, std::string aSelf);

  /// Takes a newer view. Call it before traffic threads see the view, so that
  /// a lost slot is closed first.
  void adopt(const ViewPtr& aView);

  void onProbeAcked(const PeerState& aPeer, TimePoint aSentAt) override;

  /// Opens slots whose wait is over and logs an ended lease; call it at least
  /// every 100 ms.
  void tick();

  /// @returns the view under which this node holds a lease, zeros without one
  ViewId leased() const;
  /// @returns true while a slot waits for word from another data centre
  bool wantsEvidence() const;

  /// Any thread; never waits for the control thread.
  bool mayUse(const SlotKey& aKey) const override;

private:
  using Keys = std::set<SlotKey>;
  struct Ack
  {
    std::uint64_t incarnation = 0;
    ViewId view;
    ViewId settled;
    ViewId leased;
    TimePoint sentAt;
  };
  struct Place
  {
    std::string host;
    std::string dataCentre;
  };
  struct Earlier
  {
    Place place;
    ViewId replacedBy;
  };
  struct Slot
  {
    Place holder;
    std::vector<Earlier> earlier; ///< holders not known to have settled
    bool forgotten = false;       ///< `earlier` outgrew its bound
  };
  struct Held
  {
    bool open = false;
    bool fresh = true; ///< the earlier holders are not all known
    bool waiting = false;
    TimePoint waitStart;
  };

  void moveSlots(const View& aView, const std::map<SlotKey, Place>& aPlaces);
  TimePoint quorumLease(TimePoint aNow) const;
  bool sameViewIn(const std::string& aDataCentre) const;
  bool elsewhereMoved(bool aFresh, const std::vector<Earlier>& aEarlier) const;
  bool hasWaited(Held& aHeld,
                 const std::vector<Earlier>& aEarlier,
                 TimePoint aNow) const;
  void forgetHistory(bool aClose);
  bool earlierSettled(Slot& aSlot) const;
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
  std::map<SlotKey, Held> m_held;
  ViewId m_leaseView; ///< view of the latest quorum
  bool m_leased = false;
  TimePoint m_leaseEnd{ Duration::min() };
  Held m_history; ///< open when all earlier holders that may send are known
  Duration m_longestLease{ 0 };
  Duration m_longestDeadline{ 0 };

  // Read by traffic threads.
  std::shared_ptr<const Keys> m_open = std::make_shared<const Keys>();
  std::atomic<Duration::rep> m_until{ Duration::min().count() };
};

} // namespace toucanridge

#endif // TOUCANRIDGE_RIGHTS_P_H
