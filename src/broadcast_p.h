#ifndef TOUCANRIDGE_BROADCAST_P_H
#define TOUCANRIDGE_BROADCAST_P_H

/// Interface to items that spread to all nodes by gossip.

#include <cstdint>
#include <functional>
#include <string>

namespace toucanridge {

enum class BroadcastKind : std::uint8_t
{
  Strike = 1, ///< a request lost a backend server; see quarantine
};

/// Largest payload of one item, in bytes; several share a datagram.
constexpr std::size_t kMaxBroadcastBytes = 128;

/// Spreads small items to all nodes: each item rides on a bounded number of
/// gossip datagrams. Delivery is likely but not certain.
class BroadcastI
{
public:
  using OnItem =
    std::function<void(const std::string& aOrigin, const std::string& aItem)>;
  virtual ~BroadcastI() = default;

  /// Spreads an item; any thread. Not delivered to this node itself.
  /// @param[in] aItem at most kMaxBroadcastBytes
  virtual void publish(BroadcastKind aKind, std::string aItem) = 0;

  /// Sets the receiver of a kind, called on the control thread once for each
  /// item. Call it before the node starts.
  virtual void subscribe(BroadcastKind aKind, OnItem aOnItem) = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BROADCAST_P_H
