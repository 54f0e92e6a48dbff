#include "relay_client_p.h"

#include <algorithm>

#include <xxhash.h>

#include "log_p.h"

namespace toucanridge {
namespace {

/// Peers of a data centre that a host asks. More would mean more links, which
/// grow with the square of the fleet.
constexpr std::size_t kPeersInCentre = 3;
/// A peer that was lost or silent isn't asked for this long; membership takes
/// about as long to find out.
constexpr std::chrono::milliseconds kAvoid{ 1500 };

/// Relays have a port of their own, next to that of control traffic.
std::uint16_t
relayPort(const Host& aHost)
{
  return static_cast<std::uint16_t>(aHost.peerPort + 1);
}

} // namespace

RelayClient::RelayClient(const ClockI& aClock,
                         PeerLinks& aLinks,
                         std::string aSelf,
                         std::uint64_t aFirst)
  : m_clock(aClock)
  , m_links(aLinks)
  , m_self(std::move(aSelf))
  , m_next(aFirst)
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
  // Each host asks other peers of a data centre: together they spread over all.
  const auto rank = [this](const Peer& aPeer) {
    const std::string pair = m_self + '/' + aPeer.host.name;
    return XXH3_64bits(pair.data(), pair.size());
  };
  for (auto& entry : m_peers) {
    std::vector<Peer>& peers = entry.second;
    std::sort(peers.begin(),
              peers.end(),
              [&rank](const Peer& aOne, const Peer& aOther) {
                return rank(aOne) < rank(aOther);
              });
    peers.resize(std::min(peers.size(), kPeersInCentre));
  }
}

std::set<std::string>
RelayClient::centres() const
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
RelayClient::choose(const std::string& aDataCentre)
{
  const auto found = m_peers.find(aDataCentre);
  if (found == m_peers.end()) {
    return nullptr;
  }
  const TimePoint now = m_clock.now();
  std::vector<Peer>& peers = found->second;
  for (std::size_t i = 0; i < peers.size(); ++i) {
    Peer& peer = peers[(m_turn + i) % peers.size()];
    if (now >= peer.avoidUntil) {
      ++m_turn;
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
  const Peer* peer = choose(aDataCentre);
  if (peer == nullptr) {
    return 0;
  }
  const std::uint64_t number = m_next++;
  aQuery.query = number;
  m_running[number] = { peer->host.name, std::move(aListener) };
  post(peer->host, MessageType::RelayQuery, encode(std::move(aQuery)));
  return number;
}

void
RelayClient::post(const Host& aHost, MessageType aType, std::string aPayload)
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
        cancel.query = aRelay;
        post(peer.host, MessageType::RelayCancel, encode(cancel));
      }
    }
  }
  m_running.erase(found);
}

void
RelayClient::onSilent(std::uint64_t aRelay)
{
  const auto found = m_running.find(aRelay);
  if (found == m_running.end()) {
    return;
  }
  for (auto& entry : m_peers) {
    for (Peer& peer : entry.second) {
      if (peer.host.name == found->second.host) {
        peer.avoidUntil = m_clock.now() + kAvoid;
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
  const auto found = m_running.find(reply->query);
  if (found == m_running.end() || found->second.host != aHost) {
    return; // cancelled meanwhile
  }
  const auto listener = found->second.listener.lock();
  if (reply->state == RelayState::Final ||
      reply->state == RelayState::Refused) {
    m_running.erase(found);
  }
  if (listener) {
    listener->onRelayReply(reply->query, *reply);
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
        peer.avoidUntil = m_clock.now() + kAvoid;
      }
    }
  }
  for (const auto& [number, weak] : lost) {
    m_running.erase(number);
    if (const auto listener = weak.lock()) {
      listener->onRelayLost(number);
    }
  }
}

} // namespace toucanridge
