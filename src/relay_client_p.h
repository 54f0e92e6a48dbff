#ifndef TOUCANRIDGE_RELAY_CLIENT_P_H
#define TOUCANRIDGE_RELAY_CLIENT_P_H

/// Client side of relays: sends parts of queries to peers in other data centres
/// and dispatches the peers' replies to the queries.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "clock_p.h"
#include "peer_link_p.h"
#include "relay_wire_p.h"
#include "view_p.h"

namespace toucanridge {

/// Receives the replies to the relayed parts of a query.
class RelayListenerI
{
public:
  virtual ~RelayListenerI() = default;
  /// Called for each reply; Final and Refused ones end the relay.
  virtual void onRelayReply(std::uint64_t aRelay, const RelayReply& aReply) = 0;
  /// The connection to the peer was lost; no reply follows.
  virtual void onRelayLost(std::uint64_t aRelay) = 0;
};

class RelayClient
{
public:
  /// @param[in] aHostName name of this host
  /// @param[in] aFirstRelay number of the first relay. Numbers must differ from
  ///            those used before a restart, as replies to these may arrive
  RelayClient(const ClockI& aClock,
              PeerLinks& aLinks,
              std::string aHostName,
              std::uint64_t aFirstRelay);

  /// Sets the hosts that may run relays: the entry hosts other than this one.
  /// Of each data centre only a few are kept, see kPeersPerDataCentre.
  void setPeers(const std::vector<Host>& aPeers);
  /// @returns data centres in which at least one peer isn't avoided now
  std::set<std::string> availableDataCentres() const;

  /// Sends a relay to a peer in a data centre, chosen by round robin.
  /// @param[in] aListener receives the replies; held weakly: replies for an
  ///            expired listener are dropped
  /// @returns the relay's number, or 0 when no peer is available
  std::uint64_t send(const std::string& aDataCentre,
                     RelayQuery aQuery,
                     std::weak_ptr<RelayListenerI> aListener);
  /// Cancels a relay whose reply the query no longer needs.
  void cancel(std::uint64_t aRelay);
  /// Reports that a relay's peer didn't reply in time. The peer gets no relays
  /// for a while; the relay itself goes on.
  void onReplyOverdue(std::uint64_t aRelay);

  /// Handles a RelayReply message from a peer.
  void onReply(const std::string& aHost, const std::string& aPayload);
  /// Ends the relays of a peer whose connection was lost.
  void onLost(const std::string& aHost);

private:
  struct Peer
  {
    Host host;
    TimePoint avoidUntil;
  };
  struct RunningRelay
  {
    std::string host;
    std::weak_ptr<RelayListenerI> listener;
  };

  /// Sends a peer no relays for a while.
  void avoid(const std::string& aHost);
  /// @returns the next peer that isn't avoided, or null
  Peer* choosePeer(const std::string& aDataCentre);
  void sendMessage(const Host& aHost, MessageType aType, std::string aPayload);

  const ClockI& m_clock;
  PeerLinks& m_links;
  const std::string m_hostName;
  std::map<std::string, std::vector<Peer>> m_peers; ///< by data centre
  std::map<std::uint64_t, RunningRelay> m_running;  ///< by number
  std::uint64_t m_nextRelay;  ///< number of the next relay
  std::size_t m_nextPeer = 0; ///< round-robin position
};

} // namespace toucanridge

#endif // TOUCANRIDGE_RELAY_CLIENT_P_H
