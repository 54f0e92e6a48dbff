#ifndef TOUCANRIDGE_RULES_P_H
#define TOUCANRIDGE_RULES_P_H

/// The rules file: its data model, its parser and the listing of its rules.

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

/// Where a rule comes from.
struct Provenance
{
  std::uint32_t line = 0; ///< line in the rules file, 0 for a built-in default
  std::string text;       ///< the line without its comment
  std::string askedBy;    ///< who asked for the rule
  std::string reason;     ///< why, from the comment
};

/// A backend server of a service.
struct ServerRule
{
  std::string name; ///< "address:port"
  std::string address;
  std::uint16_t port = 0;
  std::optional<Provenance> leaving; ///< set by a `server ... leaving` rule
};

/// One shard, its replica servers and the load that each of them allows.
struct ServiceRule
{
  std::string name;
  std::vector<ServerRule> servers;
  std::uint32_t slots = 1;       ///< concurrent requests a server allows
  std::uint32_t connections = 2; ///< connections a server allows
  /// Time that a server spends on a new connection before it takes requests.
  std::chrono::milliseconds connectCost{ 1 };
  std::uint32_t coldSlots = 1; ///< concurrent requests a cold server allows
  Provenance from;
};

/// The current snapshot of an application's index.
struct SnapshotRule
{
  std::string application;
  std::uint64_t id = 0;
  std::vector<std::string> services; ///< the partition map, one service a shard
  Provenance from;
};

/// What a class prefers when some services are slow.
enum class WaitFor : std::uint8_t
{
  Coverage, ///< use the whole deadline to reach full coverage
  Latency,  ///< answer early with the parts that have arrived
};

/// Where a query of a class is sent.
enum class FanOut : std::uint8_t
{
  All, ///< to every service of the snapshot
  One, ///< to one server of the application
};

/// A query class.
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

/// When a class sends a second request for a slow part. The initial values are
/// for a rule that the parser reads; a class without a hedge rule has
/// kDefaultHedge in rules.cpp.
struct HedgeRule
{
  enum class Mode : std::uint8_t
  {
    Off,
    Fixed,  ///< after `delay`
    Learnt, ///< after the `percentile` of the class's measured latencies
  };
  Mode mode = Mode::Learnt;
  std::chrono::milliseconds delay{ 0 };
  double percentile = 0.95;
  double budget = 0.05; ///< limit, as a fraction of first attempts
  Provenance from;
};

/// How many retries a class may send.
struct RetryRule
{
  double budget = 0.10; ///< limit, as a fraction of first attempts
  Provenance from;
};

/// How much of the queue of a server requests of one class may fill. Each node
/// with slots of the server has its own queue for it.
struct ShareRule
{
  double atMost = 1.0; ///< limit, as a fraction of the queue
  Provenance from;
};

/// A data centre, in or out of service.
struct DataCentreRule
{
  std::string name;
  bool inService = true;
  Provenance from;
};

/// A host that is out of service.
struct HostRule
{
  std::string name;
  Provenance from;
};

/// How long a host's right to use the slots of backend servers is leased.
struct RightsRule
{
  std::chrono::milliseconds lease{ 5000 }; ///< duration of a lease
  Provenance from;
};

/// Lifts the quarantine of a request.
struct QuarantineLiftRule
{
  std::uint64_t fingerprint = 0; ///< of the request
  Provenance from;
};

/// All rules of a rules file. Immutable once parsed.
struct RuleSet
{
  std::vector<DataCentreRule> dataCentres;
  std::map<std::string, HostRule> hostsOutOfService;
  std::vector<ServiceRule> services;
  /// Index into `services` by name.
  std::map<std::string, std::size_t> serviceIndex;
  std::map<std::string, SnapshotRule> snapshots; ///< by application
  std::map<std::string, ClassRule> classes;      ///< by class
  std::map<std::string, HedgeRule> hedges;       ///< by class
  std::map<std::string, RetryRule> retries;      ///< by class
  std::map<std::string, ShareRule> shares;       ///< by class
  RightsRule rights;
  std::vector<QuarantineLiftRule> quarantineLifts;

  /// @returns the rule, null when there is none
  const ServiceRule* findService(const std::string& aName) const;
  const DataCentreRule* findDataCentre(const std::string& aName) const;
  /// @returns the class's rule, or the built-in default
  const HedgeRule& hedgeOf(const std::string& aClass) const;
  const RetryRule& retryOf(const std::string& aClass) const;
  const ShareRule& shareOf(const std::string& aClass) const;
};

/// An error in a rules file and its position.
struct RuleFault
{
  std::uint32_t line = 0;   ///< from 1
  std::uint32_t column = 0; ///< from 1
  std::string message;
};

/// The result of parsing: a rule set, or every fault found.
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

/// @returns every rule in force in file order, built-in defaults last
std::vector<Provenance>
listRules(const RuleSet& aRules);

/// @returns the rules that apply to a query of a class: built-in defaults, then
///          those of the file in order; none when the class is unknown
std::vector<GoverningRule>
governingRules(const RuleSet& aRules, const std::string& aClass);

} // namespace toucanridge

#endif // TOUCANRIDGE_RULES_P_H
