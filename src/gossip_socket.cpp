#include "gossip_socket_p.h"

namespace toucanridge {

namespace asio = boost::asio;
using asio::ip::udp;

GossipSocket::GossipSocket(asio::io_context& aContext)
  : m_socket(aContext)
{
}

std::error_code
GossipSocket::init(const std::string& aAddress,
                   std::uint16_t aPort,
                   OnDatagram aOnDatagram)
{
  m_onDatagram = std::move(aOnDatagram);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aAddress, error);
  if (!error) {
    m_socket.open(udp::v4(), error);
  }
  if (!error) {
    m_socket.bind({ address, aPort }, error);
  }
  if (!error) {
    m_socket.non_blocking(true, error);
  }
  if (error) {
    return { error.value(), std::system_category() };
  }
  receive();
  return {};
}

void
GossipSocket::shutdown()
{
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

void
GossipSocket::receive()
{
  m_socket.async_receive_from(
    asio::buffer(m_buffer),
    m_from,
    [this](const boost::system::error_code& aError, std::size_t aSize) {
      if (!m_socket.is_open()) {
        return;
      }
      // An error reports that a peer was unreachable for an earlier datagram;
      // the socket remains usable.
      if (!aError) {
        m_onDatagram({ m_from.address().to_string(), m_from.port() },
                     { m_buffer.data(), aSize });
      }
      receive();
    });
}

void
GossipSocket::sendDatagram(const PeerAddress& aTo, std::string aBytes)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aTo.address, error);
  if (!error) {
    m_socket.send_to(
      asio::buffer(aBytes), udp::endpoint(address, aTo.port), 0, error);
  }
  if (error) {
    ++m_dropped;
  }
}

} // namespace toucanridge
