#include "query_context_p.h"

#include "log_p.h"

namespace toucanridge {

void
logAnswer(const QueryContext& aQuery,
          TimePoint aNow,
          unsigned aStatus,
          const char* aReason,
          const std::string& aDetails)
{
  if (!logEnabled(LogLevel::Info)) {
    return;
  }
  const auto micros = [](Duration aTime) {
    return std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
  };
  logWrite(LogLevel::Info,
           LogLine("answer")
             .add("id", aQuery.terms.requestId)
             .add("route", aQuery.route->name)
             .add("version", aQuery.routing->version())
             .add("status", aStatus)
             .add("us", micros(aNow - aQuery.exchange->receivedAt()))
             .add("left_us", micros(aQuery.deadline - aNow))
             .addText("reason", aReason)
             .addText("parts", aDetails));
}

} // namespace toucanridge
