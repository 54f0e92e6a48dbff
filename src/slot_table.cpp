#include "slot_table_p.h"

#include <algorithm>

#include "log_p.h"
#include "rights_p.h"

namespace toucanridge {
namespace {

/// Sub-requests that may wait before one server; at the rates of the largest
/// deployment a longer queue outlasts every deadline.
constexpr std::size_t kMaxQueued = 64;
/// Pause of a slot after a cancel. The adapter reports the end before the
/// server has seen the connection close; without a pause a server saw one
/// request more than its slots once in 90,000 requests with 2,400 cancels.
constexpr std::chrono::milliseconds kCancelGrace{ 20 };
/// Queue length reported with a refusal for want of a grant, so that entry
/// nodes prefer other holders for their next few choices.
constexpr std::uint32_t kQueuedWhenRefused = 4;

/// Work that no slot may run is answered this long before its deadline, so
/// that the entry node still learns that it did not run. Covers one sweep and
/// the way back.
constexpr std::chrono::milliseconds kAnswerMargin{ 30 };

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

bool
isBefore(const SubTask& aLeft, const SubTask& aRight)
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

std::vector<SlotTable::GatePtr>
SlotTable::gates() const
{
  std::vector<GatePtr> list;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& entry : m_gates) {
    list.push_back(entry.second);
  }
  return list;
}

SlotTable::GatePtr
SlotTable::gate(const std::string& aServer)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  GatePtr& found = m_gates[aServer];
  if (!found) {
    found = std::make_shared<Gate>();
    found->server = aServer;
  }
  return found;
}

/// Marks the slots that this node holds in the current view. A slot that is
/// busy keeps its entry until its request ends.
void
SlotTable::refresh(Gate& aGate) const
{
  ViewPtr view = m_views.get();
  if (!view || view == aGate.view) {
    return;
  }
  for (Slot& slot : aGate.slots) {
    slot.held = false;
  }
  aGate.view = view;
  const auto found = view->rules->serviceIndex.find(aGate.service);
  if (found == view->rules->serviceIndex.end()) {
    return;
  }
  const ServiceRule& service = view->rules->services[found->second];
  for (const SlotPlace& place : view->placement[found->second].slots) {
    const bool mine = place.host != SlotPlace::kNoHost &&
                      view->hosts.hosts[place.host].name == m_self;
    const ServerRule& server = service.servers[place.server];
    if (!mine || server.name != aGate.server || server.leaving) {
      continue;
    }
    const auto slot = std::find_if(
      aGate.slots.begin(), aGate.slots.end(), [&](const Slot& aSlot) {
        return aSlot.index == place.slot;
      });
    if (slot != aGate.slots.end()) {
      slot->held = true;
    } else {
      Slot added;
      added.index = place.slot;
      added.held = true;
      aGate.slots.push_back(added);
    }
  }
}

/// Inserts by priority and deadline. When the queue is full, or the class
/// fills its share, the last in that order is shed.
void
SlotTable::enqueue(Gate& aGate, Waiting aWork, Ended& aEnded) const
{
  const auto shed = [&aEnded](Waiting aVictim) {
    SubReply reply =
      makeReply(aVictim.task, SubStatus::NotRun, Errc::Overloaded);
    aEnded.emplace_back(std::move(aVictim), std::move(reply));
  };
  const std::string queryClass = aWork.task.batch->queryClass;
  const auto ofClass = [&queryClass](const Waiting& aWaiting) {
    return aWaiting.task.batch->queryClass == queryClass;
  };
  const auto position =
    std::upper_bound(aGate.queue.begin(),
                     aGate.queue.end(),
                     aWork,
                     [](const Waiting& a_, const Waiting& aRight) {
                       return isBefore(a_.task, aRight.task);
                     });
  aGate.queue.insert(position, std::move(aWork));
  const auto sameClass =
    std::count_if(aGate.queue.begin(), aGate.queue.end(), ofClass);
  const double share =
    aGate.view ? aGate.view->rules->shareOf(queryClass).atMost : 1.0;
  if (static_cast<double>(sameClass) > std::max(1.0, share * kMaxQueued)) {
    const auto found =
      std::find_if(aGate.queue.rbegin(), aGate.queue.rend(), ofClass);
    Waiting last = std::move(*found);
    aGate.queue.erase(std::next(found).base());
    shed(std::move(last));
  } else if (aGate.queue.size() > kMaxQueued) {
    Waiting last = std::move(aGate.queue.back());
    aGate.queue.pop_back();
    shed(std::move(last));
  }
}

void
SlotTable::submit(SubTask aTask, Done aDone)
{
  const std::string service = aTask.subItem().service;
  const GatePtr target = gate(aTask.subItem().server);
  Ended ended;
  {
    const std::lock_guard<std::mutex> lock(target->mutex);
    target->service = service;
    refresh(*target);
    const bool holds =
      std::any_of(target->slots.begin(),
                  target->slots.end(),
                  [](const Slot& aSlot) { return aSlot.held; });
    if (!holds) {
      SubReply reply = makeReply(aTask, SubStatus::NotRun, Errc::NotHolder);
      ended.emplace_back(Waiting{ std::move(aTask), std::move(aDone) },
                         std::move(reply));
    } else {
      enqueue(*target, { std::move(aTask), std::move(aDone) }, ended);
    }
  }
  for (auto& [work, reply] : ended) {
    work.done(std::move(reply));
  }
  dispatch(target);
}

/// @returns true when warmth and rights let this node use any of its slots,
///          free or busy
bool
SlotTable::isAllowed(const Gate& aGate) const
{
  return std::any_of(
    aGate.slots.begin(), aGate.slots.end(), [&](const Slot& aSlot) {
      const SlotKey key{ aGate.server, aSlot.index };
      return aSlot.held && m_warmth.mayUse(key, 0) && m_rights.mayUse(key);
    });
}

/// Answers the work whose deadline is not after a time point.
void
SlotTable::answerExpired(Gate& aGate, TimePoint aLimit, Ended& aEnded)
{
  const auto expired = [aLimit](const Waiting& aWork) {
    return aWork.task.deadline <= aLimit;
  };
  for (Waiting& work : aGate.queue) {
    if (expired(work)) {
      SubReply reply = makeReply(work.task, SubStatus::NotRun, Errc::TimedOut);
      aEnded.emplace_back(work, std::move(reply));
    }
  }
  aGate.queue.erase(
    std::remove_if(aGate.queue.begin(), aGate.queue.end(), expired),
    aGate.queue.end());
}

/// Takes the best waiting request that may be sent now.
/// @returns false when nothing can be sent
bool
SlotTable::takeSend(Gate& aGate, Send& aSend, Ended& aEnded) const
{
  refresh(aGate);
  const TimePoint now = m_clock.now();
  answerExpired(aGate, now, aEnded);
  if (aGate.queue.empty()) {
    return false;
  }
  if (!isAllowed(aGate)) {
    // Another holder may be allowed to serve this server or its replicas.
    for (Waiting& work : aGate.queue) {
      SubReply reply = makeReply(work.task, SubStatus::NotRun, Errc::NotHolder);
      reply.queued = kQueuedWhenRefused;
      aEnded.emplace_back(std::move(work), std::move(reply));
    }
    aGate.queue.clear();
    return false;
  }
  const auto inUse = static_cast<std::uint32_t>(std::count_if(
    aGate.slots.begin(), aGate.slots.end(), [](const Slot& aSlot) {
      return aSlot.busy;
    }));
  for (Slot& slot : aGate.slots) {
    const SlotKey key{ aGate.server, slot.index };
    if (slot.busy || !slot.held || now < slot.freeAt ||
        !m_warmth.mayUse(key, inUse) || !m_rights.mayUse(key)) {
      continue;
    }
    aSend.work = std::move(aGate.queue.front());
    aGate.queue.erase(aGate.queue.begin());
    const SubTask& task = aSend.work.task;
    m_warmth.onSent(key);
    slot.busy = true;
    // Loaded before the rights were read, so never newer than they were.
    slot.sentUnder = aGate.view->id;
    slot.handle = 0;
    slot.cancelled = false;
    slot.task = task;
    aSend.slot = slot.index;
    aSend.call = { key,
                   task.subItem().service,
                   task.batch->requestId,
                   task.subItem().attempt,
                   task.batch->snapshot,
                   task.batch->idempotent,
                   task.deadline - now,
                   task.batch->body };
    return true;
  }
  if (inUse == 0) {
    answerExpired(aGate, now + kAnswerMargin, aEnded);
  }
  return false;
}

void
SlotTable::dispatch(const GatePtr& aGate)
{
  while (true) {
    Send send;
    Ended ended;
    bool sending = false;
    {
      const std::lock_guard<std::mutex> lock(aGate->mutex);
      sending = takeSend(*aGate, send, ended);
    }
    for (auto& [work, reply] : ended) {
      work.done(std::move(reply));
    }
    if (!sending) {
      return;
    }
    if (!start(aGate, std::move(send))) {
      return;
    }
  }
}

/// Frees the slot of a request that was not sent and queues the request again.
void
SlotTable::putBack(const GatePtr& aGate, Send aSend)
{
  Ended ended;
  {
    const std::lock_guard<std::mutex> lock(aGate->mutex);
    for (Slot& slot : aGate->slots) {
      if (slot.index == aSend.slot) {
        slot.busy = false;
      }
    }
    enqueue(*aGate, std::move(aSend.work), ended);
  }
  for (auto& [work, reply] : ended) {
    work.done(std::move(reply));
  }
}

/// Sends a request, or queues it again when the process was paused since the
/// request was taken and the right or the deadline has passed.
/// @returns false when it was not sent
bool
SlotTable::start(const GatePtr& aGate, Send aSend)
{
  const TimePoint now = m_clock.now();
  if (aSend.work.task.deadline <= now || !m_rights.mayUse(aSend.call.key)) {
    putBack(aGate, std::move(aSend));
    return false;
  }
  aSend.call.timeLeft = aSend.work.task.deadline - now;
  ++m_inFlight;
  if (logEnabled(LogLevel::Debug)) {
    logWrite(LogLevel::Debug,
             LogLine("dispatch")
               .add("request", aSend.call.requestId)
               .add("attempt", aSend.call.attempt)
               .add("server", aSend.call.key.server)
               .add("slot", aSend.call.key.slot));
  }
  const std::uint32_t slotIndex = aSend.slot;
  const auto batch = aSend.work.task.batch;
  const std::size_t item = aSend.work.task.item;
  const std::uint64_t handle = m_backend.send(
    std::move(aSend.call),
    [this, aGate, slotIndex, work = std::move(aSend.work)](
      const BackendReply& aReply) { finish(aGate, slotIndex, work, aReply); });
  bool cancelled = false;
  {
    const std::lock_guard<std::mutex> lock(aGate->mutex);
    for (Slot& slot : aGate->slots) {
      // The reply may have come already and the slot serve another request.
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
SlotTable::finish(const GatePtr& aGate,
                  std::uint32_t aSlot,
                  const Waiting& aWork,
                  BackendReply aReply)
{
  --m_inFlight;
  {
    const std::lock_guard<std::mutex> lock(aGate->mutex);
    for (const Slot& slot : aGate->slots) {
      aReply.cancelled =
        aReply.cancelled || (slot.index == aSlot && slot.cancelled);
    }
  }
  m_warmth.onReply({ aGate->server, aSlot }, aReply);
  SubReply reply = makeReply(aWork.task, aReply.status, aReply.error);
  reply.body = aReply.body;
  reply.snapshot = aReply.snapshot;
  reply.serverIncarnation = aReply.incarnation;
  // A failed connect is the one NotRun for which the server did nothing.
  reply.reachedServer =
    aReply.status != SubStatus::NotRun || aReply.error != Errc::Unreachable;
  {
    const std::lock_guard<std::mutex> lock(aGate->mutex);
    reply.queued = static_cast<std::uint32_t>(aGate->queue.size());
    for (Slot& slot : aGate->slots) {
      if (slot.index == aSlot) {
        slot.busy = false;
        if (aReply.cancelled) {
          slot.freeAt = m_clock.now() + kCancelGrace;
        }
        slot.task = {};
      }
    }
  }
  aWork.done(std::move(reply));
  dispatch(aGate);
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
  for (const GatePtr& target : gates()) {
    const std::lock_guard<std::mutex> lock(target->mutex);
    auto& queue = target->queue;
    queue.erase(std::remove_if(queue.begin(),
                               queue.end(),
                               [&](const Waiting& aWaiting) {
                                 return matches(aWaiting.task);
                               }),
                queue.end());
    for (Slot& slot : target->slots) {
      if (!slot.busy || slot.cancelled || !matches(slot.task) ||
          !m_warmth.mayCancel(target->server)) {
        continue;
      }
      slot.cancelled = true;
      // Without a handle yet, start() cancels when it has one.
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
  for (const GatePtr& target : gates()) {
    {
      const std::lock_guard<std::mutex> lock(target->mutex);
      if (target->queue.empty()) {
        continue;
      }
    }
    dispatch(target);
  }
}

ViewId
SlotTable::settled() const
{
  // The view is read first: a send that this loop misses starts later and
  // reads rights at least as new as this view.
  const ViewPtr view = m_views.get();
  if (!view || m_clock.now() < m_startedAt + startSilence(*view->rules)) {
    return {};
  }
  ViewId oldest = view->id;
  for (const GatePtr& target : gates()) {
    const std::lock_guard<std::mutex> lock(target->mutex);
    for (const Slot& slot : target->slots) {
      if (slot.busy) {
        oldest.rules = std::min(oldest.rules, slot.sentUnder.rules);
        oldest.hosts = std::min(oldest.hosts, slot.sentUnder.hosts);
      }
    }
  }
  return oldest;
}

std::vector<GateStatus>
SlotTable::status() const
{
  std::vector<GateStatus> list;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [server, target] : m_gates) {
    const std::lock_guard<std::mutex> gateLock(target->mutex);
    GateStatus status;
    status.server = server;
    status.queued = static_cast<std::uint32_t>(target->queue.size());
    for (const Slot& slot : target->slots) {
      status.held += slot.held ? 1 : 0;
      status.inUse += slot.busy ? 1 : 0;
    }
    list.push_back(status);
  }
  return list;
}

} // namespace toucanridge
