#include "status_p.h"

#include <iomanip>
#include <sstream>
#include <type_traits>

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
    entry["state"] =
      json::value::string(host.state == HostState::Live ? "live" : "leaving");
    entry["address"] = json::value::string(host.address);
    entry["http_port"] = json::value::number(host.httpPort);
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

namespace {

/// Writes metrics in the text exposition format.
class MetricsText
{
public:
  void type(const char* aName, const char* aType)
  {
    m_out << "# TYPE toucanridge_" << aName << ' ' << aType << '\n';
  }

  template<class T>
  void value(const char* aName, const std::string& aLabels, T aValue)
  {
    m_out << "toucanridge_" << aName;
    if (!aLabels.empty()) {
      m_out << '{' << aLabels << '}';
    }
    m_out << ' ' << aValue << '\n';
  }

  template<class T>
  void single(const char* aName, const char* aType, T aValue)
  {
    type(aName, aType);
    value(aName, "", aValue);
  }

  std::string str() const { return m_out.str(); }

private:
  std::ostringstream m_out;
};

std::string
label(const char* aName, const std::string& aValue)
{
  std::string text = std::string(aName) + "=\"";
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c == '\n' ? ' ' : c;
  }
  return text + '"';
}

double
inSeconds(std::chrono::microseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

void
writeClasses(MetricsText& aOut, const std::vector<ClassSummary>& aClasses)
{
  aOut.type("class_answers_total", "counter");
  for (const ClassSummary& known : aClasses) {
    for (const auto& [outcome, count] : known.outcomes) {
      aOut.value("class_answers_total",
                 label("class", known.queryClass) + "," +
                   label("outcome", outcome),
                 count);
    }
  }
  aOut.type("class_not_whole_total", "counter");
  for (const ClassSummary& known : aClasses) {
    for (const auto& [reason, count] : known.reasons) {
      aOut.value("class_not_whole_total",
                 label("class", known.queryClass) + "," +
                   label("reason", reason),
                 count);
    }
  }
  aOut.type("class_services_answered_total", "counter");
  for (const ClassSummary& known : aClasses) {
    aOut.value("class_services_answered_total",
               label("class", known.queryClass),
               known.answered);
  }
  aOut.type("class_services_needed_total", "counter");
  for (const ClassSummary& known : aClasses) {
    aOut.value("class_services_needed_total",
               label("class", known.queryClass),
               known.total);
  }
  aOut.type("class_latency_seconds", "gauge");
  for (const ClassSummary& known : aClasses) {
    for (const auto& [quantile, latency] : known.latency) {
      std::ostringstream text;
      text << quantile;
      aOut.value("class_latency_seconds",
                 label("class", known.queryClass) + "," +
                   label("quantile", text.str()),
                 inSeconds(latency));
    }
  }
}

void
writeSlots(MetricsText& aOut, const std::vector<GateStatus>& aGates)
{
  aOut.type("slots_granted", "gauge");
  for (const GateStatus& gate : aGates) {
    aOut.value("slots_granted", label("server", gate.server), gate.held);
  }
  aOut.type("slots_in_use", "gauge");
  for (const GateStatus& gate : aGates) {
    aOut.value("slots_in_use", label("server", gate.server), gate.inUse);
  }
  aOut.type("slots_queued", "gauge");
  for (const GateStatus& gate : aGates) {
    aOut.value("slots_queued", label("server", gate.server), gate.queued);
  }
}

template<class Rules>
json::value
rulesArray(const Rules& aRules)
{
  std::vector<json::value> list;
  for (const auto& rule : aRules) {
    json::value entry = json::value::object();
    entry["line"] = json::value::number(rule.line);
    entry["text"] = json::value::string(rule.text);
    entry["asked_by"] = json::value::string(rule.askedBy);
    if constexpr (std::is_same_v<typename Rules::value_type, Provenance>) {
      entry["reason"] = json::value::string(rule.reason);
    }
    list.push_back(entry);
  }
  return json::value::array(list);
}

} // namespace

std::string
renderMetrics(const NodeFacts& aFacts,
              const ViewPtr& aView,
              const std::vector<GateStatus>& aGates,
              const EngineCounters& aCounters,
              const std::vector<ClassSummary>& aClasses,
              const ProcessUsage& aUsage)
{
  MetricsText out;
  out.single("queries_total", "counter", aCounters.queries.load());
  out.single("answers_whole_total", "counter", aCounters.whole.load());
  out.single("answers_partial_total", "counter", aCounters.partial.load());
  out.single("answers_not_run_total", "counter", aCounters.notRun.load());
  out.single("answers_unknown_total", "counter", aCounters.unknown.load());
  out.single("first_attempts_total", "counter", aCounters.firstAttempts.load());
  out.single("retries_total", "counter", aCounters.retries.load());
  out.single("free_retries_total", "counter", aCounters.freeRetries.load());
  out.single("retries_denied_total", "counter", aCounters.retriesDenied.load());
  out.single("hedges_total", "counter", aCounters.hedges.load());
  out.single("hedges_won_total", "counter", aCounters.hedgesWon.load());
  out.single("hedges_denied_total", "counter", aCounters.hedgesDenied.load());
  out.single("early_answers_total", "counter", aCounters.earlyAnswers.load());
  out.single("restarts_total", "counter", aCounters.restarts.load());
  out.single(
    "dropped_replies_total", "counter", aCounters.droppedReplies.load());
  out.single("log_lines_dropped_total", "counter", logDropped());
  for (const ControlCounter& entry : controlCounters(*aFacts.control)) {
    out.single(
      (std::string(entry.name) + "_total").c_str(), "counter", entry.value);
  }
  out.single("ready", "gauge", aFacts.control->ready ? 1 : 0);
  out.single("rules_revision", "gauge", aView ? aView->id.rules : 0);
  out.single("hosts_revision", "gauge", aView ? aView->id.hosts : 0);
  out.single("process_cpu_seconds_total", "counter", inSeconds(aUsage.cpu));
  out.single("process_resident_bytes", "gauge", aUsage.residentBytes);
  writeClasses(out, aClasses);
  writeSlots(out, aGates);
  return out.str();
}

std::string
renderExplanation(const RememberedAnswer& aAnswer)
{
  json::value body = json::value::object();
  body["request_id"] = json::value::string(aAnswer.requestId);
  body["class"] = json::value::string(aAnswer.queryClass);
  body["outcome"] = json::value::string(toString(aAnswer.outcome));
  body["reason"] = json::value::string(aAnswer.reason);
  body["coverage"]["answered"] = json::value::number(aAnswer.coverage.answered);
  body["coverage"]["total"] = json::value::number(aAnswer.coverage.total);
  body["snapshot"] = number(aAnswer.snapshot);
  body["revision"] = number(aAnswer.revision);
  body["took_us"] =
    json::value::number(static_cast<std::int64_t>(aAnswer.took.count()));
  body["rules"] = rulesArray(*aAnswer.rules);
  return body.serialize();
}

std::string
renderClassRules(const View& aView, const std::string& aClass)
{
  json::value body = json::value::object();
  body["class"] = json::value::string(aClass);
  body["revision"] = number(aView.id.rules);
  body["rules"] = rulesArray(governingRules(*aView.rules, aClass));
  return body.serialize();
}

std::string
renderRules(const ViewPtr& aView)
{
  json::value body = json::value::object();
  body["revision"] = number(aView ? aView->id.rules : 0);
  body["rules"] =
    aView ? rulesArray(listRules(*aView->rules)) : json::value::array();
  return body.serialize();
}

} // namespace toucanridge
