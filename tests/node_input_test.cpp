#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <string>

#include <boost/asio.hpp>
#include <sys/socket.h>

#include "node_p.h"
#include "wire_p.h"

using namespace toucanridge;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr const char* kAddress = "127.62.6.1";
constexpr std::uint16_t kHttpPort = 8403;
constexpr std::uint16_t kPeerPort = 8404;

/// Sends bytes on a new connection.
/// @param[in] aReadAnswer whether to read until the node closes the connection,
///            or for 3 s without data
/// @returns what was read
std::string
exchange(std::uint16_t aPort, const std::string& aData, bool aReadAnswer)
{
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address(kAddress), aPort });
  ::send(socket.native_handle(), aData.data(), aData.size(), MSG_NOSIGNAL);
  std::string answer;
  if (aReadAnswer) {
    const timeval limit{ 3, 0 };
    ::setsockopt(
      socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::array<char, 4096> part{};
    ssize_t size = 0;
    while ((size = ::recv(
              socket.native_handle(), part.data(), part.size(), 0)) > 0) {
      answer.append(part.data(), static_cast<std::size_t>(size));
    }
  }
  return answer;
}

/// @returns a frame of the protocol between nodes; see FrameStream
std::string
makeFrame(MessageType aType, const std::string& aPayload)
{
  std::string data;
  for (int i = 0; i < 4; ++i) {
    data.push_back(static_cast<char>(aPayload.size() >> (8 * i)));
  }
  data.push_back(static_cast<char>(aType));
  return data + aPayload;
}

} // namespace

class NodeInputTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NodeInputTest);
  CPPUNIT_TEST(survivesRandomInput);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against malformed input on the caller port or the peer port that
  // crashes the node or stops it from serving requests.
  void survivesRandomInput()
  {
    NodeSettings settings;
    settings.host = "h1";
    settings.dataCentre = "dc";
    settings.address = kAddress;
    settings.httpPort = kHttpPort;
    settings.peerPort = kPeerPort;
    settings.platform = "http://127.62.6.2:1";
    Node node(settings);
    CPPUNIT_ASSERT(!node.init());

    std::mt19937_64 random(3);
    SubBatch batch;
    batch.requestId = "q";
    batch.items.resize(4);
    TicketForward forward;
    forward.ticket = "1.2.3.h1";
    const std::vector<std::string> payloads = { encode(batch),
                                                encode(forward),
                                                encode(Cancel{ 9 }) };
    const std::string hello =
      makeFrame(MessageType::Hello, encode(Hello{ "p", 1 }));
    for (int i = 0; i < 300; ++i) {
      std::string payload = payloads[random() % payloads.size()];
      for (std::uint64_t n = random() % 4; n > 0; --n) {
        payload[random() % payload.size()] = static_cast<char>(random());
      }
      const auto type = static_cast<MessageType>(random() % 16);
      std::string data = hello;
      data += makeFrame(MessageType::SubBatch, payloads[0]);
      data += makeFrame(type, payload);
      data += payload;
      exchange(kPeerPort, data, false);
      std::string text = "POST /v1/query HTTP/1.1\r\nContent-Length: 60\r\n\r\n"
                         R"({"class":"a","body":"b","ticket":"1.2.3.h1"})";
      for (std::uint64_t n = random() % 5; n > 0; --n) {
        text[random() % text.size()] = static_cast<char>(random());
      }
      exchange(kHttpPort, text, false);
    }
    const std::string query = R"({"class":"a","body":"b","ticket":"1.2.3.h1"})";
    const std::string answer =
      exchange(kHttpPort,
               "POST /v1/query HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
               "Content-Type: application/json\r\nContent-Length: " +
                 std::to_string(query.size()) + "\r\n\r\n" + query,
               true);
    // The ticket names another incarnation of this host.
    CPPUNIT_ASSERT_MESSAGE(
      answer, answer.find("ticket can no longer run") != std::string::npos);
    node.shutdown();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeInputTest);
