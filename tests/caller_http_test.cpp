#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <fstream>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <malloc.h>
#include <unistd.h>

#include "caller_http_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr const char* kAddress = "127.62.4.1";
constexpr std::uint16_t kPort = 8401;
constexpr std::size_t kMegabyte = 1U << 20U;
/// Limit of a test's memory growth, far below the bytes that it sends.
constexpr std::size_t kMaxMemoryGrowth = 24 * kMegabyte;
constexpr std::size_t kFloodBytes = 96 * kMegabyte;

struct FakeApi final : public CallerApiI
{
  AddressAnswer addresses(const std::string&) override { return {}; }
  bool acceptsQueries() override { return true; }
  std::string explainJson(const std::string&) override { return {}; }
  std::string classJson(const std::string&) override { return {}; }
  std::string rulesJson() override { return "{}"; }
  void query(QueryRequest aRequest, Done aDone) override
  {
    ++queries;
    QueryAnswer answer;
    answer.outcome = Outcome::Whole;
    answer.parts.push_back({ "all", aRequest.body });
    aDone(answer);
  }
  std::vector<std::string> tickets(std::uint32_t aCount) override
  {
    return std::vector<std::string>(std::min(aCount, 64U), "t");
  }
  std::string statusJson() override { return "{}"; }
  std::string metricsText() override { return {}; }
  std::atomic<int> queries{ 0 };
};

std::size_t
residentBytes()
{
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// A client that sends raw bytes on one connection; every call has a time
/// limit.
class RawClient
{
public:
  RawClient()
    : m_socket(m_context)
  {
    m_socket.connect({ boost::asio::ip::make_address(kAddress), kPort });
    const timeval limit{ 2, 0 };
    ::setsockopt(
      m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(
      m_socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  }

  /// @returns false when the server stops reading or has closed the connection
  bool send(const std::string& aData)
  {
    return ::send(m_socket.native_handle(),
                  aData.data(),
                  aData.size(),
                  MSG_NOSIGNAL) == static_cast<ssize_t>(aData.size());
  }

  /// @returns what arrives until the peer closes or 2 s pass without data
  std::string receive()
  {
    std::string data;
    std::array<char, 4096> part{};
    ssize_t size = 0;
    while (data.size() < kMegabyte &&
           (size = ::recv(
              m_socket.native_handle(), part.data(), part.size(), 0)) > 0) {
      data.append(part.data(), static_cast<std::size_t>(size));
    }
    return data;
  }

private:
  boost::asio::io_context m_context;
  tcp::socket m_socket;
};

std::string
post(const std::string& aBody)
{
  return "POST /v1/query HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

class CallerHttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerHttpTest);
  CPPUNIT_TEST(servesQuery);
  CPPUNIT_TEST(boundsDeclaredBody);
  CPPUNIT_TEST(boundsChunkedBody);
  CPPUNIT_TEST(boundsHeaders);
  CPPUNIT_TEST(survivesRandomBytes);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { CPPUNIT_ASSERT(!m_callers.init(kAddress, kPort)); }
  void tearDown() override { m_callers.shutdown(); }

  void servesQuery()
  {
    RawClient client;
    client.send(post(R"({"class":"a","body":"b"})"));
    CPPUNIT_ASSERT(client.receive().find("whole") != std::string::npos);
  }

  // Guards against buffering a body whose declared length is over the limit
  // before it is refused.
  void boundsDeclaredBody()
  {
    const std::size_t before = trimmedBytes();
    RawClient client;
    client.send("POST /v1/query HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 1000000000000\r\n\r\n");
    flood(client, "");
    checkMemoryGrowth(before);
    assertServes();
  }

  // Guards against buffering a chunked body that never ends.
  void boundsChunkedBody()
  {
    const std::size_t before = trimmedBytes();
    RawClient client;
    client.send("POST /v1/query HTTP/1.1\r\nHost: x\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    flood(client, "10000\r\n");
    checkMemoryGrowth(before);
    assertServes();
  }

  // Guards against buffering a header that never ends.
  void boundsHeaders()
  {
    const std::size_t before = trimmedBytes();
    RawClient client;
    client.send("POST /v1/query HTTP/1.1\r\nX: ");
    flood(client, "");
    checkMemoryGrowth(before);
    assertServes();
  }

  // Guards against a crash, or a server that stops serving, after malformed
  // requests.
  void survivesRandomBytes()
  {
    std::mt19937_64 random(7);
    const std::vector<std::string> starts = {
      "",
      "POST /v1/query HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST /v1/query HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
      "POST /v1/query HTTP/1.1\r\nContent-Length: 20\r\n\r\n",
      "GET /v1/addresses?tickets=-1&%zz HTTP/1.1\r\n\r\n",
      "GET /v1/addresses?data_centre=%ff%00 HTTP/1.1\r\nHost: x\r\n\r\n",
      "POST /v1/tickets?count=9999999999 HTTP/1.1\r\nHost: x\r\n\r\n",
      "GET /%0d%0a HTTP/9.9\r\n\r\n",
      post(R"({"class":1,"body":[]})"),
      post(R"({"class":"a","body":"b","deadline_ms":1e300})"),
      post(R"({"class":"a","body":"b","deadline_ms":-5})"),
      post(R"({"class":"a","body":"\ud800"})"),
      post(std::string(100000, '[')),
    };
    for (int i = 0; i < 200; ++i) {
      RawClient client;
      std::string data = starts[random() % starts.size()];
      const std::size_t extra = random() % 200;
      for (std::size_t n = 0; n < extra; ++n) {
        data.push_back(static_cast<char>(random()));
      }
      client.send(data);
    }
    for (const std::string& start : starts) {
      RawClient client;
      client.send(start);
    }
    assertServes();
  }

private:
  static void flood(RawClient& aClient, const std::string& aPrefix)
  {
    const std::string block =
      aPrefix + std::string(65536, 'x') + (aPrefix.empty() ? "" : "\r\n");
    for (std::size_t sent = 0; sent < kFloodBytes; sent += block.size()) {
      if (!aClient.send(block)) {
        break;
      }
    }
  }

  static std::size_t trimmedBytes()
  {
    // Memory that earlier tests freed must not hide the growth in this one.
    ::malloc_trim(0);
    return residentBytes();
  }

  static void checkMemoryGrowth(std::size_t aBefore)
  {
    const std::size_t after = residentBytes();
    CPPUNIT_ASSERT_MESSAGE(
      std::to_string((after - std::min(after, aBefore)) / kMegabyte) + " MB",
      after < aBefore + kMaxMemoryGrowth);
  }

  static void assertServes()
  {
    RawClient client;
    client.send(post(R"({"class":"a","body":"b"})"));
    CPPUNIT_ASSERT(client.receive().find("whole") != std::string::npos);
  }

  FakeApi m_api;
  CallerHttp m_callers{ m_api };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerHttpTest);
