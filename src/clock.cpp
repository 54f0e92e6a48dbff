#include "clock_p.h"

#include <ctime>

namespace toucanridge {

// CLOCK_BOOTTIME, because CLOCK_MONOTONIC doesn't advance while the machine is
// suspended: a lease would be used past its expiry.
TimePoint
SystemClock::now() const
{
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::seconds(ts.tv_sec) +
                   std::chrono::nanoseconds(ts.tv_nsec));
}

std::chrono::milliseconds
unixTime()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace toucanridge
