#ifndef TOUCANRIDGE_SLOT_TABLE_P_H
#define TOUCANRIDGE_SLOT_TABLE_P_H

/// Queues and dispatches sub-requests on the slots that this node holds.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "backend_p.h"
#include "clock_p.h"
#include "view_p.h"
#include "wire_p.h"

namespace toucanridge {

/// A sub-request as it arrived at its holder.
struct SubTask
{
  std::string origin; ///< host name of the entry node
  std::shared_ptr<const SubBatch> batch;
  std::size_t item = 0; ///< index into SubBatch::items
  TimePoint deadline;

  const SubItem& subItem() const { return batch->items[item]; }
};

/// Counters of one server's queue, for status and metrics.
struct GateStatus
{
  std::string server;
  std::uint32_t held = 0; ///< slots this node holds
  std::uint32_t inUse = 0;
  std::uint32_t queued = 0;
};

class SlotTable
{
public:
  using Done = std::function<void(SubReply)>;

  /// @param[in] aSelf name of this host
  SlotTable(const ClockI& aClock,
            const ViewHolder& aViews,
            const RightsI& aRights,
            WarmthI& aWarmth,
            BackendI& aBackend,
            std::string aSelf);

  /// Queues a sub-request and sends it when a slot is free.
  /// @param[in] aDone called once; NotRun when it was shed, when its deadline
  ///            passed in the queue or when this node holds no slot
  void submit(SubTask aTask, Done aDone);

  /// Drops queued work of a query and cancels what runs of it.
  void cancel(const std::string& aOrigin, const Cancel& aCancel);

  /// Drops expired work and retries dispatch; called periodically because
  /// rights and warmth change without a reply.
  void sweep();

  std::vector<GateStatus> status() const;

  /// @returns a view such that no request under an older one is in flight or
  ///          will start; the null view while a previous process of this host
  ///          may still have requests or leases
  ViewId settled() const;

  /// @returns requests in flight to backend servers
  std::uint32_t inFlight() const { return m_inFlight; }

private:
  struct Waiting
  {
    SubTask task;
    Done done;
  };
  struct Slot
  {
    std::uint32_t index = 0;
    bool held = false;
    bool busy = false;
    ViewId sentUnder; ///< the view when the running request was taken
    std::uint64_t handle = 0;
    bool cancelled = false;
    TimePoint freeAt; ///< not to be used before, after a cancel
    SubTask task;     ///< valid while busy
  };
  /// The queue before one server.
  struct Gate
  {
    std::string server;
    std::string service;
    ViewPtr view; ///< the view that `slots` was made from
    std::vector<Slot> slots;
    std::vector<Waiting> queue; ///< best first
    mutable std::mutex mutex;
  };
  struct Send
  {
    BackendCall call;
    Waiting work;
    std::uint32_t slot = 0;
  };
  using GatePtr = std::shared_ptr<Gate>;
  /// Completions to run after the gate's mutex is released.
  using Ended = std::vector<std::pair<Waiting, SubReply>>;

  GatePtr gate(const std::string& aServer);
  void refresh(Gate& aGate) const;
  void enqueue(Gate& aGate, Waiting aWork, Ended& aEnded) const;
  static void answerExpired(Gate& aGate, TimePoint aLimit, Ended& aEnded);
  void dispatch(const GatePtr& aGate);
  bool isAllowed(const Gate& aGate) const;
  bool takeSend(Gate& aGate, Send& aSend, Ended& aEnded) const;
  bool start(const GatePtr& aGate, Send aSend);
  void putBack(const GatePtr& aGate, Send aSend);
  std::vector<GatePtr> gates() const;
  void finish(const GatePtr& aGate,
              std::uint32_t aSlot,
              const Waiting& aWork,
              BackendReply aReply);

  const ClockI& m_clock;
  const ViewHolder& m_views;
  const RightsI& m_rights;
  WarmthI& m_warmth;
  BackendI& m_backend;
  std::string m_self;
  const TimePoint m_startedAt;
  std::atomic<std::uint32_t> m_inFlight{ 0 };
  mutable std::mutex m_mutex; ///< guards m_gates only
  std::map<std::string, GatePtr> m_gates;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SLOT_TABLE_P_H
