#include "status_table_p.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <map>
#include <set>
#include <sstream>

#include "json_p.h"
#include "text_table_p.h"

namespace toucanridge {
namespace {

/// @returns a member, or a JSON null when it is absent
const Json&
memberOrNull(const Json& aObject, const char* aName)
{
  static const Json sNull;
  const Json* value = jsonMember(aObject, aName);
  return value != nullptr ? *value : sNull;
}

/// Prints one row for each node that answered, and how far their revisions of
/// the rules differ.
void
printNodes(std::ostream& aOut, const std::vector<JsonDocument>& aNodes)
{
  TextTable table({ "host",
                    "data centre",
                    "rules",
                    "hosts",
                    "queries",
                    "whole",
                    "partial",
                    "not-run",
                    "unknown",
                    "slots",
                    "in use",
                    "queued",
                    "refused rules" });
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t highest = 0;
  for (const Json& node : aNodes) {
    const Json& view = memberOrNull(node, "view");
    const Json& counters = memberOrNull(node, "counters");
    std::uint64_t held = 0;
    std::uint64_t inUse = 0;
    std::uint64_t queued = 0;
    for (const Json& server : jsonArray(node, "servers")) {
      held += jsonUnsigned(server, "slots_held");
      inUse += jsonUnsigned(server, "in_use");
      queued += jsonUnsigned(server, "queued");
    }
    lowest = std::min(lowest, jsonUnsigned(view, "rules_revision"));
    highest = std::max(highest, jsonUnsigned(view, "rules_revision"));
    table.add({ jsonCell(node, "host"),
                jsonCell(node, "data_centre"),
                jsonCell(view, "rules_revision"),
                jsonCell(view, "hosts_revision"),
                jsonCell(counters, "queries"),
                jsonCell(counters, "whole"),
                jsonCell(counters, "partial"),
                jsonCell(counters, "not_run"),
                jsonCell(counters, "unknown"),
                std::to_string(held),
                std::to_string(inUse),
                std::to_string(queued),
                jsonCell(node, "refused_revision") });
  }
  table.print(aOut);
  if (aNodes.size() > 1) {
    aOut << "rules revisions differ by " << highest - lowest << " between "
         << aNodes.size() << " nodes\n\n";
  }
}

/// Prints the data centres and the listed hosts.
void
printView(std::ostream& aOut, const Json& aView)
{
  TextTable dataCentres({ "data centre", "state", "rule line", "asked by" });
  for (const Json& dataCentre : jsonArray(aView, "data_centres")) {
    dataCentres.add(
      { jsonCell(dataCentre, "data_centre"),
        jsonCell(dataCentre, "in_service") == "true" ? "in" : "out",
        jsonCell(dataCentre, "line"),
        jsonCell(dataCentre, "asked_by") });
  }
  dataCentres.print(aOut);
  TextTable hosts({ "listed host", "data centre", "list", "new work" });
  for (const Json& host : jsonArray(aView, "hosts")) {
    hosts.add({ jsonCell(host, "host"),
                jsonCell(host, "data_centre"),
                jsonCell(host, "state"),
                jsonCell(host, "in_service") == "true" ? "yes" : "no" });
  }
  hosts.print(aOut);
}

/// Prints one row for each server, summed over the nodes. Fields of a server
/// that have no column are printed as name=value.
void
printServers(std::ostream& aOut, const std::vector<JsonDocument>& aNodes)
{
  struct Server
  {
    std::uint64_t held = 0;
    std::uint64_t inUse = 0;
    std::uint64_t queued = 0;
    std::set<std::string> holders;
    std::set<std::string> otherFields;
  };
  std::map<std::string, Server> servers;
  for (const Json& node : aNodes) {
    for (const Json& entry : jsonArray(node, "servers")) {
      Server& server = servers[jsonCell(entry, "server")];
      server.held += jsonUnsigned(entry, "slots_held");
      server.inUse += jsonUnsigned(entry, "in_use");
      server.queued += jsonUnsigned(entry, "queued");
      if (jsonUnsigned(entry, "slots_held") > 0) {
        server.holders.insert(jsonCell(node, "host"));
      }
      for (const auto& field : entry.GetObject()) {
        const std::string name = field.name.GetString();
        if (name != "server" && name != "slots_held" && name != "in_use" &&
            name != "queued") {
          server.otherFields.insert(name + "=" + jsonCell(entry, name.c_str()));
        }
      }
    }
  }
  const auto join = [](const std::set<std::string>& aTexts) {
    std::string joined;
    for (const std::string& text : aTexts) {
      joined += (joined.empty() ? "" : ",") + text;
    }
    return joined.empty() ? std::string("-") : joined;
  };
  TextTable table({ "server",
                    "slots held",
                    "in use",
                    "queued",
                    "holders",
                    "warmth and more" });
  for (const auto& [name, server] : servers) {
    table.add({ name,
                std::to_string(server.held),
                std::to_string(server.inUse),
                std::to_string(server.queued),
                join(server.holders),
                join(server.otherFields) });
  }
  if (!table.empty()) {
    table.print(aOut);
  }
}

/// Prints the fields of a node that no table above covers, such as members or
/// quarantined requests.
void
printOtherFields(std::ostream& aOut, const Json& aNode)
{
  static const std::set<std::string> kSkippedFields = {
    "host",    "data_centre", "incarnation", "refused_revision",
    "servers", "counters",    "view",
  };
  for (const auto& field : aNode.GetObject()) {
    const std::string name = field.name.GetString();
    if (kSkippedFields.count(name) != 0) {
      continue;
    }
    aOut << jsonCell(aNode, "host") << ' ' << name;
    if (!field.value.IsArray()) {
      aOut << ": " << jsonCell(aNode, name.c_str()) << '\n';
      continue;
    }
    aOut << ": " << field.value.Size() << '\n';
    for (const Json& entry : field.value.GetArray()) {
      aOut << "  " << jsonSerialize(entry) << '\n';
    }
  }
}

void
printRule(std::ostream& aOut, const Json& aRule)
{
  const std::uint64_t line = jsonUnsigned(aRule, "line");
  aOut << std::setw(8) << (line == 0 ? "built-in" : std::to_string(line))
       << "  " << jsonCell(aRule, "text") << "  # asked by "
       << jsonCell(aRule, "asked_by");
  if (jsonMember(aRule, "reason") != nullptr) {
    aOut << " : " << jsonCell(aRule, "reason");
  }
  aOut << '\n';
}

} // namespace

std::vector<HostAddress>
listedHosts(const std::string& aStatus)
{
  std::vector<HostAddress> hosts;
  const auto status = parseJson(aStatus);
  if (!status) {
    return hosts;
  }
  for (const Json& host : jsonArray(memberOrNull(*status, "view"), "hosts")) {
    hosts.push_back(
      { jsonCell(host, "host"),
        jsonCell(host, "address") + ":" + jsonCell(host, "http_port") });
  }
  return hosts;
}

std::string
statusTable(const std::vector<std::string>& aStatuses,
            const std::vector<std::string>& aFailures)
{
  std::vector<JsonDocument> nodes;
  for (const std::string& text : aStatuses) {
    auto node = parseJson(text);
    if (node && node->IsObject()) {
      nodes.push_back(std::move(*node));
    }
  }
  const auto newest = std::max_element(
    nodes.begin(), nodes.end(), [](const Json& aLeft, const Json& aRight) {
      return jsonUnsigned(memberOrNull(aLeft, "view"), "rules_revision") <
             jsonUnsigned(memberOrNull(aRight, "view"), "rules_revision");
    });
  std::ostringstream out;
  printNodes(out, nodes);
  for (const std::string& failure : aFailures) {
    out << "no answer from " << failure << '\n';
  }
  if (newest != nodes.end()) {
    printView(out, memberOrNull(*newest, "view"));
  }
  printServers(out, nodes);
  for (const Json& node : nodes) {
    printOtherFields(out, node);
  }
  return out.str();
}

std::string
rulesTable(const std::string& aText)
{
  const auto parsed = parseJson(aText);
  if (!parsed || !parsed->IsObject()) {
    return "malformed answer\n";
  }
  const Json& body = *parsed;
  std::ostringstream out;
  for (const char* name :
       { "request_id", "class", "outcome", "reason", "snapshot", "revision" }) {
    const std::string value = jsonCell(body, name);
    if (value != "-" && !value.empty()) {
      out << std::left << std::setw(12) << name << value << '\n';
    }
  }
  const Json& coverage = memberOrNull(body, "coverage");
  if (coverage.IsObject()) {
    out << std::setw(12) << "coverage" << jsonCell(coverage, "answered") << '/'
        << jsonCell(coverage, "total") << '\n';
  }
  out << std::right;
  for (const Json& rule : jsonArray(body, "rules")) {
    printRule(out, rule);
  }
  return out.str();
}

} // namespace toucanridge
