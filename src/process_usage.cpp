#include "process_usage_p.h"

#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace toucanridge {

ProcessUsage
processUsage()
{
  ProcessUsage usage;
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  usage.cpu =
    std::chrono::seconds(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
    std::chrono::microseconds(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
  // The first two numbers of statm are the virtual and the resident size, in
  // pages.
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  if (statm >> total >> resident) {
    usage.residentBytes =
      resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  }
  return usage;
}

} // namespace toucanridge
