#include "toucanridge/toucanridge.h"

namespace toucanridge {
namespace {

class ErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "toucanridge"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<Errc>(aCode)) {
      case Errc::Ok:
        return "ok";
      case Errc::BadSettings:
        return "invalid settings";
      case Errc::BadRules:
        return "invalid rules file";
      case Errc::BadMessage:
        return "malformed message";
      case Errc::TooLarge:
        return "over the size limit";
      case Errc::Unreachable:
        return "unreachable";
      case Errc::TimedOut:
        return "deadline passed";
      case Errc::NotHolder:
        return "no sending right";
      case Errc::Overloaded:
        return "overloaded";
      case Errc::UnknownClass:
        return "unknown query class";
      case Errc::NoSnapshot:
        return "no snapshot for the application";
      case Errc::TicketRequired:
        return "ticket required";
      case Errc::TicketDead:
        return "ticket can no longer run";
      case Errc::Quarantined:
        return "request is quarantined";
      case Errc::ShuttingDown:
        return "node is shutting down";
      case Errc::NotReady:
        return "node is not ready";
      case Errc::OutOfService:
        return "host is out of service";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
errorCategory() noexcept
{
  static const ErrorCategory sCategory;
  return sCategory;
}

std::error_code
make_error_code(Errc aCode) noexcept
{
  return { static_cast<int>(aCode), errorCategory() };
}

const char*
toString(Outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case Outcome::Whole:
      return "whole";
    case Outcome::Partial:
      return "partial";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

const char*
version() noexcept
{
  return TOUCANRIDGE_VERSION;
}

} // namespace toucanridge
