#include "status_p.h"

#include <iomanip>
#include <sstream>

#include <cpprest/json.h>

#include "log_p.h"

namespace toucanridge {
namespace {

namespace json = web::json;

json::value
number(std::uint64_t aValue)
{
  return json::value::number(aValue);
}

json::value
countersJson(const EngineCounters& aCounters)
{
  json::value body = json::value::object();
  body["queries"] = number(aCounters.queries);
  body["whole"] = number(aCounters.whole);
  body["partial"] = number(aCounters.partial);
  body["not_run"] = number(aCounters.notRun);
  body["unknown"] = number(aCounters.unknown);
  body["first_attempts"] = number(aCounters.firstAttempts);
  body["retries"] = number(aCounters.retries);
  body["free_retries"] = number(aCounters.freeRetries);
  body["retries_denied"] = number(aCounters.retriesDenied);
  body["hedges"] = number(aCounters.hedges);
  body["hedges_won"] = number(aCounters.hedgesWon);
  body["hedges_denied"] = number(aCounters.hedgesDenied);
  body["early_answers"] = number(aCounters.earlyAnswers);
  body["restarts"] = number(aCounters.restarts);
  body["dropped_replies"] = number(aCounters.droppedReplies);
  return body;
}

struct ControlCounter
{
  const char* name;
  std::uint64_t value;
};

std::vector<ControlCounter>
controlCounters(const ControlStatus& aStatus)
{
  const MembershipCounters& members = aStatus.membership;
  const ConfigSyncCounters& config = aStatus.config;
  return {
    { "control_sent_datagrams", members.sentDatagrams },
    { "control_sent_bytes", members.sentBytes + config.sentBytes },
    { "control_received_datagrams", members.receivedDatagrams },
    { "control_received_bytes", members.receivedBytes + config.receivedBytes },
    { "control_unsent_datagrams", aStatus.unsentDatagrams },
    { "control_malformed_datagrams", members.malformed },
    { "control_misaddressed_datagrams", members.misaddressed },
    { "probes", members.probes },
    { "probes_failed", members.probesFailed },
    { "probes_acked_indirectly", members.indirectAcks },
    { "suspicions", members.suspicions },
    { "deaths", members.deaths },
    { "refutations", members.refutations },
    { "pauses", members.pauses },
    { "platform_reads", config.platformReads },
    { "platform_failures", config.platformFailures },
    { "platform_lower_ignored", config.lowerIgnored },
    { "config_conflicts", config.conflicts },
    { "config_refused", config.refused },
    { "config_fetches", config.fetches },
    { "config_deltas", config.deltas },
    { "config_delta_faults", config.deltaFaults },
    { "config_wholes", config.wholes },
  };
}

json::value
controlJson(const ControlStatus& aStatus)
{
  constexpr const char* kRoles[] = { "none", "first", "second", "starting" };
  constexpr const char* kStates[] = { "alive", "suspect", "dead", "leaving" };
  json::value body = json::value::object();
  body["ready"] = json::value::boolean(aStatus.ready);
  body["reader"] =
    json::value::string(kRoles[static_cast<std::size_t>(aStatus.role)]);
  body["rules_held"] = number(aStatus.held.rules);
  body["hosts_held"] = number(aStatus.held.hosts);
  body["refused_hosts_revision"] = number(aStatus.refusedHosts);
  for (const ControlCounter& counter : controlCounters(aStatus)) {
    body[counter.name] = number(counter.value);
  }
  json::value members = json::value::object();
  for (const auto& [host, state] : aStatus.members) {
    members[host] =
      json::value::string(kStates[static_cast<std::size_t>(state)]);
  }
  body["members"] = members;
  return body;
}

json::value
quarantineJson(const std::vector<QuarantineStatus>& aEntries)
{
  std::vector<json::value> list;
  for (const QuarantineStatus& status : aEntries) {
    // The form that the rule "lift quarantine" takes.
    std::ostringstream fingerprint;
    fingerprint << std::hex << std::setw(16) << std::setfill('0')
                << status.fingerprint;
    json::value entry = json::value::object();
    entry["fingerprint"] = json::value::string(fingerprint.str());
    entry["strikes"] = json::value::number(status.strikes);
    entry["blocked"] = json::value::boolean(status.blocked);
    entry["lifted"] = json::value::boolean(status.lifted);
    entry["left_ms"] =
      json::value::number(static_cast<std::int64_t>(status.left.count()));
    list.push_back(entry);
  }
  return json::value::array(list);
}

json::value
viewJson(const View& aView)
{
  json::value body = json::value::object();
  body["rules_revision"] = number(aView.id.rules);
  body["hosts_revision"] = number(aView.id.hosts);
  std::vector<json::value> hosts;
  for (const Host& host : aView.hosts.hosts) {
    json::value entry = json::value::object();
    entry["host"] = json::value::string(host.name);
    entry["data_centre"] = json::value::string(host.dataCentre);
    entry["in_service"] = json::value::boolean(aView.inService(host));
    hosts.push_back(entry);
  }
  body["hosts"] = json::value::array(hosts);
  std::vector<json::value> centres;
  for (const DataCentreRule& rule : aView.rules->dataCentres) {
    json::value entry = json::value::object();
    entry["data_centre"] = json::value::string(rule.name);
    entry["in_service"] = json::value::boolean(rule.inService);
    entry["line"] = json::value::number(rule.from.line);
    entry["asked_by"] = json::value::string(rule.from.askedBy);
    centres.push_back(entry);
  }
  body["data_centres"] = json::value::array(centres);
  return body;
}

} // namespace

std::string
renderStatus(const NodeFacts& aFacts,
             const ViewPtr& aView,
             const std::vector<GateStatus>& aGates,
             const EngineCounters& aCounters)
{
  json::value body = json::value::object();
  body["host"] = json::value::string(aFacts.host);
  body["data_centre"] = json::value::string(aFacts.dataCentre);
  body["incarnation"] = number(aFacts.incarnation);
  body["refused_revision"] = number(aFacts.control->refusedRules);
  body["control"] = controlJson(*aFacts.control);
  body["quarantine"] = quarantineJson(aFacts.quarantine);
  body["log_lines_dropped"] = number(logDropped());
  body["counters"] = countersJson(aCounters);
  if (aView) {
    body["view"] = viewJson(*aView);
  }
  std::vector<json::value> servers;
  for (const GateStatus& gate : aGates) {
    json::value entry = json::value::object();
    entry["server"] = json::value::string(gate.server);
    entry["slots_held"] = json::value::number(gate.held);
    entry["in_use"] = json::value::number(gate.inUse);
    entry["queued"] = json::value::number(gate.queued);
    servers.push_back(entry);
  }
  body["servers"] = json::value::array(servers);
  return body.serialize();
}

std::string
renderMetrics(const NodeFacts& aFacts,
              const ViewPtr& aView,
              const std::vector<GateStatus>& aGates,
              const EngineCounters& aCounters)
{
  std::ostringstream out;
  const auto counter = [&out](const char* aName, std::uint64_t aValue) {
    out << "# TYPE toucanridge_" << aName << " counter\n"
        << "toucanridge_" << aName << ' ' << aValue << '\n';
  };
  counter("queries_total", aCounters.queries);
  counter("answers_whole_total", aCounters.whole);
  counter("answers_partial_total", aCounters.partial);
  counter("answers_not_run_total", aCounters.notRun);
  counter("answers_unknown_total", aCounters.unknown);
  counter("first_attempts_total", aCounters.firstAttempts);
  counter("retries_total", aCounters.retries);
  counter("free_retries_total", aCounters.freeRetries);
  counter("retries_denied_total", aCounters.retriesDenied);
  counter("hedges_total", aCounters.hedges);
  counter("hedges_won_total", aCounters.hedgesWon);
  counter("hedges_denied_total", aCounters.hedgesDenied);
  counter("early_answers_total", aCounters.earlyAnswers);
  counter("restarts_total", aCounters.restarts);
  counter("dropped_replies_total", aCounters.droppedReplies);
  counter("log_lines_dropped_total", logDropped());
  for (const ControlCounter& entry : controlCounters(*aFacts.control)) {
    counter((std::string(entry.name) + "_total").c_str(), entry.value);
  }
  out << "# TYPE toucanridge_rules_revision gauge\n"
      << "toucanridge_rules_revision " << (aView ? aView->id.rules : 0) << '\n'
      << "# TYPE toucanridge_ready gauge\n"
      << "toucanridge_ready " << (aFacts.control->ready ? 1 : 0) << '\n'
      << "# TYPE toucanridge_slots_in_use gauge\n";
  for (const GateStatus& gate : aGates) {
    out << "toucanridge_slots_in_use{server=\"" << gate.server << "\"} "
        << gate.inUse << '\n';
  }
  return out.str();
}

} // namespace toucanridge
