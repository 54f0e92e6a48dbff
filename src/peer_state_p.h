#ifndef TOUCANRIDGE_PEER_STATE_P_H
#define TOUCANRIDGE_PEER_STATE_P_H

/// What a node learns about a peer from an acknowledged probe.

#include <cstdint>
#include <string>

#include "clock_p.h"
#include "view_p.h"

namespace toucanridge {

/// The part of a peer's state that every probe acknowledgement carries.
struct PeerState
{
  std::string host;
  std::uint64_t incarnation = 0; ///< rises with each start of the process
  ViewId view;                   ///< the view the peer has adopted
  ViewId settled; ///< no request under an older view is in flight or will start
  ViewId leased;  ///< the view under which it holds a lease, zeros without one
};

/// Receives probe results from the membership module, on the control thread.
class ProbeAckListenerI
{
public:
  virtual ~ProbeAckListenerI() = default;

  /// Called when a probe was acknowledged, directly or through another node.
  /// @param[in] aSentAt when this node sent the probe
  virtual void onProbeAcked(const PeerState& aPeer, TimePoint aSentAt) = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PEER_STATE_P_H
