#ifndef TOUCANRIDGE_TOUCANRIDGE_H
#define TOUCANRIDGE_TOUCANRIDGE_H

/// Public interface of toucanridge: the types of a query and of its answer, and
/// the error codes of the library.

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace toucanridge {

/// Errors of the library, as std::error_code values.
enum class Errc
{
  Ok = 0,
  BadSettings,    ///< a flag or environment variable is missing or invalid
  BadRules,       ///< the rules file has at least one fault
  BadMessage,     ///< a message could not be decoded
  TooLarge,       ///< a body, frame or count is over its limit
  Unreachable,    ///< no connection could be made
  TimedOut,       ///< the deadline passed
  NotHolder,      ///< the node has no right to send to that server
  Overloaded,     ///< shed because of load
  UnknownClass,   ///< no rule defines that query class
  NoSnapshot,     ///< no snapshot rule for that application
  TicketRequired, ///< a non-idempotent request came without a ticket
  TicketDead,     ///< it expired or its issuer restarted; it can't run
  Quarantined,    ///< the request has crashed backend servers
  ShuttingDown,   ///< the node is shutting down
  NotReady,       ///< the node hasn't confirmed its configuration yet
  OutOfService,   ///< the host or its data centre is out of service
};

/// @returns the category of Errc values, named "toucanridge"
const std::error_category&
errorCategory() noexcept;
/// Converts an Errc; std::error_code calls it by argument-dependent lookup.
std::error_code
make_error_code(Errc aCode) noexcept;

/// How a query, or one attempt at a part of it, ended.
enum class Outcome : std::uint8_t
{
  Whole,   ///< every service of the snapshot answered
  Partial, ///< some services answered; coverage says how many
  NotRun,  ///< no backend server ran any part of it
  Unknown, ///< it may have run; the result is not known
};

/// @returns "whole", "partial", "not-run" or "unknown"
const char*
toString(Outcome aOutcome) noexcept;

/// How many of the services in the snapshot's partition map answered.
struct Coverage
{
  std::uint32_t answered = 0;
  std::uint32_t total = 0;
};

/// A rule that applied to an answer.
struct GoverningRule
{
  std::uint32_t line = 0; ///< line in the rules file, 0 for a built-in default
  std::string text;       ///< the rule without its comment
  std::string askedBy;    ///< who asked for the rule
};

/// A query as a caller sends it.
struct QueryRequest
{
  std::string queryClass;
  std::string body;
  std::string ticket; ///< required for classes that are not idempotent
  std::chrono::milliseconds deadline{ 0 }; ///< 0: the deadline of the class
};

/// The part of an answer that one service gave.
struct AnswerPart
{
  std::string service;
  std::string body;
};

/// The answer to a query.
struct QueryAnswer
{
  std::string requestId;
  Outcome outcome = Outcome::NotRun;
  std::string reason; ///< why the outcome isn't Whole; empty when it is
  Coverage coverage;
  std::uint64_t snapshot = 0; ///< number of the snapshot that was queried
  std::uint64_t revision = 0; ///< revision of the rules in force
  std::vector<GoverningRule> rules;
  std::vector<AnswerPart> parts;
};

/// @returns the version of the library, "major.minor.patch"
const char*
version() noexcept;

} // namespace toucanridge

namespace std {
template<>
struct is_error_code_enum<toucanridge::Errc> : true_type
{
};
} // namespace std

#endif // TOUCANRIDGE_TOUCANRIDGE_H
