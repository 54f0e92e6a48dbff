#ifndef TOUCANRIDGE_PROCESS_USAGE_P_H
#define TOUCANRIDGE_PROCESS_USAGE_P_H

#include <chrono>
#include <cstdint>

namespace toucanridge {

/// CPU time and memory of this process.
struct ProcessUsage
{
  std::chrono::microseconds cpu{ 0 }; ///< user and system, since start
  std::uint64_t residentBytes = 0;    ///< now; 0 when it can't be read
};

ProcessUsage
processUsage();

} // namespace toucanridge

#endif // TOUCANRIDGE_PROCESS_USAGE_P_H
