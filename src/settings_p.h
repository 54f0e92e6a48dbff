#ifndef TOUCANRIDGE_SETTINGS_P_H
#define TOUCANRIDGE_SETTINGS_P_H

/// Settings of the subcommands, from flags and TOUCANRIDGE_* variables.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "log_p.h"

namespace toucanridge {

struct NodeSettings
{
  std::string host;
  std::string dataCentre;
  std::string address; ///< IPv4
  std::uint16_t httpPort = 0;
  std::uint16_t peerPort = 0; ///< TCP and UDP
  std::string platform;       ///< "http://address:port"
  /// "address:port" of peers to ask while the platform is down
  std::vector<std::string> seeds;
  std::uint32_t trafficThreads = 2;
  std::uint32_t httpThreads = 4;
  std::string logFile;
  LogLevel logLevel = LogLevel::Info;
};

struct QuerySettings
{
  std::vector<std::string> entries; ///< "address:port" of entry hosts
  std::string dataCentre;
  std::string queryClass;
  std::string body;
  std::chrono::milliseconds deadline{ 0 };
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
  std::vector<std::string> arguments; ///< without the verb
  std::string entry;                  ///< "address:port", empty for a file
  std::string queryClass;
};

/// The reason a command line was refused, or the help that was asked for.
struct SettingsError
{
  std::string message;
  bool helpAsked = false;
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
