#ifndef TOUCANRIDGE_BROADCASTER_P_H
#define TOUCANRIDGE_BROADCASTER_P_H

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "broadcast_p.h"
#include "gossip_wire_p.h"

namespace toucanridge {

/// Queue of broadcast items that membership attaches to its datagrams.
class Broadcaster final : public BroadcastI
{
public:
  Broadcaster(std::string aSelf, std::uint64_t aIncarnation);

  void publish(BroadcastKind aKind, std::string aPayload) override;
  void subscribe(BroadcastKind aKind, OnItem aOnItem) override;
  void setState(BroadcastKind aKind,
                std::function<std::string()> aNext) override;
  void onStateChanged() override { m_stateChanged = true; }

  /// Selects the items that were sent least often and counts them as sent. An
  /// item that was sent aMaxTransmits times is removed from the queue.
  /// @param[in] aBytes bytes left in the datagram
  /// @param[in] aMaxTransmits number of datagrams that carry an item
  /// @param[out] aItems list that the items are appended to
  void takeItems(std::size_t aBytes,
                 std::uint32_t aMaxTransmits,
                 std::vector<BroadcastItem>& aItems);

  /// Appends an item with the next payload of each kind of state.
  void takeState(std::vector<BroadcastItem>& aItems) const;
  /// @returns true when state has changed since the last call
  bool takeStateChanged() { return m_stateChanged.exchange(false); }

  /// Delivers an item to its subscriber and queues it for forwarding; ignores
  /// duplicates.
  void onReceived(const BroadcastItem& aItem);

private:
  struct Queued
  {
    BroadcastItem item;
    std::uint32_t sendCount = 0;
  };
  using ItemKey = std::tuple<std::string, std::uint64_t, std::uint32_t>;

  void add(BroadcastItem aItem);
  static std::size_t wireSize(const BroadcastItem& aItem);

  const std::string m_self;
  const std::uint64_t m_incarnation;
  std::map<std::uint8_t, OnItem> m_receivers;
  std::map<std::uint8_t, std::function<std::string()>> m_stateSources;
  std::atomic<bool> m_stateChanged{ false };
  std::mutex m_mutex; ///< guards the members below
  std::uint32_t m_lastNumber = 0;
  std::uint64_t m_dropped = 0;
  std::deque<Queued> m_queue;
  std::set<ItemKey> m_seen;
  std::deque<ItemKey> m_seenOrder;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BROADCASTER_P_H
