#include "commands_p.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "client_http_p.h"
#include "http_message_p.h"
#include "rules_p.h"
#include "settings_p.h"
#include "status_table_p.h"

namespace toucanridge {
namespace {

constexpr const char* kHelp =
  "toucanridge rules check FILE                  check a rules file\n"
  "toucanridge rules show FILE                   list every rule of a file\n"
  "toucanridge rules show --entry A:P            list the rules in force\n"
  "toucanridge rules explain FILE CLASS          rules of a file for a class\n"
  "toucanridge rules explain --class C --entry A:P\n"
  "                                              rules in force for a class\n"
  "toucanridge rules explain REQUEST-ID --entry A:P\n"
  "                                              rules of a recent answer\n";

/// Parses a rules file and prints its faults to standard error.
/// @returns the exit code
int
readRules(const std::string& aFile, RulesResult& aResult)
{
  std::ifstream in(aFile, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    std::cerr << "toucanridge: can't read '" << aFile << "'\n";
    return kExitFailed;
  }
  aResult = parseRules(text.str());
  for (const RuleFault& fault : aResult.faults) {
    std::cerr << aFile << ':' << fault.line << ':' << fault.column << ": "
              << fault.message << '\n';
  }
  return aResult.rules ? kExitOk : kExitFailed;
}

void
printRule(const Provenance& aRule)
{
  if (aRule.line == 0) {
    std::cout << "built-in  " << aRule.text << "  # " << aRule.reason << '\n';
    return;
  }
  std::cout << std::setw(8) << aRule.line << "  " << aRule.text
            << "  # asked by " << aRule.askedBy << " : " << aRule.reason
            << '\n';
}

/// Prints the rules that a node returns for a path.
/// @param[in] aEntry "address:port" of the node
/// @param[in] aPath path and query, encoded
/// @returns the exit code
int
printRulesOfNode(const std::string& aEntry, const std::string& aPath)
{
  const auto answer = QueryClient::get(aEntry, aPath);
  if (!answer) {
    std::cerr << "toucanridge: " << aEntry << ": " << answer.error() << '\n';
    return kExitFailed;
  }
  std::cout << rulesTable(*answer);
  return kExitOk;
}

/// Explains a recent answer. Only the node that gave it remembers it, so the
/// request goes to the host that the request id names, or to the entry host
/// when that host isn't listed. A request id is HOST-INCARNATION-NUMBER.
int
explainRequest(const std::string& aEntry, const std::string& aRequestId)
{
  std::string host = aRequestId.substr(0, aRequestId.rfind('-'));
  host = host.substr(0, host.rfind('-'));
  std::string address = aEntry;
  if (const auto status = QueryClient::get(aEntry, "/v1/status")) {
    for (const HostAddress& listed : listedHosts(*status)) {
      if (listed.name == host) {
        address = listed.address;
      }
    }
  }
  return printRulesOfNode(
    address, "/v1/explain?request_id=" + percentEncode(aRequestId));
}

/// Runs `show` or `explain` on the rules in force at a node.
int
runOnNode(const std::string& aAction, const RulesSettings& aSettings)
{
  const std::size_t count = aSettings.arguments.size();
  if (aAction == "show" && count == 0 && aSettings.queryClass.empty()) {
    return printRulesOfNode(aSettings.entry, "/v1/rules");
  }
  if (aAction == "explain" && count == 0 && !aSettings.queryClass.empty()) {
    return printRulesOfNode(aSettings.entry,
                            "/v1/explain?class=" +
                              percentEncode(aSettings.queryClass));
  }
  if (aAction == "explain" && count == 1 && aSettings.queryClass.empty()) {
    return explainRequest(aSettings.entry, aSettings.arguments[0]);
  }
  return usageError("rules: with --entry, expected show, explain REQUEST-ID or "
                    "explain --class C");
}

/// Runs `check`, `show` or `explain` on a rules file.
int
runOnFile(const std::string& aAction,
          const std::vector<std::string>& aArguments)
{
  const bool explain = aAction == "explain";
  if (aArguments.size() != (explain ? 2U : 1U)) {
    return usageError("rules: expected check FILE, show FILE or explain FILE "
                      "CLASS; or --entry");
  }
  RulesResult result;
  const int code = readRules(aArguments[0], result);
  if (code != kExitOk) {
    return code;
  }
  if (aAction == "check") {
    std::cout << aArguments[0] << ": ok\n";
    return kExitOk;
  }
  if (!explain) {
    for (const Provenance& rule : listRules(*result.rules)) {
      printRule(rule);
    }
    return kExitOk;
  }
  if (result.rules->classes.count(aArguments[1]) == 0) {
    std::cerr << "toucanridge: no rule for class '" << aArguments[1] << "'\n";
    return kExitFailed;
  }
  for (const GoverningRule& rule :
       governingRules(*result.rules, aArguments[1])) {
    printRule({ rule.line, rule.text, rule.askedBy, "" });
  }
  return kExitOk;
}

} // namespace

int
commandRules(const Arguments& aArguments)
{
  if (!aArguments.empty() && aArguments[0] == "--help") {
    std::cout << kHelp;
    return kExitOk;
  }
  if (aArguments.empty() ||
      (aArguments[0] != "check" && aArguments[0] != "show" &&
       aArguments[0] != "explain")) {
    return usageError("rules: expected check, show or explain; see --help");
  }
  const auto settings =
    parseRulesSettings({ aArguments.begin() + 1, aArguments.end() });
  if (!settings) {
    if (settings.error().helpRequested) {
      std::cout << kHelp;
      return kExitOk;
    }
    return usageError(settings.error().message);
  }
  if (!settings->entry.empty() && aArguments[0] != "check") {
    return runOnNode(aArguments[0], *settings);
  }
  if (!settings->entry.empty() || !settings->queryClass.empty()) {
    return usageError("rules: --class needs --entry, and check takes a file");
  }
  return runOnFile(aArguments[0], settings->arguments);
}

} // namespace toucanridge
