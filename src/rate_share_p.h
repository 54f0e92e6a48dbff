#ifndef TOUCANRIDGE_RATE_SHARE_P_H
#define TOUCANRIDGE_RATE_SHARE_P_H

/// How the hosts divide the request rate that a backend server accepts from all
/// of them together. Answers the load at which hosts in the server's data
/// centre send most of its requests.

#include <cstddef>
#include <string>
#include <vector>

namespace toucanridge {

/// One of the hosts that keep the limits of servers together.
struct SharingHost
{
  std::string name;
  std::string dataCentre;
};

/// The hosts that keep the limits of servers together, as this host sees them.
struct SharingHosts
{
  /// Includes this host; empty when this host has no share.
  std::vector<SharingHost> known;
  /// Number of hosts to divide by; more than are known while this host starts.
  std::size_t count = 0;
};

/// A server whose request rate is divided.
struct RateLimitedServer
{
  std::string id;
  std::string dataCentre;
  double perSecond = 0.0; ///< requests that it accepts from all hosts together
};

/// Divides a rate without messages between the hosts: hosts that know the same
/// hosts compute shares that add up to the rate.
/// @param[in] aSelf name of the host whose share is computed
/// @returns requests a second, 0 when the host may send none
double
rateShare(const RateLimitedServer& aServer,
          const SharingHosts& aHosts,
          const std::string& aSelf);

} // namespace toucanridge

#endif // TOUCANRIDGE_RATE_SHARE_P_H
