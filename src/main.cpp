#include <cstring>
#include <iostream>

#include "commands_p.h"
#include "platform_command.h"
#include "toucanridge/toucanridge.h"

namespace {

struct Command
{
  const char* name;
  const char* brief;
  int (*run)(const toucanridge::Arguments&);
};

constexpr Command kCommands[] = {
  { "node", "run an entry host", toucanridge::commandNode },
  { "platform",
    "run an entry host on the platform",
    toucanridge::platform::commandPlatform },
  { "rules", "check, show or explain rules", toucanridge::commandRules },
  { "query", "send a query as a caller", toucanridge::commandQuery },
  { "status", "print a node's view", toucanridge::commandStatus },
};

void
printHelp()
{
  std::cout << "usage: toucanridge COMMAND [FLAGS]\n\n";
  for (const Command& command : kCommands) {
    std::cout << "  " << command.name
              << std::string(10 - std::strlen(command.name), ' ')
              << command.brief << '\n';
  }
  std::cout << "\n  --help     print this help (after COMMAND: its flags)\n"
            << "  --version  print the version\n\n"
            << "Each flag can be given as an environment variable: --http-port "
               "as TOUCANRIDGE_HTTP_PORT.\n";
}

} // namespace

int
main(int aCount, char** aValues)
{
  const toucanridge::Arguments arguments(aValues + 1, aValues + aCount);
  if (arguments.empty()) {
    return toucanridge::usageError("a command is missing; see --help");
  }
  if (arguments[0] == "--help") {
    printHelp();
    return toucanridge::kExitOk;
  }
  if (arguments[0] == "--version") {
    std::cout << "toucanridge " << toucanridge::version() << '\n';
    return toucanridge::kExitOk;
  }
  for (const Command& command : kCommands) {
    if (arguments[0] == command.name) {
      return command.run({ arguments.begin() + 1, arguments.end() });
    }
  }
  return toucanridge::usageError("unknown command '" + arguments[0] + "'");
}
