#include "entry_status_p.h"

#include <sstream>

#include "json_p.h"
#include "text_table_p.h"

namespace toucanridge {
namespace {

std::int64_t
millisSince(TimePoint aStart, TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aStart)
    .count();
}

void
writeControl(JsonWriter& aOut, const ControlReport& aReport, TimePoint aNow)
{
  aOut.text("host", aReport.host);
  aOut.text("data_centre", aReport.dataCentre);
  aOut.flag("ready", aReport.ready);
  aOut.number("up_ms", millisSince(aReport.startedAt, aNow));
  aOut.beginObject("copy");
  aOut.number("revision", aReport.revision);
  aOut.number("age_ms", millisSince(aReport.changedAt, aNow));
  aOut.flag("reads_platform", aReport.readsPlatform);
  aOut.flag("platform_in_trouble", aReport.readsFail);
  aOut.endObject();
  aOut.beginArray("peers");
  for (const PeerStatus& peer : aReport.peers) {
    aOut.beginObject();
    aOut.text("host", peer.host);
    aOut.text("data_centre", peer.dataCentre);
    aOut.text("state", peer.state);
    aOut.number("revision", peer.revision);
    aOut.flag("entry", peer.entry);
    aOut.endObject();
  }
  aOut.endArray();
}

void
writeServer(JsonWriter& aOut, const ServerStatus& aServer)
{
  aOut.beginObject();
  aOut.text("server", aServer.id);
  aOut.text("service", aServer.service);
  aOut.text("address", aServer.address);
  aOut.text("data_centre", aServer.dataCentre);
  aOut.text("state", aServer.state);
  aOut.flag("cold", aServer.cold);
  if (aServer.limit) {
    aOut.number("limit", *aServer.limit);
  }
  aOut.number("slowness", aServer.slowness);
  aOut.number("failures", aServer.failures);
  aOut.number("running", aServer.running);
  aOut.number("connections", aServer.connections);
  aOut.number("waiting", aServer.waiting);
  aOut.endObject();
}

void
writeRoute(JsonWriter& aOut, const RouteStatus& aRoute)
{
  aOut.beginObject();
  aOut.text("route", aRoute.name);
  aOut.text("host", aRoute.host);
  aOut.text("prefix", aRoute.prefix);
  aOut.number("shards", aRoute.shards);
  aOut.number("lacking", aRoute.lacking);
  aOut.number("admission", aRoute.admission);
  aOut.endObject();
}

/// Prints a JSON array of objects as a table.
/// @param[in] aList key of the array
/// @param[in] aColumns members of the objects to print
void
printList(std::ostream& aOut,
          const Json& aStatus,
          const char* aList,
          const std::vector<std::string>& aColumns)
{
  TextTable table(aColumns);
  for (const Json& entry : jsonArray(aStatus, aList)) {
    std::vector<std::string> row;
    row.reserve(aColumns.size());
    for (const std::string& column : aColumns) {
      row.push_back(jsonCell(entry, column.c_str()));
    }
    table.add(std::move(row));
  }
  if (!table.empty()) {
    table.print(aOut);
  }
}

} // namespace

std::string
renderEntryStatus(const std::shared_ptr<const ControlReport>& aControl,
                  const TrafficReport& aTraffic,
                  TimePoint aNow)
{
  JsonWriter out;
  out.beginObject();
  if (aControl) {
    writeControl(out, *aControl, aNow);
  }
  out.number("version", aTraffic.version);
  out.number("running", aTraffic.running);
  out.beginArray("routes");
  for (const RouteStatus& route : aTraffic.routes) {
    writeRoute(out, route);
  }
  out.endArray();
  out.beginArray("servers");
  for (const ServerStatus& server : aTraffic.servers) {
    writeServer(out, server);
  }
  out.endArray();
  out.endObject();
  return out.str();
}

std::string
entryStatusTable(const std::string& aStatus)
{
  const auto status = parseJson(aStatus);
  if (!status || !status->IsObject()) {
    return "malformed answer\n";
  }
  std::ostringstream out;
  out << jsonCell(*status, "host") << " in " << jsonCell(*status, "data_centre")
      << ": ready " << jsonCell(*status, "ready") << ", up "
      << jsonCell(*status, "up_ms") << " ms, configuration "
      << jsonCell(*status, "version") << ", running "
      << jsonCell(*status, "running") << '\n';
  if (const Json* copy = jsonMember(*status, "copy")) {
    out << "copy of the platform's items: revision "
        << jsonCell(*copy, "revision") << ", changed "
        << jsonCell(*copy, "age_ms") << " ms ago, reads the platform "
        << jsonCell(*copy, "reads_platform") << ", platform in trouble "
        << jsonCell(*copy, "platform_in_trouble") << "\n\n";
  }
  printList(out,
            *status,
            "peers",
            { "host", "data_centre", "state", "revision", "entry" });
  printList(out,
            *status,
            "routes",
            { "route", "host", "prefix", "shards", "lacking", "admission" });
  printList(out,
            *status,
            "servers",
            { "server",
              "service",
              "address",
              "data_centre",
              "state",
              "cold",
              "limit",
              "slowness",
              "failures",
              "running",
              "connections",
              "waiting" });
  return out.str();
}

} // namespace toucanridge
