#include "run_handlers_p.h"

#include <exception>

#include "clock_p.h"
#include "log_limit_p.h"
#include "log_p.h"

namespace toucanridge {
namespace {

/// Most exceptions logged in a second by one thread.
constexpr std::uint32_t kMaxLinesPerSecond = 10;

} // namespace

void
runHandlers(boost::asio::io_context& aContext, const char* aThread)
{
  const SystemClock clock;
  LogRateLimiter limit(clock, kMaxLinesPerSecond);
  while (!aContext.stopped()) {
    try {
      aContext.run();
      return;
    } catch (const std::exception& error) {
      if (limit.allows()) {
        logWrite(LogLevel::Error,
                 LogLine("handler-failed")
                   .add("thread", aThread)
                   .addText("reason", error.what())
                   .add("suppressed", limit.takeSuppressed()));
      }
    }
  }
}

} // namespace toucanridge
