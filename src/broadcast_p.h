#ifndef TOUCANRIDGE_BROADCAST_P_H
#define TOUCANRIDGE_BROADCAST_P_H

/// Interface for small items that gossip broadcasts to all nodes.

#include <cstdint>
#include <functional>
#include <string>

namespace toucanridge {

enum class BroadcastKind : std::uint8_t
{
  Strike = 1, ///< a server was lost while it ran a request; see quarantine
};

/// Largest payload of one item, in bytes; a datagram carries several items.
constexpr std::size_t kMaxBroadcastBytes = 128;

/// Broadcasts small items to all nodes. Each item is attached to a bounded
/// number of gossip datagrams; delivery is likely but not guaranteed.
class BroadcastI
{
public:
  using OnItem = std::function<void(const std::string& aOrigin,
                                    const std::string& aPayload)>;
  virtual ~BroadcastI() = default;

  /// Queues an item for broadcast; any thread may call. Subscribers on this
  /// node don't receive it.
  /// @param[in] aPayload contents of the item, at most kMaxBroadcastBytes
  virtual void publish(BroadcastKind aKind, std::string aPayload) = 0;

  /// Sets the handler for items of a kind. It is called on the control thread,
  /// once for each item. Subscribe before the node starts.
  virtual void subscribe(BroadcastKind aKind, OnItem aOnItem) = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BROADCAST_P_H
