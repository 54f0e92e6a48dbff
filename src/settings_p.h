#ifndef TOUCANRIDGE_SETTINGS_P_H
#define TOUCANRIDGE_SETTINGS_P_H

/// Settings of the subcommands, from flags and TOUCANRIDGE_* environment
/// variables.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "log_p.h"

namespace toucanridge {

struct NodeSettings
{
  std::string host;           ///< name of this host
  std::string dataCentre;     ///< of this host
  std::string address;        ///< IPv4 address to listen on
  std::uint16_t httpPort = 0; ///< for callers
  std::uint16_t peerPort = 0; ///< for other nodes, TCP and UDP
  std::string platform;       ///< "http://address:port"
  /// "address:port" of peers to ask for the host list while the platform is
  /// down
  std::vector<std::string> seeds;
  std::uint32_t trafficThreads = 2; ///< for links between nodes
  std::uint32_t httpThreads = 4;    ///< for connections to backend servers
  std::string logFile;              ///< empty for standard error
  LogLevel logLevel = LogLevel::Info;
};

struct QuerySettings
{
  std::vector<std::string> entries; ///< "address:port" of entry hosts
  std::string dataCentre;           ///< nearest to the caller, may be empty
  std::string queryClass;
  std::string body;
  std::chrono::milliseconds deadline{ 0 }; ///< 0: the deadline of the class
  bool json = false;
};

struct StatusSettings
{
  std::string entry; ///< "address:port"
  bool all = false;  ///< ask every host that the entry host lists
  bool json = false;
};

struct RulesSettings
{
  std::vector<std::string> arguments; ///< after check, show or explain
  std::string entry;                  ///< "address:port"; empty to read a file
  std::string queryClass;
};

/// Why settings were refused, or the help text that was requested.
struct SettingsError
{
  std::string message;
  bool helpRequested = false; ///< `message` is the help text
};

template<class Settings>
using SettingsResult = tl::expected<Settings, SettingsError>;

SettingsResult<NodeSettings>
parseNodeSettings(const std::vector<std::string>& aArguments);
SettingsResult<QuerySettings>
parseQuerySettings(const std::vector<std::string>& aArguments);
SettingsResult<StatusSettings>
parseStatusSettings(const std::vector<std::string>& aArguments);
SettingsResult<RulesSettings>
parseRulesSettings(const std::vector<std::string>& aArguments);

} // namespace toucanridge

#endif // TOUCANRIDGE_SETTINGS_P_H
