#ifndef TOUCANRIDGE_RELAY_CLIENT_P_H
#define TOUCANRIDGE_RELAY_CLIENT_P_H

/// The asking side of relays: sends parts of queries to peers and brings their
/// replies to the queries.

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

/// Takes the replies to one relayed part of a query.
class RelayListenerI
{
public:
  virtual ~RelayListenerI() = default;
  virtual void onRelayReply(std::uint64_t aRelay, const RelayReply& aReply) = 0;
  /// The peer was lost; nothing more comes.
  virtual void onRelayLost(std::uint64_t aRelay) = 0;
};

class RelayClient
{
public:
  /// @param[in] aFirst number of the first relay; unlike those of an earlier
  ///            start, whose replies may still arrive
  RelayClient(const ClockI& aClock,
              PeerLinks& aLinks,
              std::string aSelf,
              std::uint64_t aFirst);

  /// Sets the hosts that may help: alive, serving and not leaving.
  void setPeers(const std::vector<Host>& aPeers);
  /// @returns data centres in which a peer can be asked now
  std::set<std::string> centres() const;

  /// Asks a peer in a data centre.
  /// @param[in] aListener must stay until the relay ended or was cancelled
  /// @returns the relay's number, or 0 when no peer can be asked
  std::uint64_t send(const std::string& aDataCentre,
                     RelayQuery aQuery,
                     std::weak_ptr<RelayListenerI> aListener);
  /// The query no longer needs the relay.
  void cancel(std::uint64_t aRelay);
  /// The peer gave no sign in time: others are asked for a while.
  void onSilent(std::uint64_t aRelay);

  void onReply(const std::string& aHost, const std::string& aPayload);
  void onLost(const std::string& aHost);

private:
  struct Peer
  {
    Host host;
    TimePoint avoidUntil;
  };
  struct Running
  {
    std::string host;
    std::weak_ptr<RelayListenerI> listener;
  };

  Peer* choose(const std::string& aDataCentre);
  void post(const Host& aHost, MessageType aType, std::string aPayload);

  const ClockI& m_clock;
  PeerLinks& m_links;
  const std::string m_self;
  std::map<std::string, std::vector<Peer>> m_peers; ///< by data centre
  std::map<std::uint64_t, Running> m_running;
  std::uint64_t m_next;
  std::size_t m_turn = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_RELAY_CLIENT_P_H
