#include "commands_p.h"

#include <csignal>
#include <iostream>

#include "log_p.h"
#include "node_p.h"

namespace toucanridge {

int
usageError(const std::string& aMessage)
{
  std::cerr << "toucanridge: " << aMessage << '\n';
  return kExitUsage;
}

int
commandNode(const Arguments& aArguments)
{
  const auto settings = parseNodeSettings(aArguments);
  if (!settings) {
    if (settings.error().helpRequested) {
      std::cout << settings.error().message;
      return kExitOk;
    }
    return usageError(settings.error().message);
  }
  // Blocked before any thread starts, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  logInit(settings->logFile, settings->logLevel);
  int exitCode = kExitOk;
  {
    Node node(*settings);
    const std::error_code error = node.init();
    if (error) {
      std::cerr << "toucanridge: can't listen on " << settings->address << ": "
                << error.message() << '\n';
      // Threads are running already; exit without running destructors.
      logShutdown();
      std::_Exit(kExitFailed);
    }
    int signal = 0;
    sigwait(&signals, &signal);
    node.shutdown();
  }
  logShutdown();
  return exitCode;
}

} // namespace toucanridge
