#ifndef TOUCANRIDGE_FORWARD_CLIENT_P_H
#define TOUCANRIDGE_FORWARD_CLIENT_P_H

/// Sends callers' whole requests to peers, which answer them like those of
/// their own callers. For hosts without a path to the backend servers.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "clock_p.h"
#include "http_client_p.h"
#include "view_p.h"

namespace toucanridge {

/// Peers accept forwarded requests at the second port after that of control
/// traffic.
std::uint16_t
forwardPort(std::uint16_t aPeerPort);

/// Marks a peer's refusal for lack of a path to the servers. Such a request has
/// not run.
constexpr const char* kNoPathHeader = "No-Path";

class ForwardClient
{
public:
  ForwardClient(boost::asio::io_context& aContext,
                const ClockI& aClock,
                std::string aDataCentre);

  /// Sets the hosts that may answer requests: the entry hosts other than this
  /// one.
  void setPeers(const std::vector<Host>& aPeers);
  /// Sends a request to a peer, in this host's data centre if possible.
  /// @param[in] aTried names of peers that were sent the request already
  /// @param[out] aPeer name of the peer chosen
  /// @returns null when no other peer is available
  HttpPendingCallPtr send(HttpCall aCall,
                          const std::set<std::string>& aTried,
                          std::string& aPeer,
                          HttpPool::Done aDone);
  /// A peer couldn't be reached or has no path to the servers: it is avoided
  /// for a while.
  void onUnavailable(const std::string& aPeer);
  void shutdown();

private:
  struct Peer
  {
    Host host;
    std::shared_ptr<HttpPool> pool;
    TimePoint avoidUntil;
  };

  Peer* choosePeer(const std::set<std::string>& aTried);

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  const std::string m_dataCentre;
  const std::shared_ptr<BufferBudget> m_budget; ///< of all peers' connections
  std::map<std::string, Peer> m_peers;          ///< by name
  std::size_t m_nextPeer = 0;                   ///< round-robin position
};

} // namespace toucanridge

#endif // TOUCANRIDGE_FORWARD_CLIENT_P_H
