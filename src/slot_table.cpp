#include "slot_table_p.h"

#include <algorithm>

#include "log_p.h"
#include "rights_p.h"

namespace toucanridge {
namespace {

/// Maximum queue length per server. At the request rates of the largest
/// deployment, the wait in a longer queue exceeds every deadline.
constexpr std::size_t kMaxQueued = 64;
/// Pause of a slot after a cancel. The adapter reports completion before the
/// server has seen the connection close. Without the pause, it happened once in
/// 90,000 requests with 2,400 cancels that a server ran one request more than
/// it has slots.
constexpr std::chrono::milliseconds kPauseAfterCancel{ 20 };
/// Queue length reported when rights and warmth permit none of this node's
/// slots, so that entry nodes prefer other holders for their next few
/// sub-requests.
constexpr std::uint32_t kQueuedOnRefusal = 4;

/// Sub-requests for which no slot is usable are answered this long before their
/// deadline, so that the entry node receives the NotRun reply in time. Covers
/// one sweep interval and the transfer of the reply.
constexpr std::chrono::milliseconds kNotRunAnswerMargin{ 30 };

SubReply
makeReply(const SubTask& aTask, SubStatus aStatus, Errc aError)
{
  SubReply reply;
  reply.query = aTask.batch->query;
  reply.part = aTask.subItem().part;
  reply.attempt = aTask.subItem().attempt;
  reply.status = aStatus;
  reply.error = static_cast<std::int32_t>(aError);
  return reply;
}

/// @returns true when `aLeft` is sent before `aRight`
bool
precedes(const SubTask& aLeft, const SubTask& aRight)
{
  if (aLeft.batch->priority != aRight.batch->priority) {
    return aLeft.batch->priority > aRight.batch->priority;
  }
  return aLeft.deadline < aRight.deadline;
}

} // namespace

SlotTable::SlotTable(const ClockI& aClock,
                     const ViewHolder& aViews,
                     const RightsI& aRights,
                     WarmthI& aWarmth,
                     BackendI& aBackend,
                     std::string aSelf)
  : m_clock(aClock)
  , m_views(aViews)
  , m_rights(aRights)
  , m_warmth(aWarmth)
  , m_backend(aBackend)
  , m_self(std::move(aSelf))
  , m_startedAt(aClock.now())
{
}

std::vector<SlotTable::ServerQueuePtr>
SlotTable::serverQueues() const
{
  std::vector<ServerQueuePtr> list;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& entry : m_serverQueues) {
    list.push_back(entry.second);
  }
  return list;
}

SlotTable::ServerQueuePtr
SlotTable::findOrAddQueue(const std::string& aServer)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  ServerQueuePtr& found = m_serverQueues[aServer];
  if (!found) {
    found = std::make_shared<ServerQueue>();
    found->server = aServer;
  }
  return found;
}

/// Updates which slots this node holds under the current view. The entries of
/// lost slots are kept, since a request may still be running on them.
void
SlotTable::refreshHeldSlots(ServerQueue& aQueue) const
{
  ViewPtr view = m_views.get();
  if (!view || view == aQueue.view) {
    return;
  }
  for (Slot& slot : aQueue.slots) {
    slot.held = false;
  }
  aQueue.view = view;
  const auto found = view->rules->serviceIndex.find(aQueue.service);
  if (found == view->rules->serviceIndex.end()) {
    return;
  }
  const ServiceRule& service = view->rules->services[found->second];
  for (const SlotPlace& place : view->placement[found->second].slots) {
    const bool isOwn = place.host != SlotPlace::kNoHost &&
                       view->hosts.hosts[place.host].name == m_self;
    const ServerRule& server = service.servers[place.server];
    if (!isOwn || server.name != aQueue.server || server.leaving) {
      continue;
    }
    const auto slot = std::find_if(
      aQueue.slots.begin(), aQueue.slots.end(), [&](const Slot& aSlot) {
        return aSlot.index == place.slot;
      });
    if (slot != aQueue.slots.end()) {
      slot->held = true;
    } else {
      Slot added;
      added.index = place.slot;
      added.held = true;
      aQueue.slots.push_back(added);
    }
  }
}

/// Inserts a sub-request by priority and deadline. If the class then exceeds
/// its share of the queue, the class's last sub-request in this order is shed;
/// else, if the queue is too long, the queue's last one is.
void
SlotTable::enqueue(ServerQueue& aQueue,
                   PendingTask aPending,
                   Completions& aCompletions) const
{
  const auto shed = [&aCompletions](PendingTask aVictim) {
    SubReply reply =
      makeReply(aVictim.task, SubStatus::NotRun, Errc::Overloaded);
    aCompletions.emplace_back(std::move(aVictim), std::move(reply));
  };
  const std::string queryClass = aPending.task.batch->queryClass;
  const auto isSameClass = [&queryClass](const PendingTask& aQueued) {
    return aQueued.task.batch->queryClass == queryClass;
  };
  const auto position =
    std::upper_bound(aQueue.tasks.begin(),
                     aQueue.tasks.end(),
                     aPending,
                     [](const PendingTask& aLeft, const PendingTask& aRight) {
                       return precedes(aLeft.task, aRight.task);
                     });
  aQueue.tasks.insert(position, std::move(aPending));
  const auto sameClassCount =
    std::count_if(aQueue.tasks.begin(), aQueue.tasks.end(), isSameClass);
  const double share =
    aQueue.view ? aQueue.view->rules->shareOf(queryClass).atMost : 1.0;
  if (static_cast<double>(sameClassCount) > std::max(1.0, share * kMaxQueued)) {
    const auto found =
      std::find_if(aQueue.tasks.rbegin(), aQueue.tasks.rend(), isSameClass);
    PendingTask last = std::move(*found);
    aQueue.tasks.erase(std::next(found).base());
    shed(std::move(last));
  } else if (aQueue.tasks.size() > kMaxQueued) {
    PendingTask last = std::move(aQueue.tasks.back());
    aQueue.tasks.pop_back();
    shed(std::move(last));
  }
}

void
SlotTable::submit(SubTask aTask, Done aDone)
{
  const std::string service = aTask.subItem().service;
  const ServerQueuePtr queue = findOrAddQueue(aTask.subItem().server);
  Completions completions;
  {
    const std::lock_guard<std::mutex> lock(queue->mutex);
    queue->service = service;
    refreshHeldSlots(*queue);
    const bool holdsSlot =
      std::any_of(queue->slots.begin(),
                  queue->slots.end(),
                  [](const Slot& aSlot) { return aSlot.held; });
    if (!holdsSlot) {
      SubReply reply = makeReply(aTask, SubStatus::NotRun, Errc::NotHolder);
      completions.emplace_back(
        PendingTask{ std::move(aTask), std::move(aDone) }, std::move(reply));
    } else {
      enqueue(*queue, { std::move(aTask), std::move(aDone) }, completions);
    }
  }
  for (auto& [pending, reply] : completions) {
    pending.done(std::move(reply));
  }
  dispatch(queue);
}

/// @returns true when warmth and rights permit this node to use at least one of
///          its slots, free or busy
bool
SlotTable::mayUseAnySlot(const ServerQueue& aQueue) const
{
  return std::any_of(
    aQueue.slots.begin(), aQueue.slots.end(), [&](const Slot& aSlot) {
      const SlotKey key{ aQueue.server, aSlot.index };
      return aSlot.held && m_warmth.mayUse(key, 0) && m_rights.mayUse(key);
    });
}

/// Answers the queued sub-requests whose deadline is not after `aLimit`.
void
SlotTable::answerExpired(ServerQueue& aQueue,
                         TimePoint aLimit,
                         Completions& aCompletions)
{
  const auto expired = [aLimit](const PendingTask& aPending) {
    return aPending.task.deadline <= aLimit;
  };
  for (PendingTask& pending : aQueue.tasks) {
    if (expired(pending)) {
      SubReply reply =
        makeReply(pending.task, SubStatus::NotRun, Errc::TimedOut);
      aCompletions.emplace_back(pending, std::move(reply));
    }
  }
  aQueue.tasks.erase(
    std::remove_if(aQueue.tasks.begin(), aQueue.tasks.end(), expired),
    aQueue.tasks.end());
}

/// Takes the first sub-request from the queue and reserves a slot for it.
/// @returns false when nothing can be sent now
bool
SlotTable::takeNext(ServerQueue& aQueue,
                    Dispatch& aDispatch,
                    Completions& aCompletions) const
{
  refreshHeldSlots(aQueue);
  const TimePoint now = m_clock.now();
  answerExpired(aQueue, now, aCompletions);
  if (aQueue.tasks.empty()) {
    return false;
  }
  if (!mayUseAnySlot(aQueue)) {
    // Refused at once, because another holder may be permitted to use this
    // server or one of its replicas.
    for (PendingTask& pending : aQueue.tasks) {
      SubReply reply =
        makeReply(pending.task, SubStatus::NotRun, Errc::NotHolder);
      reply.queued = kQueuedOnRefusal;
      aCompletions.emplace_back(std::move(pending), std::move(reply));
    }
    aQueue.tasks.clear();
    return false;
  }
  const auto inUse = static_cast<std::uint32_t>(std::count_if(
    aQueue.slots.begin(), aQueue.slots.end(), [](const Slot& aSlot) {
      return aSlot.busy;
    }));
  for (Slot& slot : aQueue.slots) {
    const SlotKey key{ aQueue.server, slot.index };
    if (slot.busy || !slot.held || now < slot.notBefore ||
        !m_warmth.mayUse(key, inUse) || !m_rights.mayUse(key)) {
      continue;
    }
    aDispatch.pending = std::move(aQueue.tasks.front());
    aQueue.tasks.erase(aQueue.tasks.begin());
    const SubTask& task = aDispatch.pending.task;
    m_warmth.onSent(key);
    slot.busy = true;
    // This view was loaded before the rights were checked, so it is never newer
    // than the view that the rights are based on.
    slot.viewWhenTaken = aQueue.view->id;
    slot.handle = 0;
    slot.cancelled = false;
    slot.task = task;
    aDispatch.slot = slot.index;
    aDispatch.call = { key,
                       task.subItem().service,
                       task.batch->requestId,
                       task.subItem().attempt,
                       task.batch->snapshot,
                       task.batch->idempotent,
                       task.deadline - now,
                       SharedBody(task.batch, &task.batch->body) };
    return true;
  }
  if (inUse == 0) {
    answerExpired(aQueue, now + kNotRunAnswerMargin, aCompletions);
  }
  return false;
}

void
SlotTable::dispatch(const ServerQueuePtr& aQueue)
{
  while (true) {
    Dispatch next;
    Completions completions;
    bool taken = false;
    {
      const std::lock_guard<std::mutex> lock(aQueue->mutex);
      taken = takeNext(*aQueue, next, completions);
    }
    for (auto& [pending, reply] : completions) {
      pending.done(std::move(reply));
    }
    if (!taken) {
      return;
    }
    if (!startRequest(aQueue, std::move(next))) {
      return;
    }
  }
}

/// Frees the reserved slot of a sub-request that was not sent and queues the
/// sub-request again.
void
SlotTable::requeue(const ServerQueuePtr& aQueue, Dispatch aDispatch)
{
  Completions completions;
  {
    const std::lock_guard<std::mutex> lock(aQueue->mutex);
    for (Slot& slot : aQueue->slots) {
      if (slot.index == aDispatch.slot) {
        slot.busy = false;
      }
    }
    enqueue(*aQueue, std::move(aDispatch.pending), completions);
  }
  for (auto& [pending, reply] : completions) {
    pending.done(std::move(reply));
  }
}

/// Sends a request. Queues it again instead when the right or the deadline has
/// expired since the request was taken, as after a pause of the process.
/// @returns false when it was not sent
bool
SlotTable::startRequest(const ServerQueuePtr& aQueue, Dispatch aDispatch)
{
  const TimePoint now = m_clock.now();
  if (aDispatch.pending.task.deadline <= now ||
      !m_rights.mayUse(aDispatch.call.key)) {
    requeue(aQueue, std::move(aDispatch));
    return false;
  }
  aDispatch.call.timeLeft = aDispatch.pending.task.deadline - now;
  ++m_inFlight;
  if (logEnabled(LogLevel::Debug)) {
    logWrite(LogLevel::Debug,
             LogLine("dispatch")
               .add("request", aDispatch.call.requestId)
               .add("attempt", aDispatch.call.attempt)
               .add("server", aDispatch.call.key.server)
               .add("slot", aDispatch.call.key.slot));
  }
  const std::uint32_t slotIndex = aDispatch.slot;
  const auto batch = aDispatch.pending.task.batch;
  const std::size_t item = aDispatch.pending.task.item;
  const std::uint64_t handle = m_backend.send(
    std::move(aDispatch.call),
    [this, aQueue, slotIndex, pending = std::move(aDispatch.pending)](
      const BackendReply& aReply) {
      finish(aQueue, slotIndex, pending, aReply);
    });
  bool cancelled = false;
  {
    const std::lock_guard<std::mutex> lock(aQueue->mutex);
    for (Slot& slot : aQueue->slots) {
      // The reply may already have arrived and the slot may be running another
      // request.
      if (slot.index == slotIndex && slot.busy && slot.task.batch == batch &&
          slot.task.item == item) {
        slot.handle = handle;
        cancelled = slot.cancelled;
      }
    }
  }
  if (cancelled) {
    m_backend.cancel(handle);
  }
  return true;
}

void
SlotTable::finish(const ServerQueuePtr& aQueue,
                  std::uint32_t aSlot,
                  const PendingTask& aPending,
                  BackendReply aReply)
{
  --m_inFlight;
  {
    const std::lock_guard<std::mutex> lock(aQueue->mutex);
    for (const Slot& slot : aQueue->slots) {
      aReply.cancelled =
        aReply.cancelled || (slot.index == aSlot && slot.cancelled);
    }
  }
  m_warmth.onReply({ aQueue->server, aSlot }, aReply);
  SubReply reply = makeReply(aPending.task, aReply.status, aReply.error);
  reply.body = aReply.body;
  reply.snapshot = aReply.snapshot;
  reply.serverIncarnation = aReply.incarnation;
  // A failed connect is the only NotRun that cost the server no work.
  reply.reachedServer =
    aReply.status != SubStatus::NotRun || aReply.error != Errc::Unreachable;
  {
    const std::lock_guard<std::mutex> lock(aQueue->mutex);
    reply.queued = static_cast<std::uint32_t>(aQueue->tasks.size());
    for (Slot& slot : aQueue->slots) {
      if (slot.index == aSlot) {
        slot.busy = false;
        if (aReply.cancelled) {
          slot.notBefore = m_clock.now() + kPauseAfterCancel;
        }
        slot.task = {};
      }
    }
  }
  aPending.done(std::move(reply));
  dispatch(aQueue);
}

void
SlotTable::cancel(const std::string& aOrigin, const Cancel& aCancel)
{
  const auto matches = [&](const SubTask& aTask) {
    return aTask.batch->query == aCancel.query && aTask.origin == aOrigin &&
           (aCancel.part == Cancel::kAllParts ||
            (aTask.subItem().part == aCancel.part &&
             aTask.subItem().attempt == aCancel.attempt));
  };
  std::vector<std::uint64_t> running;
  for (const ServerQueuePtr& queue : serverQueues()) {
    const std::lock_guard<std::mutex> lock(queue->mutex);
    auto& tasks = queue->tasks;
    tasks.erase(std::remove_if(tasks.begin(),
                               tasks.end(),
                               [&](const PendingTask& aPending) {
                                 return matches(aPending.task);
                               }),
                tasks.end());
    for (Slot& slot : queue->slots) {
      if (!slot.busy || slot.cancelled || !matches(slot.task) ||
          !m_warmth.mayCancel(queue->server)) {
        continue;
      }
      slot.cancelled = true;
      // If send() has not returned a handle yet, startRequest() cancels.
      if (slot.handle != 0) {
        running.push_back(slot.handle);
      }
    }
  }
  for (const std::uint64_t handle : running) {
    m_backend.cancel(handle);
  }
}

void
SlotTable::sweep()
{
  for (const ServerQueuePtr& queue : serverQueues()) {
    {
      const std::lock_guard<std::mutex> lock(queue->mutex);
      if (queue->tasks.empty()) {
        continue;
      }
    }
    dispatch(queue);
  }
}

ViewId
SlotTable::settled() const
{
  // The view is read first: a request that this loop misses is sent later and
  // is checked against rights at least as new as this view.
  const ViewPtr view = m_views.get();
  if (!view || m_clock.now() < m_startedAt + startupQuietPeriod(*view->rules)) {
    return {};
  }
  ViewId oldest = view->id;
  for (const ServerQueuePtr& queue : serverQueues()) {
    const std::lock_guard<std::mutex> lock(queue->mutex);
    for (const Slot& slot : queue->slots) {
      if (slot.busy) {
        oldest.rules = std::min(oldest.rules, slot.viewWhenTaken.rules);
        oldest.hosts = std::min(oldest.hosts, slot.viewWhenTaken.hosts);
      }
    }
  }
  return oldest;
}

std::vector<ServerQueueStatus>
SlotTable::status() const
{
  std::vector<ServerQueueStatus> list;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [server, queue] : m_serverQueues) {
    const std::lock_guard<std::mutex> queueLock(queue->mutex);
    ServerQueueStatus status;
    status.server = server;
    status.queued = static_cast<std::uint32_t>(queue->tasks.size());
    for (const Slot& slot : queue->slots) {
      status.held += slot.held ? 1 : 0;
      status.inUse += slot.busy ? 1 : 0;
    }
    list.push_back(status);
  }
  return list;
}

} // namespace toucanridge
