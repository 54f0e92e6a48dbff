#include "commands_p.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "rules_p.h"

namespace toucanridge {
namespace {

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

} // namespace

int
commandRules(const Arguments& aArguments)
{
  if (aArguments.size() == 1 && aArguments[0] == "--help") {
    std::cout << "toucanridge rules check FILE          check a rules file\n"
                 "toucanridge rules show FILE           list every rule\n"
                 "toucanridge rules explain FILE CLASS  list the rules that "
                 "govern a class\n";
    return kExitOk;
  }
  const bool explain = !aArguments.empty() && aArguments[0] == "explain";
  const bool known =
    !aArguments.empty() &&
    (explain || aArguments[0] == "check" || aArguments[0] == "show");
  if (!known || aArguments.size() != (explain ? 3U : 2U)) {
    return usageError("rules: expected check FILE, show FILE or explain FILE "
                      "CLASS");
  }
  RulesResult result;
  const int code = readRules(aArguments[1], result);
  if (code != kExitOk) {
    return code;
  }
  if (aArguments[0] == "check") {
    std::cout << aArguments[1] << ": ok\n";
    return kExitOk;
  }
  if (aArguments[0] == "show") {
    for (const Provenance& rule : listRules(*result.rules)) {
      printRule(rule);
    }
    return kExitOk;
  }
  if (result.rules->classes.count(aArguments[2]) == 0) {
    std::cerr << "toucanridge: no rule for class '" << aArguments[2] << "'\n";
    return kExitFailed;
  }
  for (const GoverningRule& rule :
       governingRules(*result.rules, aArguments[2])) {
    printRule({ rule.line, rule.text, rule.askedBy, "" });
  }
  return kExitOk;
}

} // namespace toucanridge
