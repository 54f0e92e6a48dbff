#ifndef TOUCANRIDGE_ANSWER_JSON_P_H
#define TOUCANRIDGE_ANSWER_JSON_P_H

/// Writers for JSON members that several answers share.

#include "json_p.h"
#include "toucanridge/toucanridge.h"

namespace toucanridge {

/// Writes request id, outcome, reason, coverage, snapshot and rules revision of
/// an answer into an open JSON object.
/// @tparam Answer QueryAnswer or RecentAnswer
template<class Answer>
void
writeOutcome(JsonWriter& aOut, const Answer& aAnswer)
{
  aOut.text("request_id", aAnswer.requestId);
  aOut.text("outcome", toString(aAnswer.outcome));
  aOut.text("reason", aAnswer.reason);
  aOut.beginObject("coverage");
  aOut.number("answered", aAnswer.coverage.answered);
  aOut.number("total", aAnswer.coverage.total);
  aOut.endObject();
  aOut.number("snapshot", aAnswer.snapshot);
  aOut.number("revision", aAnswer.revision);
}

/// Writes line, text and author of a rule into an open JSON object.
/// @tparam Rule has the members of GoverningRule
template<class Rule>
void
writeRule(JsonWriter& aOut, const Rule& aRule)
{
  aOut.number("line", aRule.line);
  aOut.text("text", aRule.text);
  aOut.text("asked_by", aRule.askedBy);
}

} // namespace toucanridge

#endif // TOUCANRIDGE_ANSWER_JSON_P_H
