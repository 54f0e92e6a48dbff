/// Stand-in for the platform: a read-only configuration service with long
/// polling, and a host list that is published with a delay. It reads a rules
/// file and a hosts file, and publishes a new revision of either when it
/// changes. The path /control makes the stand-in stale or unavailable.

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace po = boost::program_options;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

std::string
readFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// @returns aText as a JSON string; control characters other than line breaks
///          are replaced by spaces
std::string
jsonString(const std::string& aText)
{
  std::ostringstream out;
  out << '"';
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      out << '\\' << c;
    } else if (c == '\n') {
      out << "\\n";
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out << ' ';
    } else {
      out << c;
    }
  }
  out << '"';
  return out.str();
}

/// The published rules and host list. All handlers run on one thread.
struct Platform
{
  std::string rulesFile;
  std::string hostsFile;
  milliseconds hostsLag{ 0 }; ///< delay before a changed list is published

  std::string rules;
  std::uint64_t rulesRevision = 0;
  std::string hosts; ///< JSON list
  std::uint64_t hostsRevision = 0;
  std::string pendingHosts; ///< latest contents of the hosts file
  steady_clock::time_point hostsPublishTime{};
  bool down = false;       ///< close connections instead of replying
  bool stale = false;      ///< publish no changes
  std::uint64_t reads = 0; ///< requests received while not down

  /// Reads both files and publishes what has changed.
  void reloadFiles()
  {
    if (stale) {
      return;
    }
    const std::string text = readFile(rulesFile);
    if (text != rules && !text.empty()) {
      rules = text;
      ++rulesRevision;
    }
    const std::string list = readFile(hostsFile);
    if (list != pendingHosts) {
      pendingHosts = list;
      hostsPublishTime =
        steady_clock::now() + (hosts.empty() ? milliseconds(0) : hostsLag);
    }
    if (pendingHosts != hosts && steady_clock::now() >= hostsPublishTime) {
      hosts = pendingHosts;
      ++hostsRevision;
    }
  }

  /// @returns the rules' revision, with their text if it is above aAfter
  std::string rulesJson(std::uint64_t aAfter) const
  {
    std::ostringstream out;
    out << "{\"revision\":" << rulesRevision
        << ",\"text\":" << (rulesRevision > aAfter ? jsonString(rules) : "\"\"")
        << "}";
    return out.str();
  }

  std::string hostsJson() const
  {
    std::ostringstream out;
    out << "{\"revision\":" << hostsRevision
        << ",\"hosts\":" << (hosts.empty() ? "[]" : hosts) << "}";
    return out.str();
  }
};

/// @returns the value of a query parameter; 0 when it is missing or no number
std::uint64_t
queryParameter(const std::string& aTarget, const std::string& aName)
{
  const auto found = aTarget.find(aName + "=");
  return found == std::string::npos
           ? 0
           : std::strtoull(
               aTarget.c_str() + found + aName.size() + 1, nullptr, 10);
}

/// One client connection.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, Platform& aPlatform)
    : m_stream(std::move(aSocket))
    , m_platform(aPlatform)
    , m_timer(m_stream.get_executor())
  {
  }

  void readRequest()
  {
    m_request = {};
    http::async_read(
      m_stream,
      m_buffer,
      m_request,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (!aError) {
          self->handleRequest();
        }
      });
  }

private:
  void handleRequest()
  {
    const std::string target(m_request.target());
    if (target.rfind("/control?", 0) == 0) {
      if (target.find("down=") != std::string::npos) {
        m_platform.down = queryParameter(target, "down") != 0;
      }
      if (target.find("stale=") != std::string::npos) {
        m_platform.stale = queryParameter(target, "stale") != 0;
      }
      reply(http::status::ok,
            "{\"reads\":" + std::to_string(m_platform.reads) + "}");
      return;
    }
    if (m_platform.down) {
      beast::error_code ignored;
      m_stream.socket().close(ignored);
      return;
    }
    ++m_platform.reads;
    if (target.rfind("/v1/hosts", 0) == 0) {
      reply(http::status::ok, m_platform.hostsJson());
    } else if (target.rfind("/v1/config", 0) == 0) {
      replyWhenNewer(queryParameter(target, "after"),
                     steady_clock::now() +
                       milliseconds(std::min<std::uint64_t>(
                         queryParameter(target, "wait_ms"), 60000)));
    } else {
      reply(http::status::not_found, "{}");
    }
  }

  /// Replies when the rules' revision is above aAfter, at aUntil at the latest.
  void replyWhenNewer(std::uint64_t aAfter, steady_clock::time_point aUntil)
  {
    if (m_platform.rulesRevision > aAfter || steady_clock::now() >= aUntil) {
      reply(http::status::ok, m_platform.rulesJson(aAfter));
      return;
    }
    m_timer.expires_after(milliseconds(50));
    m_timer.async_wait(
      [self = shared_from_this(), aAfter, aUntil](beast::error_code aError) {
        if (!aError) {
          self->replyWhenNewer(aAfter, aUntil);
        }
      });
  }

  void reply(http::status aStatus, std::string aBody)
  {
    m_response = {};
    m_response.result(aStatus);
    m_response.set(http::field::content_type, "application/json");
    m_response.body() = std::move(aBody);
    m_response.keep_alive(m_request.keep_alive());
    m_response.prepare_payload();
    http::async_write(
      m_stream,
      m_response,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (!aError && self->m_response.keep_alive()) {
          self->readRequest();
        }
      });
  }

  beast::tcp_stream m_stream;
  Platform& m_platform;
  asio::steady_timer m_timer;
  beast::flat_buffer m_buffer;
  Request m_request;
  Response m_response;
};

void
acceptNext(tcp::acceptor& aAcceptor, Platform& aPlatform)
{
  aAcceptor.async_accept([&](beast::error_code aError, tcp::socket aSocket) {
    if (!aError) {
      std::make_shared<Session>(std::move(aSocket), aPlatform)->readRequest();
    }
    acceptNext(aAcceptor, aPlatform);
  });
}

void
reloadPeriodically(asio::steady_timer& aTimer, Platform& aPlatform)
{
  aPlatform.reloadFiles();
  aTimer.expires_after(milliseconds(50));
  aTimer.async_wait([&](beast::error_code aError) {
    if (!aError) {
      reloadPeriodically(aTimer, aPlatform);
    }
  });
}

} // namespace

int
main(int aCount, char** aValues)
{
  po::options_description options("platform_standin");
  options.add_options()("help", "print this help")(
    "listen", po::value<std::string>()->required(), "address:port")(
    "rules", po::value<std::string>()->required(), "rules file")(
    "hosts", po::value<std::string>()->required(), "host list, a JSON list")(
    "hosts-lag-ms",
    po::value<std::uint32_t>()->default_value(0),
    "delay before a changed host list is published")(
    "first-revision",
    po::value<std::uint64_t>()->default_value(1),
    "revision of the first rules file");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    Platform platform;
    platform.rulesFile = values["rules"].as<std::string>();
    platform.hostsFile = values["hosts"].as<std::string>();
    platform.hostsLag =
      milliseconds(values["hosts-lag-ms"].as<std::uint32_t>());
    platform.rulesRevision = values["first-revision"].as<std::uint64_t>() - 1;
    platform.hostsRevision = platform.rulesRevision;
    const std::string listen = values["listen"].as<std::string>();
    const auto colon = listen.rfind(':');
    asio::io_context context;
    tcp::acceptor acceptor(
      context,
      { asio::ip::make_address(listen.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(listen.substr(colon + 1))) });
    asio::steady_timer timer(context);
    reloadPeriodically(timer, platform);
    acceptNext(acceptor, platform);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](beast::error_code, int) { context.stop(); });
    context.run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "platform_standin: " << error.what() << '\n';
    return 2;
  }
}
