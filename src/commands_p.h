#ifndef TOUCANRIDGE_COMMANDS_P_H
#define TOUCANRIDGE_COMMANDS_P_H

/// The subcommands of the program. Each takes the arguments after its name
/// and returns the process's exit code.

#include <string>
#include <vector>

namespace toucanridge {

using Arguments = std::vector<std::string>;

/// Exit codes of the process; 3 to 5 are those of `query` only.
enum ExitCode : int
{
  kExitOk = 0,      ///< success; for `query`, the answer is whole
  kExitFailed = 1,  ///< the command failed, or the rules file has faults
  kExitUsage = 2,   ///< a flag or variable is unknown, missing or invalid
  kExitPartial = 3, ///< the answer is partial
  kExitNotRun = 4,  ///< the query was refused; nothing was run
  kExitUnknown = 5, ///< the query may have run; its result is not known
};

int
commandNode(const Arguments& aArguments);
int
commandRules(const Arguments& aArguments);
int
commandQuery(const Arguments& aArguments);
int
commandStatus(const Arguments& aArguments);

/// Prints a usage error to standard error, as one line.
/// @returns kExitUsage
int
usageError(const std::string& aMessage);

} // namespace toucanridge

#endif // TOUCANRIDGE_COMMANDS_P_H
