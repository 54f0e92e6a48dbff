#ifndef TOUCANRIDGE_ANSWER_CHECK_H
#define TOUCANRIDGE_ANSWER_CHECK_H

/// Checks answers against what the stand-in servers return for a query.

#include <set>
#include <string>

#include <xxhash.h>

#include "toucanridge/toucanridge.h"

namespace toucanridge::load {

/// What a caller knows about the answer before it arrives.
struct Expected
{
  std::string body;               ///< of the query
  std::set<std::string> services; ///< of the application's snapshot
  bool fanOutAll = true;          ///< false: one of the services answers
};

/// A wrong answer, by the promise that it breaks.
enum class Fault : std::uint8_t
{
  None,
  Content,  ///< a part is not what its service returns for this body
  Services, ///< parts, outcome and stated coverage disagree
  Snapshot, ///< parts of more than one snapshot
};

/// @returns the text that a stand-in server returns
inline std::string
standInReply(const std::string& aService,
             std::uint64_t aSnapshot,
             const std::string& aBody)
{
  return aService + "#" + std::to_string(aSnapshot) + "#" +
         std::to_string(XXH3_64bits(aBody.data(), aBody.size()));
}

/// @returns true when outcome, coverage and number of parts agree
inline bool
coverageHolds(const QueryAnswer& aAnswer, const Expected& aExpected)
{
  const std::size_t total = aExpected.fanOutAll ? aExpected.services.size() : 1;
  const Coverage& coverage = aAnswer.coverage;
  switch (aAnswer.outcome) {
    case Outcome::Whole:
      return coverage.total == total && coverage.answered == total &&
             aAnswer.parts.size() == total;
    case Outcome::Partial:
      return coverage.total == total && coverage.answered < total &&
             coverage.answered > 0 && aAnswer.parts.size() == coverage.answered;
    case Outcome::NotRun:
    case Outcome::Unknown:
      return coverage.answered == 0 && aAnswer.parts.empty();
  }
  return false;
}

inline Fault
checkAnswer(const QueryAnswer& aAnswer, const Expected& aExpected)
{
  if (!coverageHolds(aAnswer, aExpected)) {
    return Fault::Services;
  }
  std::set<std::string> seen;
  for (const AnswerPart& part : aAnswer.parts) {
    if (aExpected.services.count(part.service) == 0 ||
        !seen.insert(part.service).second) {
      return Fault::Services;
    }
    if (part.body ==
        standInReply(part.service, aAnswer.snapshot, aExpected.body)) {
      continue;
    }
    // Tells a reply of another snapshot from one that belongs elsewhere.
    const auto first = part.body.find('#');
    const auto last = part.body.rfind('#');
    if (first == std::string::npos || last == first) {
      return Fault::Content;
    }
    const std::string snapshot = part.body.substr(first + 1, last - first - 1);
    const bool numeric =
      snapshot.find_first_not_of("0123456789") == std::string::npos &&
      !snapshot.empty() && snapshot.size() < 20;
    return numeric && part.body == standInReply(part.service,
                                                std::stoull(snapshot),
                                                aExpected.body)
             ? Fault::Snapshot
             : Fault::Content;
  }
  return Fault::None;
}

} // namespace toucanridge::load

#endif // TOUCANRIDGE_ANSWER_CHECK_H
