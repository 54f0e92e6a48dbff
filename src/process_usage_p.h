#ifndef TOUCANRIDGE_PROCESS_USAGE_P_H
#define TOUCANRIDGE_PROCESS_USAGE_P_H

#include <chrono>
#include <cstdint>

namespace toucanridge {

/// What this process has used.
struct ProcessUsage
{
  std::chrono::microseconds cpu{ 0 }; ///< user and system, since start
  std::uint64_t residentBytes = 0;
};

ProcessUsage
processUsage();

} // namespace toucanridge

#endif // TOUCANRIDGE_PROCESS_USAGE_P_H
