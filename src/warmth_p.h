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

/// A message to another node.
struct WarmthMessage
{
  std::string host;
  std::variant<WarmthReport, WarmthGrant> body;
};

/// State of a server's warmth at this node, for status.
struct WarmthStatus
{
  std::string server;
  bool owner = false;
  bool warm = false;
  std::uint32_t allowance = 0; ///< slots in use over all nodes, at the owner
};

/// The holder of slot 0 owns a server's warmth while it has the right to use
/// that slot. The owner allows `cold-slots` of its own slots first and one
/// more slot after each run of good replies. Slots of other holders are
/// granted by leases; a lease is dated by the holder's request, so it never
/// outlasts what the owner assumes. Any thread may call.
class Warmth final : public WarmthI
{
public:
  /// Duration of a lease.
  static constexpr std::chrono::milliseconds kLease{ 500 };
  /// A server seen warm counts as warm for this long after a good reply. A
  /// restart takes longer than this before it serves again.
  static constexpr std::chrono::milliseconds kEvidenceAge{ 1000 };
  /// Good replies before the owner allows one slot more.
  static constexpr std::uint32_t kRun = 64;

  Warmth(const ClockI& aClock,
         const ViewHolder& aViews,
         const RightsI& aRights,
         std::string aSelf);

  // WarmthI
  bool mayUse(const SlotKey& aKey, std::uint32_t aInUse) const override;
  bool mayCancel(const std::string& aServer) const override;
  void onSent(const SlotKey& aKey) override;
  void onReply(const SlotKey& aKey, const BackendReply& aReply) override;

  void onReport(const std::string& aHost, const WarmthReport& aReport);
  void onGrant(const std::string& aHost, const WarmthGrant& aGrant);

  /// Does periodic work.
  /// @returns messages to send, in order
  std::vector<WarmthMessage> tick();

  std::vector<WarmthStatus> status() const;

private:
  struct Server
  {
    explicit Server(const ClockI& aClock);

    // From the view.
    std::vector<std::string> holders; ///< host by slot, empty for none
    std::uint32_t coldSlots = 1;
    Duration longestRequest{ 0 };

    // As a holder.
    std::uint64_t incarnation = 0; ///< 0 while unknown
    bool seenWarm = false;
    TimePoint lastGood;
    std::uint64_t leaseMask = 0; ///< one bit a slot
    TimePoint leaseUntil;
    bool leaseWarm = false; ///< the grant said that the server is warm
    std::uint64_t leaseIncarnation = 0;
    std::uint64_t sequence = 0; ///< of the last report
    std::uint64_t barrier = 0;  ///< grants for reports up to this are void
    TimePoint reported;
    std::uint64_t round = 0; ///< of the owner's last question
    bool cold = false;       ///< signs to report
    bool asked = false;
    bool wanted = false;
    std::uint32_t inFlight = 0;
    std::uint32_t good = 0; ///< since the last report
    std::uint32_t bad = 0;
    LatencyTracker median;

    // As the owner.
    bool owner = false;
    bool settling = false;
    bool revoking = false; ///< the round began with signs of cold
    std::uint64_t ownRound = 0;
    TimePoint settleUntil;
    TimePoint nextQuestion;
    std::set<std::string> unsettled;
    std::uint32_t allowance = 0;
    std::uint32_t run = 0;
    std::uint32_t runReplies =
      0;                ///< replies since the last raise, good or slow
    TimePoint evidence; ///< last good reply at any node
  };

  void refresh() const;
  Server* find(const std::string& aServer) const;
  bool isSeenWarm(const Server& aServer) const;
  bool mayUseOwnSlots(const std::string& aName, const Server& aServer) const;
  void checkOwner(const std::string& aName, Server& aServer) const;
  void beginSettling(Server& aServer, bool aRevoking) const;
  void settle(const std::string& aName, Server& aServer) const;
  void turnCold(Server& aServer, std::uint64_t aIncarnation) const;
  void takeGood(Server& aServer, const BackendReply& aReply) const;
  void raise(Server& aServer, std::uint32_t aGood) const;
  std::uint32_t firstAllowance(const Server& aServer) const;
  std::uint64_t allowedSlots(const Server& aServer) const;
  bool needsReport(const Server& aServer) const;
  void report(const std::string& aName, Server& aServer);
  void question(const std::string& aName, Server& aServer);

  const ClockI& m_clock;
  const ViewHolder& m_views;
  const RightsI& m_rights;
  const std::string m_self;
  mutable std::mutex m_mutex; ///< guards what follows
  mutable ViewPtr m_view;
  mutable std::map<std::string, Server> m_servers; ///< with a slot held here
  std::vector<WarmthMessage> m_outbox;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_WARMTH_P_H
