#ifndef TOUCANRIDGE_GOSSIP_SOCKET_P_H
#define TOUCANRIDGE_GOSSIP_SOCKET_P_H

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>

#include <boost/asio.hpp>

#include "membership_p.h"

namespace toucanridge {

/// UDP socket for gossip between nodes. All calls are made on the control
/// thread.
class GossipSocket final : public DatagramSenderI
{
public:
  using OnDatagram =
    std::function<void(const PeerAddress& aFrom, std::string_view aBytes)>;

  explicit GossipSocket(boost::asio::io_context& aContext);

  /// Binds the socket and starts to receive datagrams.
  /// @returns an error when the address can't be bound
  std::error_code init(const std::string& aAddress,
                       std::uint16_t aPort,
                       OnDatagram aOnDatagram);
  void shutdown();

  /// Sends a datagram, or drops it when the system doesn't accept it at once.
  void sendDatagram(const PeerAddress& aTo, std::string aBytes) override;

  /// @returns number of datagrams that were dropped instead of sent
  std::uint64_t dropped() const { return m_dropped; }

private:
  void receive();

  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_from;
  /// One byte over the limit, so that a longer datagram is recognised as
  /// malformed.
  std::array<char, kMaxDatagramBytes + 1> m_buffer{};
  OnDatagram m_onDatagram;
  std::uint64_t m_dropped = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_GOSSIP_SOCKET_P_H
