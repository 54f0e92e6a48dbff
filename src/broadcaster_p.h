#ifndef TOUCANRIDGE_BROADCASTER_P_H
#define TOUCANRIDGE_BROADCASTER_P_H

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

  void publish(BroadcastKind aKind, std::string aItem) override;
  void subscribe(BroadcastKind aKind, OnItem aOnItem) override;

  /// Appends the items that were sent least often.
  /// @param[in] aBytes room in the datagram
  /// @param[in] aTransmits times that an item is sent in all
  void take(std::size_t aBytes,
            std::uint32_t aTransmits,
            std::vector<BroadcastItem>& aItems);

  /// Delivers an item at its first arrival and passes it on.
  void onReceived(const BroadcastItem& aItem);

private:
  struct Queued
  {
    BroadcastItem item;
    std::uint32_t sent = 0;
  };
  using Key = std::tuple<std::string, std::uint64_t, std::uint32_t>;

  void add(BroadcastItem aItem);
  static std::size_t wireSize(const BroadcastItem& aItem);

  const std::string m_self;
  const std::uint64_t m_incarnation;
  std::map<std::uint8_t, OnItem> m_receivers;
  std::mutex m_mutex; ///< guards what follows
  std::uint32_t m_lastNumber = 0;
  std::uint64_t m_dropped = 0;
  std::deque<Queued> m_queue;
  std::set<Key> m_seen;
  std::deque<Key> m_seenOrder;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BROADCASTER_P_H
