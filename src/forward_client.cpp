#include "forward_client_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

/// Connections to one peer; each carries one request at a time.
constexpr std::size_t kConnectionsPerPeer = 64;
constexpr std::chrono::milliseconds kConnectTimeout{ 150 };
/// Limit of the unfinished responses of all peers together.
constexpr std::size_t kUnfinishedBytes = 16 << 20;
/// Time for which an unavailable peer gets no requests.
constexpr std::chrono::milliseconds kAvoidTime{ 1000 };

} // namespace

std::uint16_t
forwardPort(std::uint16_t aPeerPort)
{
  return static_cast<std::uint16_t>(aPeerPort + 2);
}

ForwardClient::ForwardClient(boost::asio::io_context& aContext,
                             const ClockI& aClock,
                             std::string aDataCentre)
  : m_context(aContext)
  , m_clock(aClock)
  , m_dataCentre(std::move(aDataCentre))
  , m_budget(std::make_shared<BufferBudget>(kUnfinishedBytes))
{
}

void
ForwardClient::setPeers(const std::vector<Host>& aPeers)
{
  std::map<std::string, Peer> peers;
  for (const Host& host : aPeers) {
    Peer& peer = peers[host.name];
    const auto known = m_peers.find(host.name);
    if (known != m_peers.end() && known->second.host.address == host.address &&
        known->second.host.peerPort == host.peerPort) {
      peer = std::move(known->second);
      m_peers.erase(known);
    }
    peer.host = host;
  }
  shutdown();
  m_peers = std::move(peers);
}

void
ForwardClient::shutdown()
{
  for (auto& entry : m_peers) {
    if (entry.second.pool) {
      entry.second.pool->retire();
    }
  }
  m_peers.clear();
}

/// @returns the next available peer, in this host's data centre if there is
///          one, or null
ForwardClient::Peer*
ForwardClient::choosePeer(const std::set<std::string>& aTried)
{
  const TimePoint now = m_clock.now();
  std::vector<Peer*> near;
  std::vector<Peer*> all;
  for (auto& [name, peer] : m_peers) {
    if (now >= peer.avoidUntil && aTried.count(name) == 0) {
      all.push_back(&peer);
      if (peer.host.dataCentre == m_dataCentre) {
        near.push_back(&peer);
      }
    }
  }
  const std::vector<Peer*>& options = near.empty() ? all : near;
  return options.empty() ? nullptr : options[m_nextPeer++ % options.size()];
}

HttpPendingCallPtr
ForwardClient::send(HttpCall aCall,
                    const std::set<std::string>& aTried,
                    std::string& aPeer,
                    HttpPool::Done aDone)
{
  Peer* peer = choosePeer(aTried);
  if (peer == nullptr) {
    return nullptr;
  }
  if (!peer->pool) {
    boost::system::error_code error;
    const auto address =
      boost::asio::ip::make_address_v4(peer->host.address, error);
    if (error) {
      return nullptr;
    }
    HttpClientSettings settings;
    settings.connections = kConnectionsPerPeer;
    settings.connectTimeout = kConnectTimeout;
    settings.budget = m_budget;
    peer->pool = std::make_shared<HttpPool>(
      m_context,
      m_clock,
      boost::asio::ip::tcp::endpoint(address, forwardPort(peer->host.peerPort)),
      settings);
  }
  aPeer = peer->host.name;
  return peer->pool->send(std::move(aCall), std::move(aDone));
}

void
ForwardClient::onUnavailable(const std::string& aPeer)
{
  const auto found = m_peers.find(aPeer);
  if (found != m_peers.end()) {
    found->second.avoidUntil = m_clock.now() + kAvoidTime;
  }
}

} // namespace toucanridge
