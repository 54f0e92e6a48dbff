#ifndef TOUCANRIDGE_BROADCAST_P_H
#define TOUCANRIDGE_BROADCAST_P_H

/// Interface for small items that gossip broadcasts to all nodes.

#include <cstdint>
#include <functional>
#include <string>

namespace toucanridge {

enum class BroadcastKind : std::uint8_t
{
  Strike = 1,     ///< a server was lost while it ran a request; see quarantine
  Quarantine = 2, ///< state: records of quarantined requests
  Answer = 3,     ///< a server answered a request that has strikes
};

// A host ignores kinds that its version doesn't know.

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

  /// Sets the source of a kind of items that are state: each datagram carries
  /// one anew, so that hosts that start or miss datagrams get it too. They are
  /// not forwarded, and subscribers get each one that arrives.
  /// @param[in] aNext returns the next payload, empty when there is nothing to
  ///            send; called on the control thread
  virtual void setState(BroadcastKind aKind,
                        std::function<std::string()> aNext) = 0;
  /// Has state sent to several nodes soon; any thread may call.
  virtual void onStateChanged() = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BROADCAST_P_H
