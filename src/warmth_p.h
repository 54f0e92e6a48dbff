#ifndef TOUCANRIDGE_WARMTH_P_H
#define TOUCANRIDGE_WARMTH_P_H

/// Limits the load of backend servers that are not known to be warm.

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "backend_p.h"
#include "clock_p.h"
#include "latency_p.h"
#include "view_p.h"
#include "wire_p.h"

namespace toucanridge {

/// A message to the node on another host.
struct WarmthMessage
{
  std::string host;
  std::variant<WarmthReport, WarmthGrant> body;
};

/// What this node knows of a server's warmth.
struct WarmthStatus
{
  std::string server;
  bool owner = false;
  bool warm = false;
  std::uint32_t allowance = 0; ///< slots that the owner allows, over all nodes
};

/// Limits the slots in use of each server that may be cold. The holder of a
/// server's slot 0 is the owner of its warmth while it has the right to use
/// that slot. The owner allows `cold-slots` of its own slots first, and one
/// more slot after each kGoodRepliesPerSlot good replies.
///
/// The owner grants leases on the slots of other holders. A lease starts when
/// the holder sent the report that requests it, not when the grant arrives, so
/// it never outlasts what the owner assumes.
///
/// A new owner that has not seen the server warm, or an owner whose server
/// appears cold, settles: it waits until no other holder can be using the
/// server. It sends them report requests and allows no slots meanwhile. A node
/// that has seen the server warm may use all its slots without a lease.
/// Thread-safe.
class Warmth final : public WarmthI
{
public:
  static constexpr std::chrono::milliseconds kLeaseDuration{ 500 };
  /// A server seen warm counts as warm for this long after a good reply. A
  /// server that restarts takes longer than this until it serves again.
  static constexpr std::chrono::milliseconds kMaxEvidenceAge{ 1000 };
  /// Number of good replies after which the owner allows one more slot.
  static constexpr std::uint32_t kGoodRepliesPerSlot = 64;

  Warmth(const ClockI& aClock,
         const ViewHolder& aViews,
         const RightsI& aRights,
         std::string aSelf);

  // WarmthI
  bool mayUse(const SlotKey& aKey, std::uint32_t aInUse) const override;
  bool mayCancel(const std::string& aServer) const override;
  void onSent(const SlotKey& aKey) override;
  void onReply(const SlotKey& aKey, const BackendReply& aReply) override;

  /// Handles a holder's report, as the owner.
  void onReport(const std::string& aHost, const WarmthReport& aReport);
  /// Handles a lease or a report request from the owner.
  void onGrant(const std::string& aHost, const WarmthGrant& aGrant);

  /// Does periodic work: updates owners, and queues reports and report
  /// requests.
  /// @returns messages to send, in order
  std::vector<WarmthMessage> tick();

  std::vector<WarmthStatus> status() const;

private:
  struct Server
  {
    explicit Server(const ClockI& aClock);

    // Set from the view.
    std::vector<std::string> holders; ///< host by slot, empty for none
    std::uint32_t coldSlots = 1;
    Duration longestRequest{ 0 };

    // State as a holder.
    std::uint64_t incarnation = 0; ///< 0 while unknown
    bool seenWarm = false; ///< a good reply came while all slots were allowed
    TimePoint lastGoodReply;
    std::uint64_t leaseMask = 0; ///< one bit per slot
    TimePoint leaseUntil;
    bool leaseWarm = false; ///< WarmthGrant::warm of the lease
    std::uint64_t leaseIncarnation = 0;
    std::uint64_t sequence = 0; ///< of the last report
    /// Grants that answer reports up to this sequence are ignored.
    std::uint64_t grantsVoidUpTo = 0;
    TimePoint lastReportAt;
    std::uint64_t ownerRound = 0; ///< of the owner's last report request
    bool coldUnreported = false;  ///< signs of cold since the last report
    bool reportRequested = false; ///< by the owner
    bool leaseWanted = false;     ///< a send was refused since the last report
    std::uint32_t inFlight = 0;
    std::uint32_t goodSinceReport = 0; ///< good replies
    std::uint32_t badSurplus = 0; ///< bad replies less good ones, at least 0
    LatencyTracker medianLatency; ///< while seen warm

    // State as the owner.
    bool isOwner = false;
    bool settling = false; ///< other holders may still use the server
    bool revoking = false; ///< settling began because of signs of cold
    /// Identifies the latest settling in report requests: clock time at its
    /// start, 0 for none.
    std::uint64_t settleId = 0;
    TimePoint settleDeadline;
    TimePoint nextReportRequestAt;
    std::set<std::string> unsettledHolders;
    std::uint32_t allowance = 0;
    /// Good replies since the last raise, less kBadReplyPenalty per bad one.
    std::uint32_t raiseScore = 0;
    /// Replies since the last raise, good or slow.
    std::uint32_t repliesSinceRaise = 0;
    TimePoint lastEvidence; ///< last good reply at any node
  };

  void applyView() const;
  Server* findServer(const std::string& aServer) const;
  bool isSeenWarm(const Server& aServer) const;
  bool hasRightsToAllOwnSlots(const std::string& aName,
                              const Server& aServer) const;
  void updateOwner(const std::string& aName, Server& aServer) const;
  void beginSettling(Server& aServer, bool aRevoking) const;
  void endSettlingIfDone(const std::string& aName, Server& aServer) const;
  void markCold(Server& aServer, std::uint64_t aIncarnation) const;
  void onGoodReply(Server& aServer, const BackendReply& aReply) const;
  void raiseAllowance(Server& aServer, std::uint32_t aGood) const;
  std::uint32_t initialAllowance(const Server& aServer) const;
  std::uint64_t allowedSlots(const Server& aServer) const;
  bool needsReport(const Server& aServer) const;
  void queueReport(const std::string& aName, Server& aServer);
  void queueReportRequests(const std::string& aName, Server& aServer);

  const ClockI& m_clock;
  const ViewHolder& m_views;
  const RightsI& m_rights;
  const std::string m_self;
  mutable std::mutex m_mutex; ///< guards what follows
  mutable ViewPtr m_view;
  /// By name; applyView() rebuilds it, also from const methods.
  mutable std::map<std::string, Server> m_servers;
  std::vector<WarmthMessage> m_outbox;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_WARMTH_P_H
