#ifndef TOUCANRIDGE_CLIENT_LIMITS_P_H
#define TOUCANRIDGE_CLIENT_LIMITS_P_H

/// Divides a host's memory and descriptors among the ports that clients and
/// peers reach. Answers the load of clients that send without reading, or open
/// connections without end.

#include <cstddef>

namespace toucanridge {

/// What the platform allows a host.
struct HostResources
{
  std::size_t memoryBytes = std::size_t(160) << 20U;
  std::size_t descriptors = 4100;
};

struct ClientLimits
{
  /// Held for clients and peers together, see BufferUse.
  std::size_t heldBytes = 0;
  // Connections at the same time:
  std::size_t callers = 0;
  std::size_t forwards = 0; ///< of peers without a path to the servers
  std::size_t directory = 0;
  std::size_t pages = 0;   ///< metrics and status; as many for readiness
  std::size_t peers = 0;   ///< for items; as many for relays
  std::size_t servers = 0; ///< beyond the first one to each backend server
};

/// @returns limits that leave room for the host's own state, for responses of
///          servers, and for the connections to servers and peers
ClientLimits
divideClientLimits(const HostResources& aResources);

} // namespace toucanridge

#endif // TOUCANRIDGE_CLIENT_LIMITS_P_H
