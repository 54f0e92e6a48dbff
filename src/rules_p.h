#ifndef TOUCANRIDGE_RULES_P_H
#define TOUCANRIDGE_RULES_P_H

/// The rules file: its model, its parser and its listing.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanridge/toucanridge.h"

namespace toucanridge {

/// Where a rule comes from. Line 0 marks a built-in default.
struct Provenance
{
  std::uint32_t line = 0;
  std::string text; ///< the line without its comment
  std::string askedBy;
  std::string reason;
};

struct ServerRule
{
  std::string name; ///< "address:port"
  std::string address;
  std::uint16_t port = 0;
  std::optional<Provenance> leaving; ///< set by a `server ... leaving` rule
};

/// One shard, its replica servers and the contract with each of them.
struct ServiceRule
{
  std::string name;
  std::vector<ServerRule> servers;
  std::uint32_t slots = 1;       ///< concurrent requests a server allows
  std::uint32_t connections = 2; ///< connections a server allows
  std::chrono::milliseconds connectCost{ 1 };
  std::uint32_t coldSlots = 1; ///< concurrent requests a cold server bears
  Provenance from;
};

/// The current snapshot of an application's index.
struct SnapshotRule
{
  std::string application;
  std::uint64_t id = 0;
  std::vector<std::string> services; ///< the partition map
  Provenance from;
};

enum class WaitFor : std::uint8_t
{
  Coverage, ///< use the whole deadline to reach full coverage
  Latency,  ///< answer early with what has arrived
};

enum class FanOut : std::uint8_t
{
  All, ///< to every service of the snapshot
  One, ///< to one server of the application
};

struct ClassRule
{
  std::string name;
  std::string application;
  std::chrono::milliseconds deadline{ 1000 };
  std::uint32_t priority = 1; ///< higher is served first, 0 to 9
  WaitFor wait = WaitFor::Coverage;
  FanOut fanOut = FanOut::All;
  bool idempotent = true;
  Provenance from;
};

/// When a class sends a second request for a slow part.
struct HedgeRule
{
  enum class Mode : std::uint8_t
  {
    Off,
    Fixed,  ///< after `delay`
    Learnt, ///< after the learnt `percentile` of the class
  };
  Mode mode = Mode::Learnt;
  std::chrono::milliseconds delay{ 0 };
  double percentile = 0.95;
  double budget = 0.05; ///< share of first attempts
  Provenance from;
};

struct RetryRule
{
  double budget = 0.10; ///< share of first attempts
  Provenance from;
};

struct ShareRule
{
  double atMost = 1.0; ///< share of a holder's queue the class may fill
  Provenance from;
};

struct DataCentreRule
{
  std::string name;
  bool inService = true;
  Provenance from;
};

struct HostRule
{
  std::string name;
  Provenance from;
};

struct RightsRule
{
  std::chrono::milliseconds lease{ 5000 };
  Provenance from;
};

struct LiftRule
{
  std::uint64_t fingerprint = 0;
  Provenance from;
};

/// Everything a rules file says. Immutable once parsed.
struct RuleSet
{
  std::vector<DataCentreRule> dataCentres;
  std::map<std::string, HostRule> hostsOut;
  std::vector<ServiceRule> services;
  std::map<std::string, std::size_t> serviceIndex;
  std::map<std::string, SnapshotRule> snapshots; ///< by application
  std::map<std::string, ClassRule> classes;
  std::map<std::string, HedgeRule> hedges; ///< by class
  std::map<std::string, RetryRule> retries;
  std::map<std::string, ShareRule> shares;
  RightsRule rights;
  std::vector<LiftRule> lifts;

  const ServiceRule* findService(const std::string& aName) const;
  const DataCentreRule* findDataCentre(const std::string& aName) const;
  /// @returns the class's rule, or the built-in default
  const HedgeRule& hedgeOf(const std::string& aClass) const;
  const RetryRule& retryOf(const std::string& aClass) const;
  const ShareRule& shareOf(const std::string& aClass) const;
};

/// A fault of a rules file.
struct RuleFault
{
  std::uint32_t line = 0;   ///< from 1
  std::uint32_t column = 0; ///< from 1
  std::string message;
};

/// The outcome of parsing: a rule set, or every fault found.
struct RulesResult
{
  std::shared_ptr<const RuleSet> rules; ///< null when there is any fault
  std::vector<RuleFault> faults;
};

/// Parses a rules file.
/// @param[in] aText whole text, at most kMaxRulesBytes
/// @returns the rule set, or all faults in the order of their lines
RulesResult
parseRules(std::string_view aText);

/// Largest rules file; the configuration service holds values up to 1 MB.
constexpr std::size_t kMaxRulesBytes = 1'000'000;

/// Every rule in force in file order, built-in defaults last.
std::vector<Provenance>
listRules(const RuleSet& aRules);

/// Rules that govern a query of a class, in file order.
std::vector<GoverningRule>
governingRules(const RuleSet& aRules, const std::string& aClass);

} // namespace toucanridge

#endif // TOUCANRIDGE_RULES_P_H
