#include "query_context_p.h"

#include "log_p.h"

namespace toucanridge {

void
recordAnswer(const QueryDependencies& aDeps,
             const QueryContext& aQuery,
             unsigned aStatus,
             const char* aReason,
             const std::string& aDetails)
{
  const TimePoint now = aDeps.clock.now();
  const Duration latency = now - aQuery.exchange->receivedAt();
  aDeps.metrics.onAnswer(aQuery.route->name, aStatus, aReason, latency);
  if (!logEnabled(LogLevel::Info)) {
    return;
  }
  const auto micros = [](Duration aTime) {
    return std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
  };
  logWrite(LogLevel::Info,
           LogLine("answer")
             .add("id", aQuery.callerHeaders.requestId)
             .add("route", aQuery.route->name)
             .add("version", aQuery.routing->version())
             .add("status", aStatus)
             .add("us", micros(latency))
             .add("left_us", micros(aQuery.deadline - now))
             .addText("reason", aReason)
             .addText("parts", aDetails));
}

} // namespace toucanridge
