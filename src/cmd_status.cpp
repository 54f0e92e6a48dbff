#include "commands_p.h"

#include <iostream>

#include "client_http_p.h"
#include "settings_p.h"

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
  Client client({ settings->entry }, {});
  const auto status = client.status(settings->entry);
  if (!status) {
    std::cerr << "toucanridge: " << settings->entry << ": " << status.error()
              << '\n';
    return kExitFailed;
  }
  std::cout << *status << '\n';
  return kExitOk;
}

} // namespace toucanridge
