#include "client_limits_p.h"

namespace toucanridge {

ClientLimits
divideClientLimits(const HostResources& aResources)
{
  // The rest is for the host's own state, for what the allocator keeps, and for
  // the responses of servers and peers, which have limits of their own.
  ClientLimits limits;
  limits.heldBytes = aResources.memoryBytes / 10 * 3;
  limits.callers = aResources.descriptors / 4;
  limits.forwards = aResources.descriptors / 8;
  limits.directory = aResources.descriptors / 16;
  limits.pages = aResources.descriptors / 32;
  limits.peers = aResources.descriptors / 16;
  limits.servers = aResources.descriptors / 16 * 5;
  return limits;
}

} // namespace toucanridge
