#include "status_table_p.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <map>
#include <set>
#include <sstream>

#include <cpprest/json.h>
#include <cpprest/uri.h>

namespace toucanridge {
namespace {

namespace json = web::json;

/// A text cell for any JSON value; a missing one is a dash.
std::string
cell(const json::value& aObject, const std::string& aName)
{
  if (!aObject.is_object() || !aObject.has_field(aName)) {
    return "-";
  }
  const json::value& value = aObject.at(aName);
  return value.is_string() ? value.as_string() : value.serialize();
}

std::uint64_t
number(const json::value& aObject, const std::string& aName)
{
  return aObject.is_object() && aObject.has_number_field(aName)
           ? aObject.at(aName).as_number().to_uint64()
           : 0;
}

json::value
child(const json::value& aObject, const std::string& aName)
{
  return aObject.is_object() && aObject.has_field(aName) ? aObject.at(aName)
                                                         : json::value();
}

std::vector<json::value>
list(const json::value& aObject, const std::string& aName)
{
  const json::value found = child(aObject, aName);
  if (!found.is_array()) {
    return {};
  }
  return { found.as_array().begin(), found.as_array().end() };
}

/// Rows of text with the columns aligned.
class Table
{
public:
  explicit Table(std::vector<std::string> aTitles)
    : m_rows{ std::move(aTitles) }
  {
  }

  void add(std::vector<std::string> aRow) { m_rows.push_back(std::move(aRow)); }
  bool empty() const { return m_rows.size() == 1; }

  void print(std::ostream& aOut) const
  {
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        widths[i] = std::max(widths[i], row[i].size());
      }
    }
    for (const auto& row : m_rows) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        aOut << (i == 0 ? "" : "  ") << row[i];
        if (i + 1 < row.size()) {
          aOut << std::string(widths[i] - row[i].size(), ' ');
        }
      }
      aOut << '\n';
    }
    aOut << '\n';
  }

private:
  std::vector<std::vector<std::string>> m_rows;
};

/// One row for each host: the nodes that answered, and the listed others.
void
printNodes(std::ostream& aOut, const std::vector<json::value>& aNodes)
{
  Table table({ "host",
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
  for (const json::value& node : aNodes) {
    const json::value view = child(node, "view");
    const json::value counters = child(node, "counters");
    std::uint64_t held = 0;
    std::uint64_t inUse = 0;
    std::uint64_t queued = 0;
    for (const json::value& server : list(node, "servers")) {
      held += number(server, "slots_held");
      inUse += number(server, "in_use");
      queued += number(server, "queued");
    }
    lowest = std::min(lowest, number(view, "rules_revision"));
    highest = std::max(highest, number(view, "rules_revision"));
    table.add({ cell(node, "host"),
                cell(node, "data_centre"),
                cell(view, "rules_revision"),
                cell(view, "hosts_revision"),
                cell(counters, "queries"),
                cell(counters, "whole"),
                cell(counters, "partial"),
                cell(counters, "not_run"),
                cell(counters, "unknown"),
                std::to_string(held),
                std::to_string(inUse),
                std::to_string(queued),
                cell(node, "refused_revision") });
  }
  table.print(aOut);
  if (aNodes.size() > 1) {
    aOut << "rules revisions differ by " << highest - lowest << " between "
         << aNodes.size() << " nodes\n\n";
  }
}

void
printView(std::ostream& aOut, const json::value& aView)
{
  Table centres({ "data centre", "state", "rule line", "asked by" });
  for (const json::value& centre : list(aView, "data_centres")) {
    centres.add({ cell(centre, "data_centre"),
                  cell(centre, "in_service") == "true" ? "in" : "out",
                  cell(centre, "line"),
                  cell(centre, "asked_by") });
  }
  centres.print(aOut);
  Table hosts({ "listed host", "data centre", "list", "new work" });
  for (const json::value& host : list(aView, "hosts")) {
    hosts.add({ cell(host, "host"),
                cell(host, "data_centre"),
                cell(host, "state"),
                cell(host, "in_service") == "true" ? "yes" : "no" });
  }
  hosts.print(aOut);
}

/// One row for each server, summed over the nodes; any further field that a
/// node gives for a server is shown as the nodes give it.
void
printServers(std::ostream& aOut, const std::vector<json::value>& aNodes)
{
  struct Server
  {
    std::uint64_t held = 0;
    std::uint64_t inUse = 0;
    std::uint64_t queued = 0;
    std::set<std::string> holders;
    std::set<std::string> other;
  };
  std::map<std::string, Server> servers;
  for (const json::value& node : aNodes) {
    for (const json::value& entry : list(node, "servers")) {
      Server& server = servers[cell(entry, "server")];
      server.held += number(entry, "slots_held");
      server.inUse += number(entry, "in_use");
      server.queued += number(entry, "queued");
      if (number(entry, "slots_held") > 0) {
        server.holders.insert(cell(node, "host"));
      }
      for (const auto& [name, value] : entry.as_object()) {
        if (name != "server" && name != "slots_held" && name != "in_use" &&
            name != "queued") {
          server.other.insert(name + "=" + cell(entry, name));
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
  Table table({ "server",
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
                join(server.other) });
  }
  if (!table.empty()) {
    table.print(aOut);
  }
}

/// Fields that no table above shows, such as members or quarantined requests.
void
printOther(std::ostream& aOut, const json::value& aNode)
{
  static const std::set<std::string> kShown = {
    "host",    "data_centre", "incarnation", "refused_revision",
    "servers", "counters",    "view",
  };
  for (const auto& [name, value] : aNode.as_object()) {
    if (kShown.count(name) != 0) {
      continue;
    }
    aOut << cell(aNode, "host") << ' ' << name;
    if (!value.is_array()) {
      aOut << ": " << cell(aNode, name) << '\n';
      continue;
    }
    aOut << ": " << value.size() << '\n';
    for (const json::value& entry : value.as_array()) {
      aOut << "  " << entry.serialize() << '\n';
    }
  }
}

void
printRule(std::ostream& aOut, const json::value& aRule)
{
  const std::uint64_t line = number(aRule, "line");
  aOut << std::setw(8) << (line == 0 ? "built-in" : std::to_string(line))
       << "  " << cell(aRule, "text") << "  # asked by "
       << cell(aRule, "asked_by");
  if (aRule.has_field("reason")) {
    aOut << " : " << cell(aRule, "reason");
  }
  aOut << '\n';
}

} // namespace

std::vector<HostAddress>
listedHosts(const std::string& aStatus)
{
  std::error_code error;
  const json::value status = json::value::parse(aStatus, error);
  std::vector<HostAddress> hosts;
  for (const json::value& host : list(child(status, "view"), "hosts")) {
    hosts.push_back({ cell(host, "host"),
                      cell(host, "address") + ":" + cell(host, "http_port") });
  }
  return hosts;
}

std::string
statusTable(const std::vector<std::string>& aStatuses,
            const std::vector<std::string>& aSilent)
{
  std::vector<json::value> nodes;
  json::value newest;
  for (const std::string& text : aStatuses) {
    std::error_code error;
    json::value node = json::value::parse(text, error);
    if (error || !node.is_object()) {
      continue;
    }
    const json::value view = child(node, "view");
    if (newest.is_null() ||
        number(view, "rules_revision") > number(newest, "rules_revision")) {
      newest = view;
    }
    nodes.push_back(std::move(node));
  }
  std::ostringstream out;
  printNodes(out, nodes);
  for (const std::string& silent : aSilent) {
    out << "no answer from " << silent << '\n';
  }
  printView(out, newest);
  printServers(out, nodes);
  for (const json::value& node : nodes) {
    printOther(out, node);
  }
  return out.str();
}

std::string
rulesTable(const std::string& aText)
{
  std::error_code error;
  const json::value body = json::value::parse(aText, error);
  std::ostringstream out;
  if (error || !body.is_object()) {
    return "malformed answer\n";
  }
  for (const char* name :
       { "request_id", "class", "outcome", "reason", "snapshot", "revision" }) {
    const std::string value = cell(body, name);
    if (value != "-" && !value.empty()) {
      out << std::left << std::setw(12) << name << value << '\n';
    }
  }
  const json::value coverage = child(body, "coverage");
  if (coverage.is_object()) {
    out << std::setw(12) << "coverage" << cell(coverage, "answered") << '/'
        << cell(coverage, "total") << '\n';
  }
  out << std::right;
  for (const json::value& rule : list(body, "rules")) {
    printRule(out, rule);
  }
  return out.str();
}

std::string
urlEncode(const std::string& aText)
{
  return web::uri::encode_data_string(aText);
}

} // namespace toucanridge
