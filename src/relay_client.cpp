#include "relay_client_p.h"

#include <algorithm>

#include <xxhash.h>

#include "log_p.h"

namespace toucanridge {
namespace {

/// Peers in each data centre to which a host sends relays. Without this limit,
/// the number of links would grow with the square of the number of hosts.
constexpr std::size_t kPeersPerDataCentre = 3;
/// Time for which a peer gets no relays after its connection was lost or it
/// didn't reply. Membership needs about as long to detect a dead host.
constexpr std::chrono::milliseconds kAvoidTime{ 1500 };

/// Relays use the TCP port after that of control traffic.
std::uint16_t
relayPort(const Host& aHost)
{
  return static_cast<std::uint16_t>(aHost.peerPort + 1);
}

} // namespace

RelayClient::RelayClient(const ClockI& aClock,
                         PeerLinks& aLinks,
                         std::string aHostName,
                         std::uint64_t aFirstRelay)
  : m_clock(aClock)
  , m_links(aLinks)
  , m_hostName(std::move(aHostName))
  , m_nextRelay(aFirstRelay)
{
}

void
RelayClient::setPeers(const std::vector<Host>& aPeers)
{
  std::map<std::string, TimePoint> avoided;
  for (const auto& entry : m_peers) {
    for (const Peer& peer : entry.second) {
      avoided[peer.host.name] = peer.avoidUntil;
    }
  }
  m_peers.clear();
  for (const Host& host : aPeers) {
    m_peers[host.dataCentre].push_back({ host, avoided[host.name] });
  }
  // Rendezvous hashing: different hosts choose different peers in a data
  // centre, so that the relays of the whole fleet are spread over all of them.
  const auto rank = [this](const Peer& aPeer) {
    const std::string pair = m_hostName + '/' + aPeer.host.name;
    return XXH3_64bits(pair.data(), pair.size());
  };
  for (auto& entry : m_peers) {
    std::vector<Peer>& peers = entry.second;
    std::sort(peers.begin(),
              peers.end(),
              [&rank](const Peer& aOne, const Peer& aOther) {
                return rank(aOne) < rank(aOther);
              });
    peers.resize(std::min(peers.size(), kPeersPerDataCentre));
  }
}

std::set<std::string>
RelayClient::availableDataCentres() const
{
  const TimePoint now = m_clock.now();
  std::set<std::string> centres;
  for (const auto& [centre, peers] : m_peers) {
    if (std::any_of(peers.begin(), peers.end(), [now](const Peer& aPeer) {
          return now >= aPeer.avoidUntil;
        })) {
      centres.insert(centre);
    }
  }
  return centres;
}

RelayClient::Peer*
RelayClient::choosePeer(const std::string& aDataCentre)
{
  const auto found = m_peers.find(aDataCentre);
  if (found == m_peers.end()) {
    return nullptr;
  }
  const TimePoint now = m_clock.now();
  std::vector<Peer>& peers = found->second;
  for (std::size_t i = 0; i < peers.size(); ++i) {
    Peer& peer = peers[(m_nextPeer + i) % peers.size()];
    if (now >= peer.avoidUntil) {
      ++m_nextPeer;
      return &peer;
    }
  }
  return nullptr;
}

std::uint64_t
RelayClient::send(const std::string& aDataCentre,
                  RelayQuery aQuery,
                  std::weak_ptr<RelayListenerI> aListener)
{
  const Peer* peer = choosePeer(aDataCentre);
  if (peer == nullptr) {
    return 0;
  }
  const std::uint64_t number = m_nextRelay++;
  aQuery.relayId = number;
  m_running[number] = { peer->host.name, std::move(aListener) };
  sendMessage(peer->host, MessageType::RelayQuery, encode(std::move(aQuery)));
  return number;
}

void
RelayClient::sendMessage(const Host& aHost,
                         MessageType aType,
                         std::string aPayload)
{
  m_links.send(
    aHost.name, aHost.address, relayPort(aHost), aType, std::move(aPayload), 0);
}

void
RelayClient::cancel(std::uint64_t aRelay)
{
  const auto found = m_running.find(aRelay);
  if (found == m_running.end()) {
    return;
  }
  for (const auto& entry : m_peers) {
    for (const Peer& peer : entry.second) {
      if (peer.host.name == found->second.host) {
        RelayCancel cancel;
        cancel.relayId = aRelay;
        sendMessage(peer.host, MessageType::RelayCancel, encode(cancel));
      }
    }
  }
  m_running.erase(found);
}

void
RelayClient::onReplyOverdue(std::uint64_t aRelay)
{
  const auto found = m_running.find(aRelay);
  if (found == m_running.end()) {
    return;
  }
  avoid(found->second.host);
}

void
RelayClient::avoid(const std::string& aHost)
{
  for (auto& entry : m_peers) {
    for (Peer& peer : entry.second) {
      if (peer.host.name == aHost) {
        peer.avoidUntil = m_clock.now() + kAvoidTime;
        logWrite(LogLevel::Info,
                 LogLine("peer-avoided").add("peer", peer.host.name));
      }
    }
  }
}

void
RelayClient::onReply(const std::string& aHost, const std::string& aPayload)
{
  const auto reply = decode<RelayReply>(aPayload);
  if (!reply) {
    logWrite(LogLevel::Warn,
             LogLine("relay-reply-malformed").add("peer", aHost));
    return;
  }
  const auto found = m_running.find(reply->relayId);
  if (found == m_running.end() || found->second.host != aHost) {
    return; // the relay has ended, was cancelled or runs at another host
  }
  const auto listener = found->second.listener.lock();
  if (reply->state == RelayState::Refused) {
    avoid(aHost);
  }
  if (reply->state == RelayState::Final ||
      reply->state == RelayState::Refused) {
    m_running.erase(found);
  }
  if (listener) {
    listener->onRelayReply(reply->relayId, *reply);
  }
}

void
RelayClient::onLost(const std::string& aHost)
{
  std::vector<std::pair<std::uint64_t, std::weak_ptr<RelayListenerI>>> lost;
  for (const auto& [number, running] : m_running) {
    if (running.host == aHost) {
      lost.emplace_back(number, running.listener);
    }
  }
  for (auto& entry : m_peers) {
    for (Peer& peer : entry.second) {
      if (peer.host.name == aHost) {
        peer.avoidUntil = m_clock.now() + kAvoidTime;
      }
    }
  }
  for (const auto& [number, weakListener] : lost) {
    m_running.erase(number);
    if (const auto listener = weakListener.lock()) {
      listener->onRelayLost(number);
    }
  }
}

} // namespace toucanridge
