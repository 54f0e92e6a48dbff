#ifndef TOUCANRIDGE_ANSWER_CHECK_H
#define TOUCANRIDGE_ANSWER_CHECK_H

/// Checks answers against the replies that the stand-in servers give to a
/// query.

#include <set>
#include <string>

#include <xxhash.h>

#include "toucanridge/toucanridge.h"

namespace toucanridge::load {

/// The query and its application, against which an answer is checked.
struct ExpectedAnswer
{
  std::string body;               ///< body of the query
  std::set<std::string> services; ///< services of the snapshot
  bool fanOutAll = true; ///< false: the query is sent to one service only
};

/// The first inconsistency that was found in an answer.
enum class Fault : std::uint8_t
{
  None,
  Content,  ///< a part differs from its service's reply to this query
  Services, ///< parts, outcome and reported coverage disagree
  Snapshot, ///< a part belongs to a snapshot other than the answer's
};

/// @returns the body of a stand-in server's reply: service, snapshot and hash
///          of the query's body, separated by '#'
inline std::string
standInReply(const std::string& aService,
             std::uint64_t aSnapshot,
             const std::string& aBody)
{
  return aService + "#" + std::to_string(aSnapshot) + "#" +
         std::to_string(XXH3_64bits(aBody.data(), aBody.size()));
}

/// @returns true when the outcome, the coverage and the number of parts agree
///          with each other and with the number of services queried
inline bool
isCoverageConsistent(const QueryAnswer& aAnswer,
                     const ExpectedAnswer& aExpected)
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

/// @returns the first fault found in an answer, or Fault::None
inline Fault
checkAnswer(const QueryAnswer& aAnswer, const ExpectedAnswer& aExpected)
{
  if (!isCoverageConsistent(aAnswer, aExpected)) {
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
    // A body that is right for another snapshot is a snapshot fault; any other
    // body is a content fault.
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
