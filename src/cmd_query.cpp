#include "commands_p.h"

#include <iostream>

#include "caller_http_p.h"
#include "client_http_p.h"
#include "settings_p.h"

namespace toucanridge {
namespace {

void
printAnswer(const QueryAnswer& aAnswer)
{
  std::cout << "request   " << aAnswer.requestId << '\n'
            << "outcome   " << toString(aAnswer.outcome) << '\n';
  if (!aAnswer.reason.empty()) {
    std::cout << "reason    " << aAnswer.reason << '\n';
  }
  std::cout << "coverage  " << aAnswer.coverage.answered << '/'
            << aAnswer.coverage.total << '\n'
            << "snapshot  " << aAnswer.snapshot << '\n'
            << "revision  " << aAnswer.revision << '\n';
  for (const AnswerPart& part : aAnswer.parts) {
    std::cout << "part      " << part.service << ": " << part.body << '\n';
  }
  for (const GoverningRule& rule : aAnswer.rules) {
    std::cout << "rule      ";
    if (rule.line == 0) {
      std::cout << "built-in: ";
    } else {
      std::cout << "line " << rule.line << ": ";
    }
    std::cout << rule.text << " (asked by " << rule.askedBy << ")\n";
  }
}

int
exitCodeOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Whole:
      return kExitOk;
    case Outcome::Partial:
      return kExitPartial;
    case Outcome::NotRun:
      return kExitNotRun;
    case Outcome::Unknown:
      return kExitUnknown;
  }
  return kExitFailed;
}

} // namespace

int
commandQuery(const Arguments& aArguments)
{
  const auto settings = parseQuerySettings(aArguments);
  if (!settings) {
    if (settings.error().helpRequested) {
      std::cout << settings.error().message;
      return kExitOk;
    }
    return usageError(settings.error().message);
  }
  QueryClient client(settings->entries, settings->dataCentre);
  QueryRequest request;
  request.queryClass = settings->queryClass;
  request.body = settings->body;
  request.deadline = settings->deadline;
  const QueryAnswer answer = client.query(request);
  if (settings->json) {
    std::cout << renderAnswer(answer) << '\n';
  } else {
    printAnswer(answer);
  }
  return exitCodeOf(answer.outcome);
}

} // namespace toucanridge
