#include "query_context_p.h"

#include "log_p.h"

namespace toucanridge {

std::shared_ptr<RequestLosses>
makeLosses(Quarantine& aQuarantine,
           const HttpRequest& aRequest,
           const CallerHeaders& aCallerHeaders)
{
  const auto target = aRequest.target();
  const std::uint64_t fingerprint =
    requestFingerprint(headerValue(aRequest.base(), "Host"),
                       { target.data(), target.size() },
                       aRequest.body());
  return std::make_shared<RequestLosses>(
    aQuarantine, fingerprint, strikeHash(aCallerHeaders.requestId));
}

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
