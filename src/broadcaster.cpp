#include "broadcaster_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

/// Limit of queued items. When a burst of strikes exceeds it, items are dropped
/// from the front of the queue. takeItems() sorts the queue by send count; new
/// items are appended.
constexpr std::size_t kMaxQueuedItems = 256;
/// Recently received items, kept to suppress duplicates. Copies circulate for
/// seconds, and far fewer items than this are published in that time.
constexpr std::size_t kMaxSeenItems = 4096;

} // namespace

Broadcaster::Broadcaster(std::string aSelf, std::uint64_t aIncarnation)
  : m_self(std::move(aSelf))
  , m_incarnation(aIncarnation)
{
}

void
Broadcaster::publish(BroadcastKind aKind, std::string aPayload)
{
  if (aPayload.size() > kMaxBroadcastBytes) {
    logWrite(LogLevel::Error,
             LogLine("broadcast-refused").add("bytes", aPayload.size()));
    return;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  BroadcastItem item;
  item.origin = m_self;
  item.incarnation = m_incarnation;
  item.number = ++m_lastNumber;
  item.kind = static_cast<std::uint8_t>(aKind);
  item.payload = std::move(aPayload);
  add(std::move(item));
}

void
Broadcaster::subscribe(BroadcastKind aKind, OnItem aOnItem)
{
  m_receivers[static_cast<std::uint8_t>(aKind)] = std::move(aOnItem);
}

void
Broadcaster::setState(BroadcastKind aKind, std::function<std::string()> aNext)
{
  m_stateSources[static_cast<std::uint8_t>(aKind)] = std::move(aNext);
}

void
Broadcaster::takeState(std::vector<BroadcastItem>& aItems) const
{
  for (const auto& [kind, next] : m_stateSources) {
    std::string payload = next();
    if (!payload.empty()) {
      aItems.push_back({ m_self, m_incarnation, 0, kind, std::move(payload) });
    }
  }
}

void
Broadcaster::add(BroadcastItem aItem)
{
  m_queue.push_back({ std::move(aItem), 0 });
  if (m_queue.size() > kMaxQueuedItems) {
    m_queue.pop_front();
    ++m_dropped;
  }
}

void
Broadcaster::takeItems(std::size_t aBytes,
                       std::uint32_t aMaxTransmits,
                       std::vector<BroadcastItem>& aItems)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::stable_sort(m_queue.begin(),
                   m_queue.end(),
                   [](const Queued& aOne, const Queued& aOther) {
                     return aOne.sendCount < aOther.sendCount;
                   });
  for (Queued& queued : m_queue) {
    const std::size_t size = wireSize(queued.item);
    if (size > aBytes) {
      continue;
    }
    aBytes -= size;
    aItems.push_back(queued.item);
    ++queued.sendCount;
  }
  m_queue.erase(std::remove_if(m_queue.begin(),
                               m_queue.end(),
                               [aMaxTransmits](const Queued& aQueued) {
                                 return aQueued.sendCount >= aMaxTransmits;
                               }),
                m_queue.end());
}

void
Broadcaster::onReceived(const BroadcastItem& aItem)
{
  if (aItem.origin == m_self || aItem.payload.size() > kMaxBroadcastBytes) {
    return;
  }
  const auto receiver = m_receivers.find(aItem.kind);
  if (receiver == m_receivers.end()) {
    return;
  }
  if (m_stateSources.count(aItem.kind) == 0) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const ItemKey key{ aItem.origin, aItem.incarnation, aItem.number };
    if (!m_seen.insert(key).second) {
      return;
    }
    m_seenOrder.push_back(key);
    if (m_seenOrder.size() > kMaxSeenItems) {
      m_seen.erase(m_seenOrder.front());
      m_seenOrder.pop_front();
    }
    add(aItem);
  }
  receiver->second(aItem.origin, aItem.payload);
}

std::size_t
Broadcaster::wireSize(const BroadcastItem& aItem)
{
  return aItem.origin.size() + aItem.payload.size() + 2 + 8 + 4 + 1 + 2;
}

} // namespace toucanridge
