#include "commands_p.h"

#include <iostream>

#include "client_http_p.h"
#include "settings_p.h"
#include "status_table_p.h"

namespace toucanridge {

int
commandStatus(const Arguments& aArguments)
{
  const auto settings = parseStatusSettings(aArguments);
  if (!settings) {
    if (settings.error().helpAsked) {
      std::cout << settings.error().message;
      return kExitOk;
    }
    return usageError(settings.error().message);
  }
  const auto first = Client::get(settings->entry, "/v1/status");
  if (!first) {
    std::cerr << "toucanridge: " << settings->entry << ": " << first.error()
              << '\n';
    return kExitFailed;
  }
  if (!settings->all) {
    std::cout << (settings->json ? *first + "\n" : statusTable({ *first }, {}));
    return kExitOk;
  }
  std::vector<std::string> answers;
  std::vector<std::string> silent;
  for (const HostAddress& host : listedHosts(*first)) {
    const auto answer = Client::get(host.address, "/v1/status");
    if (answer) {
      answers.push_back(*answer);
    } else {
      silent.push_back(host.name + ": " + answer.error());
    }
  }
  if (settings->json) {
    std::cout << '[';
    for (std::size_t i = 0; i < answers.size(); ++i) {
      std::cout << (i == 0 ? "" : ",\n") << answers[i];
    }
    std::cout << "]\n";
  } else {
    std::cout << statusTable(answers, silent);
  }
  return silent.empty() ? kExitOk : kExitFailed;
}

} // namespace toucanridge
