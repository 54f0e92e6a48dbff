#ifndef TOUCANRIDGE_HOST_PROCESS_H
#define TOUCANRIDGE_HOST_PROCESS_H

/// The program, run as a host of the platform in a process of its own.

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform_settings.h"

namespace toucanridge {

constexpr std::uint16_t kCallerPort = 8104;
constexpr std::uint16_t kReadinessPort = 8108;
constexpr std::uint16_t kServerPort = 8080;
constexpr std::uint16_t kStorePort = 8102;

/// @returns the store's value for a server at kServerPort
inline std::string
serverEntryText(const std::string& aService,
                const std::string& aAddress,
                const std::string& aDataCentre)
{
  return R"({"service":")" + aService + R"(","address":")" + aAddress + ":" +
         std::to_string(kServerPort) + R"(","zone":")" + aDataCentre +
         R"(","version":"v1","slots":3,"state":"ready","warmup_left_ms":0,)" +
         R"("sequence":1,"born":1})";
}

/// A route with the prefix "/NAME/", to a service of the same name.
struct TestRoute
{
  std::string name;
  std::string fields; ///< of its type and targets
};

/// @returns the store's value for a configuration of routes of "h.example"
inline std::string
configurationText(const std::vector<TestRoute>& aRoutes,
                  std::size_t aMaxConnections)
{
  std::ostringstream routes;
  std::ostringstream services;
  const char* separator = "";
  for (const TestRoute& route : aRoutes) {
    routes << separator << R"({"name":")" << route.name
           << R"(","host":"h.example","prefix":"/)" << route.name
           << R"(/","timeout_ms":1500,"target_latency_ms":400,)"
           << R"("max_attempts":2,)" << route.fields << "}";
    services << separator << R"({"name":")" << route.name
             << R"(","max_connections":)" << aMaxConnections << "}";
    separator = ",";
  }
  return R"({"version":1,"routes":[)" + routes.str() + R"(],"services":[)" +
         services.str() + "]}";
}

/// @param[in] aProcess its id, or "self"
/// @param[in] aKey of the process's status, such as "VmRSS:"
/// @returns bytes
inline std::size_t
processMemory(const std::string& aProcess, const std::string& aKey)
{
  std::ifstream in("/proc/" + aProcess + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (in >> word && word != aKey) {
  }
  in >> kilobytes;
  return kilobytes * 1024;
}

/// A host in data centre "dc-a", without peers.
class HostProcess
{
public:
  /// A host of the platform.
  /// @param[in] aMoreSettings lines of the settings file
  HostProcess(std::string aAddress,
              const std::string& aStore,
              const std::string& aMoreSettings = {})
    : m_address(std::move(aAddress))
    , m_path("/tmp/toucanridge-host-" + m_address + ".conf")
  {
    writeSettings(aStore, aMoreSettings);
    start({ "platform" });
  }
  /// A node with the project's own interface, whose platform is down.
  HostProcess(std::string aAddress,
              std::uint16_t aHttpPort,
              std::uint16_t aPeerPort)
    : m_address(std::move(aAddress))
    , m_path("/tmp/toucanridge-host-" + m_address + ".log")
  {
    start({ "node",
            "--host=node",
            "--data-centre=dc-a",
            "--address=" + m_address,
            "--http-port=" + std::to_string(aHttpPort),
            "--peer-port=" + std::to_string(aPeerPort),
            "--platform=http://" + m_address + ":1",
            "--log-file=" + m_path });
  }
  ~HostProcess()
  {
    if (isRunning()) {
      ::kill(m_process, SIGKILL);
      ::waitpid(m_process, nullptr, 0);
    }
    std::filesystem::remove(m_path);
  }

  bool isRunning()
  {
    if (!m_ended) {
      m_ended = ::waitpid(m_process, nullptr, WNOHANG) == m_process;
    }
    return !m_ended;
  }

  /// @returns true when the host was ready within some seconds and had passed
  ///          its configuration to the thread that serves callers
  bool waitUntilReady() const
  {
    return waitFor(kReadinessPort, "/ready", "HTTP/1.1 200") &&
           waitFor(kCallerPort, "/no-such-route/", "HTTP/1.1 404");
  }

  /// @param[in] aHeaders of the request, each with its line's end
  /// @returns all bytes of the host's answer, empty when it can't be reached
  std::string get(std::uint16_t aPort,
                  const std::string& aPath,
                  const std::string& aHeaders) const
  {
    return exchange(aPort,
                    "GET " + aPath + " HTTP/1.1\r\nHost: h.example\r\n" +
                      aHeaders + "Connection: close\r\n\r\n");
  }

  /// @returns all bytes that the host sends until it closes the connection or
  ///          falls silent
  std::string exchange(std::uint16_t aPort, const std::string& aRequest) const
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({ boost::asio::ip::make_address(m_address), aPort }, error);
    if (!error) {
      boost::asio::write(socket, boost::asio::buffer(aRequest), error);
    }
    const timeval limit{ kAnswerLimit.count(), 0 };
    ::setsockopt(
      socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string answer;
    std::array<char, 65536> part{};
    for (ssize_t size = 0;
         !error &&
         (size = ::recv(socket.native_handle(), part.data(), part.size(), 0)) >
           0;) {
      answer.append(part.data(), static_cast<std::size_t>(size));
    }
    return answer;
  }

  /// @returns the most memory that the process has held so far, in bytes
  std::size_t peakMemory() const
  {
    return processMemory(std::to_string(m_process), "VmHWM:");
  }

  std::size_t openDescriptors() const
  {
    std::error_code error;
    const std::filesystem::directory_iterator all(
      "/proc/" + std::to_string(m_process) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }

private:
  static constexpr std::chrono::seconds kStartLimit{ 5 };
  /// A host that sends nothing for this long doesn't answer.
  static constexpr std::chrono::seconds kAnswerLimit{ 10 };

  void start(const std::vector<std::string>& aArguments)
  {
    const std::string program =
      std::filesystem::canonical("/proc/self/exe").parent_path() /
      "toucanridge";
    std::vector<char*> arguments{ const_cast<char*>(program.c_str()) };
    for (const std::string& argument : aArguments) {
      arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    m_process = ::fork();
    if (m_process == 0) {
      if (aArguments.front() == "platform") {
        ::setenv(platform::kSettingsVariable, m_path.c_str(), 1);
      }
      ::execv(program.c_str(), arguments.data());
      ::_exit(127);
    }
  }

  bool waitFor(std::uint16_t aPort,
               const std::string& aPath,
               const std::string& aStart) const
  {
    const auto limit = std::chrono::steady_clock::now() + kStartLimit;
    while (get(aPort, aPath, "").compare(0, aStart.size(), aStart) != 0) {
      if (std::chrono::steady_clock::now() > limit) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  void writeSettings(const std::string& aStore,
                     const std::string& aMoreSettings) const
  {
    std::ofstream(m_path)
      << "node_name=host-0\nzone=dc-a\nregion=r\nlisten.frontend=" << m_address
      << ":" << kCallerPort << "\nlisten.readiness=" << m_address << ":"
      << kReadinessPort << "\nlisten.directory=" << m_address
      << ":8100\nport_range=7380,7395\nseeds=" << m_address
      << ":8106\nbounds.grace_s=2\nbounds.retry_slack=500\n"
      << "bounds.retry_budget_ratio=0.5\nplatform.address=" << aStore << ":"
      << kStorePort << "\n"
      << aMoreSettings;
  }

  const std::string m_address;
  const std::string m_path;
  ::pid_t m_process = 0;
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_HOST_PROCESS_H
