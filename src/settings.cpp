#include "settings_p.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <limits>
#include <sstream>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/program_options.hpp>

extern char** environ;

namespace toucanridge {
namespace {

namespace po = boost::program_options;

constexpr const char* kVariablePrefix = "TOUCANRIDGE_";
constexpr std::uint32_t kMaxThreads = 256;

/// Thrown on an invalid setting; what() is the message for the user.
struct BadSetting : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// Parses flags, then environment variables for options that no flag set.
/// Throws when a flag or a variable is unknown, invalid or missing.
po::variables_map
parseOptions(const po::options_description& aOptions,
             const std::vector<std::string>& aArguments,
             const po::positional_options_description& aPositional)
{
  po::variables_map values;
  po::store(po::command_line_parser(aArguments)
              .options(aOptions)
              .positional(aPositional)
              .run(),
            values);
  if (values.count("help") != 0) {
    return values;
  }
  const auto variableToOption =
    [&](const std::string& aVariable) -> std::string {
    if (aVariable.compare(0, std::strlen(kVariablePrefix), kVariablePrefix) !=
        0) {
      return {};
    }
    std::string name = aVariable.substr(std::strlen(kVariablePrefix));
    std::transform(name.begin(), name.end(), name.begin(), [](char aChar) {
      return aChar == '_' ? '-'
                          : static_cast<char>(
                              std::tolower(static_cast<unsigned char>(aChar)));
    });
    if (aOptions.find_nothrow(name, false) == nullptr) {
      throw BadSetting("unknown environment variable '" + aVariable + "'");
    }
    return name;
  };
  po::store(po::parse_environment(aOptions, variableToOption), values);
  po::notify(values);
  return values;
}

// Each check below returns the value, converted where needed, or throws
// BadSetting.

std::string
checkAddress(const std::string& aText, const char* aOption)
{
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(aText, error);
  if (error) {
    throw BadSetting(std::string("--") + aOption + ": '" + aText +
                     "' is not an IPv4 address");
  }
  return aText;
}

std::uint16_t
checkPort(std::int64_t aValue, const char* aOption)
{
  if (aValue < 1 || aValue > std::numeric_limits<std::uint16_t>::max()) {
    throw BadSetting(std::string("--") + aOption + ": must be from 1 to 65535");
  }
  return static_cast<std::uint16_t>(aValue);
}

std::uint32_t
checkThreads(std::int64_t aValue, const char* aOption)
{
  if (aValue < 1 || aValue > kMaxThreads) {
    throw BadSetting(std::string("--") + aOption + ": must be from 1 to 256");
  }
  return static_cast<std::uint32_t>(aValue);
}

std::string
checkEndpoint(const std::string& aText, const char* aOption)
{
  const auto colon = aText.rfind(':');
  std::int64_t port = 0;
  std::istringstream in(colon == std::string::npos ? std::string()
                                                   : aText.substr(colon + 1));
  if (!(in >> port) || !in.eof()) {
    throw BadSetting(std::string("--") + aOption + ": '" + aText +
                     "' is not address:port");
  }
  checkPort(port, aOption);
  checkAddress(aText.substr(0, colon), aOption);
  return aText;
}

LogLevel
checkLogLevel(const std::string& aText)
{
  constexpr std::pair<const char*, LogLevel> kLevels[] = {
    { "debug", LogLevel::Debug },
    { "info", LogLevel::Info },
    { "warn", LogLevel::Warn },
    { "error", LogLevel::Error },
  };
  for (const auto& [name, level] : kLevels) {
    if (aText == name) {
      return level;
    }
  }
  throw BadSetting("--log-level: must be debug, info, warn or error");
}

std::string
checkUrl(const std::string& aText)
{
  const std::string scheme = "http://";
  if (aText.compare(0, scheme.size(), scheme) != 0) {
    throw BadSetting("--platform: must be http://address:port");
  }
  checkEndpoint(aText.substr(scheme.size()), "platform");
  return aText;
}

std::string
checkNotEmpty(const std::string& aText, const char* aOption)
{
  if (aText.empty()) {
    throw BadSetting(std::string("--") + aOption + ": must not be empty");
  }
  return aText;
}

/// Parses the settings of a subcommand.
/// @param[in] aFill checks the values of the options and stores them; throws
///            BadSetting
template<class Settings, class Fill>
SettingsResult<Settings>
parseSettings(const po::options_description& aOptions,
              const std::vector<std::string>& aArguments,
              Fill aFill,
              const po::positional_options_description& aPositional = {})
{
  try {
    const po::variables_map values =
      parseOptions(aOptions, aArguments, aPositional);
    if (values.count("help") != 0) {
      std::ostringstream help;
      help << aOptions;
      return tl::make_unexpected(SettingsError{ help.str(), true });
    }
    Settings settings;
    aFill(values, settings);
    return settings;
  } catch (const std::exception& error) {
    return tl::make_unexpected(SettingsError{ error.what(), false });
  }
}

} // namespace

SettingsResult<NodeSettings>
parseNodeSettings(const std::vector<std::string>& aArguments)
{
  po::options_description options("toucanridge node");
  options.add_options()("help", "print this help")(
    "host", po::value<std::string>()->required(), "name of this host")(
    "data-centre",
    po::value<std::string>()->required(),
    "data centre of this host")("address",
                                po::value<std::string>()->required(),
                                "IPv4 address to listen on")(
    "http-port", po::value<std::int64_t>()->required(), "port for callers")(
    "peer-port",
    po::value<std::int64_t>()->required(),
    "TCP and UDP port for other nodes")(
    "platform",
    po::value<std::string>()->required(),
    "configuration service and host list, http://address:port")(
    "seeds",
    po::value<std::string>()->default_value(""),
    "address:port,... of peers to ask for the host list while the platform is "
    "down")("traffic-threads",
            po::value<std::int64_t>()->default_value(2),
            "threads for links between nodes")(
    "http-threads",
    po::value<std::int64_t>()->default_value(4),
    "threads for connections to backend servers")(
    "log-file",
    po::value<std::string>()->default_value(""),
    "log file; standard error when empty")(
    "log-level",
    po::value<std::string>()->default_value("info"),
    "debug, info, warn or error");
  return parseSettings<NodeSettings>(
    options,
    aArguments,
    [](const po::variables_map& aValues, NodeSettings& aSettings) {
      aSettings.host = checkNotEmpty(aValues["host"].as<std::string>(), "host");
      aSettings.dataCentre =
        checkNotEmpty(aValues["data-centre"].as<std::string>(), "data-centre");
      aSettings.address =
        checkAddress(aValues["address"].as<std::string>(), "address");
      aSettings.httpPort =
        checkPort(aValues["http-port"].as<std::int64_t>(), "http-port");
      aSettings.peerPort =
        checkPort(aValues["peer-port"].as<std::int64_t>(), "peer-port");
      aSettings.platform = checkUrl(aValues["platform"].as<std::string>());
      std::istringstream seeds(aValues["seeds"].as<std::string>());
      for (std::string seed; std::getline(seeds, seed, ',');) {
        aSettings.seeds.push_back(checkEndpoint(seed, "seeds"));
      }
      aSettings.trafficThreads = checkThreads(
        aValues["traffic-threads"].as<std::int64_t>(), "traffic-threads");
      aSettings.httpThreads = checkThreads(
        aValues["http-threads"].as<std::int64_t>(), "http-threads");
      aSettings.logFile = aValues["log-file"].as<std::string>();
      aSettings.logLevel =
        checkLogLevel(aValues["log-level"].as<std::string>());
    });
}

SettingsResult<QuerySettings>
parseQuerySettings(const std::vector<std::string>& aArguments)
{
  po::options_description options("toucanridge query");
  options.add_options()("help", "print this help")(
    "entry",
    po::value<std::vector<std::string>>()->required(),
    "address:port of an entry host; may be repeated")(
    "data-centre",
    po::value<std::string>()->default_value(""),
    "nearest data centre")(
    "class", po::value<std::string>()->required(), "query class")(
    "body", po::value<std::string>()->required(), "text of the query")(
    "deadline-ms",
    po::value<std::int64_t>()->default_value(0),
    "deadline; 0 for that of the class")(
    "json", po::bool_switch(), "print the answer as JSON");
  return parseSettings<QuerySettings>(
    options,
    aArguments,
    [](const po::variables_map& aValues, QuerySettings& aSettings) {
      for (const auto& entry :
           aValues["entry"].as<std::vector<std::string>>()) {
        aSettings.entries.push_back(checkEndpoint(entry, "entry"));
      }
      aSettings.dataCentre = aValues["data-centre"].as<std::string>();
      aSettings.queryClass =
        checkNotEmpty(aValues["class"].as<std::string>(), "class");
      aSettings.body = aValues["body"].as<std::string>();
      const auto deadline = aValues["deadline-ms"].as<std::int64_t>();
      if (deadline < 0 || deadline > 60000) {
        throw BadSetting("--deadline-ms: must be from 0 to 60000");
      }
      aSettings.deadline = std::chrono::milliseconds(deadline);
      aSettings.json = aValues["json"].as<bool>();
    });
}

SettingsResult<StatusSettings>
parseStatusSettings(const std::vector<std::string>& aArguments)
{
  po::options_description options("toucanridge status");
  options.add_options()("help",
                        "print this help")("entry",
                                           po::value<std::string>()->required(),
                                           "address:port of an entry host")(
    "all", po::bool_switch(), "ask every host that the entry host lists")(
    "json", po::bool_switch(), "print JSON");
  return parseSettings<StatusSettings>(
    options,
    aArguments,
    [](const po::variables_map& aValues, StatusSettings& aSettings) {
      aSettings.entry =
        checkEndpoint(aValues["entry"].as<std::string>(), "entry");
      aSettings.all = aValues["all"].as<bool>();
      aSettings.json = aValues["json"].as<bool>();
    });
}

SettingsResult<RulesSettings>
parseRulesSettings(const std::vector<std::string>& aArguments)
{
  po::options_description options("toucanridge rules");
  options.add_options()("help", "print this help")(
    "entry",
    po::value<std::string>()->default_value(""),
    "address:port of an entry host; without it, a file is read")(
    "class", po::value<std::string>()->default_value(""), "query class")(
    "argument", po::value<std::vector<std::string>>()->default_value({}, ""));
  po::positional_options_description positional;
  positional.add("argument", -1);
  return parseSettings<RulesSettings>(
    options,
    aArguments,
    [](const po::variables_map& aValues, RulesSettings& aSettings) {
      aSettings.arguments = aValues["argument"].as<std::vector<std::string>>();
      const std::string entry = aValues["entry"].as<std::string>();
      if (!entry.empty()) {
        aSettings.entry = checkEndpoint(entry, "entry");
      }
      aSettings.queryClass = aValues["class"].as<std::string>();
    },
    positional);
}

} // namespace toucanridge
