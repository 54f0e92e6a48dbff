#ifndef TOUCANRIDGE_SLOT_TABLE_P_H
#define TOUCANRIDGE_SLOT_TABLE_P_H

/// Queues sub-requests per server and dispatches them on the slots that this
/// node holds.

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

/// A sub-request as received by the node that holds slots of its server.
struct SubTask
{
  std::string origin; ///< host name of the entry node
  std::shared_ptr<const SubBatch> batch;
  std::size_t item = 0; ///< index into SubBatch::items
  TimePoint deadline;

  const SubItem& subItem() const { return batch->items[item]; }
};

/// Counters of one server's slots and queue, for status and metrics.
struct ServerQueueStatus
{
  std::string server;
  std::uint32_t held = 0; ///< slots this node holds
  std::uint32_t inUse = 0;
  std::uint32_t queued = 0;
};

/// The slots that this node holds, with one queue per server. Safe from any
/// thread.
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
  /// @param[in] aDone called once, unless cancel() removes the sub-request from
  ///            the queue. The status is NotRun when the sub-request was shed,
  ///            when its deadline passed in the queue or when this node holds
  ///            no slot of the server or may use none.
  void submit(SubTask aTask, Done aDone);

  /// Removes the queued sub-requests of a query, without a reply, and cancels
  /// its running ones where the server's warmth allows it.
  void cancel(const std::string& aOrigin, const Cancel& aCancel);

  /// Answers expired sub-requests and dispatches queued ones. Called
  /// periodically because rights and warmth may change without a reply that
  /// would trigger a dispatch.
  void sweep();

  std::vector<ServerQueueStatus> status() const;

  /// @returns a view such that no request under an older view is in flight or
  ///          will start; the null view while a previous process of this host
  ///          may still have requests in flight or leases
  ViewId settled() const;

  /// @returns the number of requests in flight to backend servers
  std::uint32_t inFlight() const { return m_inFlight; }

private:
  struct PendingTask
  {
    SubTask task;
    Done done;
  };
  struct Slot
  {
    std::uint32_t index = 0;
    bool held = false;
    bool busy = false;
    ViewId viewWhenTaken; ///< current view when the request left the queue
    std::uint64_t handle = 0;
    bool cancelled = false;
    TimePoint notBefore; ///< end of the pause after a cancel
    SubTask task;        ///< valid while busy
  };
  /// The slots of one server and the sub-requests that wait for them.
  struct ServerQueue
  {
    std::string server;
    std::string service;
    ViewPtr view; ///< the view that `slots` was computed from
    std::vector<Slot> slots;
    std::vector<PendingTask> tasks; ///< next to send first
    mutable std::mutex mutex;
  };
  /// A sub-request taken from the queue and the slot reserved for it.
  struct Dispatch
  {
    BackendCall call;
    PendingTask pending;
    std::uint32_t slot = 0;
  };
  using ServerQueuePtr = std::shared_ptr<ServerQueue>;
  /// Replies to deliver after the mutex of the server queue is released.
  using Completions = std::vector<std::pair<PendingTask, SubReply>>;

  ServerQueuePtr findOrAddQueue(const std::string& aServer);
  void refreshHeldSlots(ServerQueue& aQueue) const;
  void enqueue(ServerQueue& aQueue,
               PendingTask aPending,
               Completions& aCompletions) const;
  static void answerExpired(ServerQueue& aQueue,
                            TimePoint aLimit,
                            Completions& aCompletions);
  void dispatch(const ServerQueuePtr& aQueue);
  bool mayUseAnySlot(const ServerQueue& aQueue) const;
  bool takeNext(ServerQueue& aQueue,
                Dispatch& aDispatch,
                Completions& aCompletions) const;
  bool startRequest(const ServerQueuePtr& aQueue, Dispatch aDispatch);
  void requeue(const ServerQueuePtr& aQueue, Dispatch aDispatch);
  std::vector<ServerQueuePtr> serverQueues() const;
  void finish(const ServerQueuePtr& aQueue,
              std::uint32_t aSlot,
              const PendingTask& aPending,
              BackendReply aReply);

  const ClockI& m_clock;
  const ViewHolder& m_views;
  const RightsI& m_rights;
  WarmthI& m_warmth;
  BackendI& m_backend;
  std::string m_self;
  const TimePoint m_startedAt;
  std::atomic<std::uint32_t> m_inFlight{ 0 };
  mutable std::mutex m_mutex; ///< guards only m_serverQueues
  std::map<std::string, ServerQueuePtr> m_serverQueues;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SLOT_TABLE_P_H
