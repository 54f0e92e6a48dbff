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
    if (settings.error().helpRequested) {
      std::cout << settings.error().message;
      return kExitOk;
    }
    return usageError(settings.error().message);
  }
  const auto entryStatus = QueryClient::get(settings->entry, "/v1/status");
  if (!entryStatus) {
    std::cerr << "toucanridge: " << settings->entry << ": "
              << entryStatus.error() << '\n';
    return kExitFailed;
  }
  if (!settings->all) {
    std::cout << (settings->json ? *entryStatus + "\n"
                                 : statusTable({ *entryStatus }, {}));
    return kExitOk;
  }
  std::vector<std::string> statuses;
  std::vector<std::string> failures;
  for (const HostAddress& host : listedHosts(*entryStatus)) {
    const auto status = QueryClient::get(host.address, "/v1/status");
    if (status) {
      statuses.push_back(*status);
    } else {
      failures.push_back(host.name + ": " + status.error());
    }
  }
  if (settings->json) {
    std::cout << '[';
    for (std::size_t i = 0; i < statuses.size(); ++i) {
      std::cout << (i == 0 ? "" : ",\n") << statuses[i];
    }
    std::cout << "]\n";
  } else {
    std::cout << statusTable(statuses, failures);
  }
  return failures.empty() ? kExitOk : kExitFailed;
}

} // namespace toucanridge
