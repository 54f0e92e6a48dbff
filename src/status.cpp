#include "status_p.h"

#include <iomanip>
#include <sstream>
#include <type_traits>

#include "answer_json_p.h"
#include "log_p.h"

namespace toucanridge {
namespace {

void
writeCounters(JsonWriter& aOut, const EngineCounters& aCounters)
{
  aOut.beginObject("counters");
  aOut.number("queries", aCounters.queries.load());
  aOut.number("whole", aCounters.whole.load());
  aOut.number("partial", aCounters.partial.load());
  aOut.number("not_run", aCounters.notRun.load());
  aOut.number("unknown", aCounters.unknown.load());
  aOut.number("first_attempts", aCounters.firstAttempts.load());
  aOut.number("retries", aCounters.retries.load());
  aOut.number("free_retries", aCounters.freeRetries.load());
  aOut.number("retries_denied", aCounters.retriesDenied.load());
  aOut.number("hedges", aCounters.hedges.load());
  aOut.number("hedges_won", aCounters.hedgesWon.load());
  aOut.number("hedges_denied", aCounters.hedgesDenied.load());
  aOut.number("early_answers", aCounters.earlyAnswers.load());
  aOut.number("restarts", aCounters.restarts.load());
  aOut.number("dropped_replies", aCounters.droppedReplies.load());
  aOut.endObject();
}

/// A counter of the control plane, named alike in status and metrics.
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

void
writeControl(JsonWriter& aOut, const ControlStatus& aStatus)
{
  constexpr const char* kRoles[] = { "none", "first", "second", "starting" };
  aOut.beginObject("control");
  aOut.flag("ready", aStatus.ready);
  aOut.text("reader", kRoles[static_cast<std::size_t>(aStatus.role)]);
  aOut.number("rules_held", aStatus.held.rules);
  aOut.number("hosts_held", aStatus.held.hosts);
  aOut.number("refused_hosts_revision", aStatus.refusedHosts);
  for (const ControlCounter& counter : controlCounters(aStatus)) {
    aOut.number(counter.name, counter.value);
  }
  aOut.beginObject("members");
  for (const auto& [host, state] : aStatus.members) {
    aOut.text(host, toString(state));
  }
  aOut.endObject();
  aOut.endObject();
}

void
writeQuarantine(JsonWriter& aOut, const std::vector<QuarantineStatus>& aEntries)
{
  aOut.beginArray("quarantine");
  for (const QuarantineStatus& status : aEntries) {
    // Written as the rule "lift quarantine" expects it: 16 hexadecimal digits.
    std::ostringstream fingerprint;
    fingerprint << std::hex << std::setw(16) << std::setfill('0')
                << status.fingerprint;
    aOut.beginObject();
    aOut.text("fingerprint", fingerprint.str());
    aOut.number("strikes", status.strikes);
    aOut.flag("blocked", status.blocked);
    aOut.flag("lifted", status.lifted);
    aOut.number("left_ms", status.left.count());
    aOut.endObject();
  }
  aOut.endArray();
}

void
writeView(JsonWriter& aOut, const View& aView)
{
  aOut.beginObject("view");
  aOut.number("rules_revision", aView.id.rules);
  aOut.number("hosts_revision", aView.id.hosts);
  aOut.beginArray("hosts");
  for (const Host& host : aView.hosts.hosts) {
    aOut.beginObject();
    aOut.text("host", host.name);
    aOut.text("data_centre", host.dataCentre);
    aOut.flag("in_service", aView.inService(host));
    aOut.text("state", host.state == HostState::Live ? "live" : "leaving");
    aOut.text("address", host.address);
    aOut.number("http_port", host.httpPort);
    aOut.endObject();
  }
  aOut.endArray();
  aOut.beginArray("data_centres");
  for (const DataCentreRule& rule : aView.rules->dataCentres) {
    aOut.beginObject();
    aOut.text("data_centre", rule.name);
    aOut.flag("in_service", rule.inService);
    aOut.number("line", rule.from.line);
    aOut.text("asked_by", rule.from.askedBy);
    aOut.endObject();
  }
  aOut.endArray();
  aOut.endObject();
}

} // namespace

std::string
renderStatus(const NodeStatus& aNode,
             const ViewPtr& aView,
             const std::vector<ServerQueueStatus>& aQueues,
             const EngineCounters& aCounters)
{
  JsonWriter out;
  out.beginObject();
  out.text("host", aNode.host);
  out.text("data_centre", aNode.dataCentre);
  out.number("incarnation", aNode.incarnation);
  out.number("refused_revision", aNode.control->refusedRules);
  writeControl(out, *aNode.control);
  writeQuarantine(out, aNode.quarantine);
  out.number("log_lines_dropped", logDropped());
  writeCounters(out, aCounters);
  if (aView) {
    writeView(out, *aView);
  }
  out.beginArray("servers");
  for (const ServerQueueStatus& queue : aQueues) {
    out.beginObject();
    out.text("server", queue.server);
    out.number("slots_held", queue.held);
    out.number("in_use", queue.inUse);
    out.number("queued", queue.queued);
    out.endObject();
  }
  out.endArray();
  out.endObject();
  return out.str();
}

namespace {

/// Writes metrics in the text exposition format of Prometheus.
class MetricsWriter
{
public:
  /// Writes the type of a metric, before its samples.
  void writeType(const char* aName, const char* aType)
  {
    m_out << "# TYPE toucanridge_" << aName << ' ' << aType << '\n';
  }

  /// Writes one sample.
  /// @param[in] aLabels joined by commas, empty for none
  template<class T>
  void writeSample(const char* aName, const std::string& aLabels, T aValue)
  {
    m_out << "toucanridge_" << aName;
    if (!aLabels.empty()) {
      m_out << '{' << aLabels << '}';
    }
    m_out << ' ' << aValue << '\n';
  }

  /// Writes a metric that has one sample without labels.
  template<class T>
  void writeSingle(const char* aName, const char* aType, T aValue)
  {
    writeType(aName, aType);
    writeSample(aName, "", aValue);
  }

  std::string str() const { return m_out.str(); }

private:
  std::ostringstream m_out;
};

/// @returns a label with its value escaped; line breaks become spaces
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
writeClasses(MetricsWriter& aOut, const std::vector<ClassSummary>& aClasses)
{
  aOut.writeType("class_answers_total", "counter");
  for (const ClassSummary& summary : aClasses) {
    for (const auto& [outcome, count] : summary.outcomes) {
      aOut.writeSample("class_answers_total",
                       label("class", summary.queryClass) + "," +
                         label("outcome", outcome),
                       count);
    }
  }
  aOut.writeType("class_not_whole_total", "counter");
  for (const ClassSummary& summary : aClasses) {
    for (const auto& [reason, count] : summary.reasons) {
      aOut.writeSample("class_not_whole_total",
                       label("class", summary.queryClass) + "," +
                         label("reason", reason),
                       count);
    }
  }
  aOut.writeType("class_services_answered_total", "counter");
  for (const ClassSummary& summary : aClasses) {
    aOut.writeSample("class_services_answered_total",
                     label("class", summary.queryClass),
                     summary.answered);
  }
  aOut.writeType("class_services_needed_total", "counter");
  for (const ClassSummary& summary : aClasses) {
    aOut.writeSample("class_services_needed_total",
                     label("class", summary.queryClass),
                     summary.total);
  }
  aOut.writeType("class_latency_seconds", "gauge");
  for (const ClassSummary& summary : aClasses) {
    for (const auto& [quantile, latency] : summary.latency) {
      std::ostringstream text;
      text << quantile;
      aOut.writeSample("class_latency_seconds",
                       label("class", summary.queryClass) + "," +
                         label("quantile", text.str()),
                       inSeconds(latency));
    }
  }
}

void
writeSlots(MetricsWriter& aOut, const std::vector<ServerQueueStatus>& aQueues)
{
  aOut.writeType("slots_granted", "gauge");
  for (const ServerQueueStatus& queue : aQueues) {
    aOut.writeSample(
      "slots_granted", label("server", queue.server), queue.held);
  }
  aOut.writeType("slots_in_use", "gauge");
  for (const ServerQueueStatus& queue : aQueues) {
    aOut.writeSample(
      "slots_in_use", label("server", queue.server), queue.inUse);
  }
  aOut.writeType("slots_queued", "gauge");
  for (const ServerQueueStatus& queue : aQueues) {
    aOut.writeSample(
      "slots_queued", label("server", queue.server), queue.queued);
  }
}

template<class Rules>
void
writeRules(JsonWriter& aOut, const Rules& aRules)
{
  aOut.beginArray("rules");
  for (const auto& rule : aRules) {
    aOut.beginObject();
    writeRule(aOut, rule);
    if constexpr (std::is_same_v<typename Rules::value_type, Provenance>) {
      aOut.text("reason", rule.reason);
    }
    aOut.endObject();
  }
  aOut.endArray();
}

} // namespace

std::string
renderMetrics(const NodeStatus& aNode,
              const ViewPtr& aView,
              const std::vector<ServerQueueStatus>& aQueues,
              const EngineCounters& aCounters,
              const std::vector<ClassSummary>& aClasses,
              const ProcessUsage& aUsage)
{
  MetricsWriter out;
  out.writeSingle("queries_total", "counter", aCounters.queries.load());
  out.writeSingle("answers_whole_total", "counter", aCounters.whole.load());
  out.writeSingle("answers_partial_total", "counter", aCounters.partial.load());
  out.writeSingle("answers_not_run_total", "counter", aCounters.notRun.load());
  out.writeSingle("answers_unknown_total", "counter", aCounters.unknown.load());
  out.writeSingle(
    "first_attempts_total", "counter", aCounters.firstAttempts.load());
  out.writeSingle("retries_total", "counter", aCounters.retries.load());
  out.writeSingle(
    "free_retries_total", "counter", aCounters.freeRetries.load());
  out.writeSingle(
    "retries_denied_total", "counter", aCounters.retriesDenied.load());
  out.writeSingle("hedges_total", "counter", aCounters.hedges.load());
  out.writeSingle("hedges_won_total", "counter", aCounters.hedgesWon.load());
  out.writeSingle(
    "hedges_denied_total", "counter", aCounters.hedgesDenied.load());
  out.writeSingle(
    "early_answers_total", "counter", aCounters.earlyAnswers.load());
  out.writeSingle("restarts_total", "counter", aCounters.restarts.load());
  out.writeSingle(
    "dropped_replies_total", "counter", aCounters.droppedReplies.load());
  out.writeSingle("log_lines_dropped_total", "counter", logDropped());
  for (const ControlCounter& entry : controlCounters(*aNode.control)) {
    out.writeSingle(
      (std::string(entry.name) + "_total").c_str(), "counter", entry.value);
  }
  out.writeSingle("ready", "gauge", aNode.control->ready ? 1 : 0);
  out.writeSingle("rules_revision", "gauge", aView ? aView->id.rules : 0);
  out.writeSingle("hosts_revision", "gauge", aView ? aView->id.hosts : 0);
  out.writeSingle(
    "process_cpu_seconds_total", "counter", inSeconds(aUsage.cpu));
  out.writeSingle("process_resident_bytes", "gauge", aUsage.residentBytes);
  writeClasses(out, aClasses);
  writeSlots(out, aQueues);
  return out.str();
}

std::string
renderExplanation(const RecentAnswer& aAnswer)
{
  JsonWriter out;
  out.beginObject();
  out.text("class", aAnswer.queryClass);
  writeOutcome(out, aAnswer);
  out.number("took_us", aAnswer.took.count());
  writeRules(out, *aAnswer.rules);
  out.endObject();
  return out.str();
}

std::string
renderClassRules(const View& aView, const std::string& aClass)
{
  JsonWriter out;
  out.beginObject();
  out.text("class", aClass);
  out.number("revision", aView.id.rules);
  writeRules(out, governingRules(*aView.rules, aClass));
  out.endObject();
  return out.str();
}

std::string
renderRules(const ViewPtr& aView)
{
  JsonWriter out;
  out.beginObject();
  out.number("revision", aView ? aView->id.rules : std::uint64_t(0));
  writeRules(out, aView ? listRules(*aView->rules) : std::vector<Provenance>());
  out.endObject();
  return out.str();
}

} // namespace toucanridge
