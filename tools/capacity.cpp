/// Measures the cost of control state against the number of hosts, servers and
/// rules, for fleets with far more nodes than one machine can run as processes:
/// the nodes' control objects run in this process and are given the state of
/// the whole fleet. Prints one CSV line per measurement: name,x,value,unit.

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "control_fleet.h"
#include "placement_p.h"
#include "rules_p.h"
#include "view_p.h"

namespace {

using namespace toucanridge;
namespace po = boost::program_options;
using std::chrono::steady_clock;

constexpr std::uint32_t kServersPerService = 2;
constexpr std::uint32_t kDataCentres = 8;
constexpr std::uint64_t kSeed = 7;

/// @returns a rules file with aServers servers, with the structure of the
///          examples
std::string
makeRules(std::uint32_t aServers)
{
  std::ostringstream out;
  const char* const attribution = " # asked by Capacity T. : measurement\n";
  for (std::uint32_t i = 0; i < kDataCentres; ++i) {
    out << "data-centre dc-" << i << " in" << attribution;
  }
  const std::uint32_t services = aServers / kServersPerService;
  for (std::uint32_t i = 0; i < services; ++i) {
    out << "service index/" << i + 1000 << " servers ";
    for (std::uint32_t r = 0; r < kServersPerService; ++r) {
      const std::uint32_t n = i * kServersPerService + r;
      out << (r == 0 ? "" : ",") << "127." << 100 + n / 62500 << '.'
          << n / 250 % 250 << '.' << n % 250 + 1 << ":8100";
    }
    out << " slots 3 connections 30 connect-cost 6ms cold-slots 1"
        << attribution;
  }
  out << "snapshot index 7 services 1000.." << 1000 + services - 1
      << attribution
      << "class search application index deadline 900ms priority 5 wait "
         "coverage idempotent yes fan-out all"
      << attribution;
  return out.str();
}

HostList
makeHosts(std::uint32_t aHosts)
{
  HostList list;
  list.revision = 1;
  for (std::uint32_t i = 0; i < aHosts; ++i) {
    Host host;
    host.name = "host-" + std::to_string(i);
    host.dataCentre = "dc-" + std::to_string(i % kDataCentres);
    host.address =
      "127.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
    host.httpPort = 8000;
    host.peerPort = 8001;
    list.hosts.push_back(host);
  }
  return list;
}

/// @returns resident memory of this process in KiB
std::uint64_t
residentKib()
{
  std::ifstream in("/proc/self/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::stoull(line.substr(6));
    }
  }
  return 0;
}

/// Prints the CSV line of one measurement.
void
print(const std::string& aName, double aX, double aValue, const char* aUnit)
{
  std::cout << aName << ',' << aX << ',' << aValue << ',' << aUnit << '\n';
}

/// @returns the median wall-clock time of a function in microseconds
double
medianMicros(int aRuns, const std::function<void()>& aRun)
{
  std::vector<double> took;
  for (int i = 0; i < aRuns; ++i) {
    const auto started = steady_clock::now();
    aRun();
    took.push_back(
      std::chrono::duration<double, std::micro>(steady_clock::now() - started)
        .count());
  }
  std::sort(took.begin(), took.end());
  return took[took.size() / 2];
}

void
measureRules()
{
  for (const std::uint32_t servers : { 450U, 900U, 1800U, 3600U }) {
    const std::string text = makeRules(servers);
    print("rules_bytes", servers, static_cast<double>(text.size()), "B");
    print(
      "rules_parse", servers, medianMicros(7, [&] { parseRules(text); }), "us");
  }
}

void
measureView()
{
  for (const std::uint32_t hosts : { 70U, 140U, 280U, 560U }) {
    for (const std::uint32_t servers : { 450U, 900U, 1800U, 3600U }) {
      const auto rules = parseRules(makeRules(servers)).rules;
      const HostList list = makeHosts(hosts);
      const double micros = medianMicros(5, [&] { makeView(1, rules, list); });
      if (hosts == 560) {
        print("view_build_by_servers", servers, micros, "us");
      }
      if (servers == 3600) {
        print("view_build_by_hosts", hosts, micros, "us");
      }
    }
  }
  const std::uint64_t before = residentKib();
  std::vector<ViewPtr> views;
  constexpr int kViews = 8;
  views.reserve(kViews);
  const auto rules = parseRules(makeRules(3600)).rules;
  for (int i = 0; i < kViews; ++i) {
    views.push_back(makeView(1, rules, makeHosts(560)));
  }
  print("view_memory",
        3600,
        static_cast<double>(residentKib() - before) / kViews,
        "KiB");
}

/// Measures how many slots change their holder when one host leaves the list.
void
measureSlotMoves()
{
  const auto rules = parseRules(makeRules(3600)).rules;
  HostList list = makeHosts(560);
  const ViewPtr before = makeView(1, rules, list);
  const std::string lostHost = list.hosts[17].name;
  list.hosts.erase(list.hosts.begin() + 17);
  const ViewPtr after = makeView(1, rules, list);
  std::uint64_t moved = 0;
  std::uint64_t held = 0;
  const auto holderName = [](const View& aView, const SlotPlace& aPlace) {
    return aPlace.host == SlotPlace::kNoHost
             ? std::string()
             : aView.hosts.hosts[aPlace.host].name;
  };
  for (std::size_t s = 0; s < before->placement.size(); ++s) {
    for (std::size_t k = 0; k < before->placement[s].slots.size(); ++k) {
      const std::string holderBefore =
        holderName(*before, before->placement[s].slots[k]);
      held += holderBefore == lostHost ? 1 : 0;
      moved += holderBefore != holderName(*after, after->placement[s].slots[k])
                 ? 1
                 : 0;
    }
  }
  print("slots_held_by_host", 560, static_cast<double>(held), "slots");
  print("slots_moved_on_host_loss", 560, static_cast<double>(moved), "slots");
}

/// Size of a datagram's IPv4 and UDP headers.
constexpr double kDatagramHeaderBytes = 28;
constexpr std::chrono::seconds kSteadyStateTime{ 60 };

struct ControlTotals
{
  std::uint64_t datagrams = 0;
  std::uint64_t datagramBytes = 0;
  std::uint64_t configBytes = 0;
};

ControlTotals
totalsOf(ControlFleet& aFleet)
{
  ControlTotals totals;
  totals.datagrams = aFleet.total([](ControlFleet::Member& aMember) {
    return aMember.core.membership().counters().sentDatagrams;
  });
  totals.datagramBytes = aFleet.total([](ControlFleet::Member& aMember) {
    return aMember.core.membership().counters().sentBytes;
  });
  totals.configBytes = aFleet.total([](ControlFleet::Member& aMember) {
    return aMember.core.config().counters().sentBytes;
  });
  return totals;
}

/// Measures a fleet for kSteadyStateTime without changes or failures:
/// datagrams, bytes and CPU time per node, and reads of the platform.
void
measureSteadyState(ControlFleet& aFleet, std::uint32_t aNodes)
{
  const ControlTotals before = totalsOf(aFleet);
  const std::uint64_t reads = aFleet.platform.reads;
  const auto cpu = std::clock();
  aFleet.run(kSteadyStateTime);
  const double cpuSeconds =
    static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
  const ControlTotals after = totalsOf(aFleet);
  const double nodeSeconds =
    static_cast<double>(aNodes) * static_cast<double>(kSteadyStateTime.count());
  const auto datagrams =
    static_cast<double>(after.datagrams - before.datagrams);
  print("control_datagrams", aNodes, datagrams / nodeSeconds, "1/s");
  print("control_bytes",
        aNodes,
        (static_cast<double>(after.datagramBytes - before.datagramBytes) +
         datagrams * kDatagramHeaderBytes) /
          nodeSeconds,
        "B/s");
  print("control_cpu", aNodes, 100 * cpuSeconds / nodeSeconds, "%");
  print("platform_reads",
        aNodes,
        static_cast<double>(aFleet.platform.reads - reads) /
          static_cast<double>(kSteadyStateTime.count()),
        "1/s");
}

/// Changes one line of the rules and measures the time until every node has
/// adopted it, and the bytes and CPU time per node until then.
void
measureRuleChange(ControlFleet& aFleet, std::uint32_t aNodes)
{
  const ControlTotals before = totalsOf(aFleet);
  std::string text = aFleet.platform.rules;
  const auto found = text.find("rights lease");
  text.replace(found,
               text.find('\n', found) - found,
               "rights lease 61s # asked by Capacity T. : one line changed");
  const auto cpu = std::clock();
  aFleet.publish(text);
  const std::uint64_t revision = aFleet.platform.rulesRevision;
  const Duration took = aFleet.runUntil(
    std::chrono::seconds(60), [&](ControlFleet::Member& aMember) {
      return aMember.core.adopted().rules == revision;
    });
  const double seconds = std::chrono::duration<double>(took).count();
  const ControlTotals after = totalsOf(aFleet);
  print("change_spread", aNodes, seconds, "s");
  print("change_bytes",
        aNodes,
        static_cast<double>(after.configBytes - before.configBytes) / aNodes,
        "B/node");
  print("change_cpu",
        aNodes,
        1000 * static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC /
          aNodes,
        "ms/node");
}

/// @returns the names of aCount hosts of one data centre, dc1
std::vector<std::string>
hostsOfOneDataCentre(std::uint32_t aCount)
{
  std::vector<std::string> names;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    names.push_back("host-" + std::to_string(i * kDataCentres + 1));
  }
  return names;
}

/// Kills hosts at the same time and measures how long it takes until nearly all
/// and then all surviving nodes regard them as dead, and the bytes per node and
/// second until nearly all do.
void
measureHostLoss(ControlFleet& aFleet,
                std::uint32_t aNodes,
                const std::vector<std::string>& aDead,
                const std::string& aName)
{
  constexpr std::chrono::seconds kLimit{ 900 };
  constexpr double kNearlyAllShare = 0.99;
  for (const std::string& name : aDead) {
    aFleet.kill(name);
  }
  const auto knownShare = [&] {
    const std::uint64_t pairs =
      aFleet.total([&](ControlFleet::Member& aMember) {
        std::uint64_t count = 0;
        for (const std::string& name : aDead) {
          count += aMember.core.membership().isAlive(name) ? 0 : 1;
        }
        return count;
      });
    return static_cast<double>(pairs) /
           static_cast<double>(aDead.size() * (aNodes - aDead.size()));
  };
  const ControlTotals before = totalsOf(aFleet);
  const TimePoint start = aFleet.clock.now();
  const auto elapsedSeconds = [&] {
    return std::chrono::duration<double>(aFleet.clock.now() - start).count();
  };
  double nearlyAllSeconds = 0;
  double currentShare = knownShare();
  while (currentShare < 1.0 && aFleet.clock.now() - start < kLimit) {
    aFleet.run(std::chrono::milliseconds(500));
    currentShare = knownShare();
    if (nearlyAllSeconds == 0 && currentShare >= kNearlyAllShare) {
      nearlyAllSeconds = elapsedSeconds();
      const ControlTotals after = totalsOf(aFleet);
      print(aName + "_bytes",
            aNodes,
            (static_cast<double>(after.datagramBytes - before.datagramBytes) +
             static_cast<double>(after.datagrams - before.datagrams) *
               kDatagramHeaderBytes) /
              static_cast<double>(aNodes - aDead.size()) / nearlyAllSeconds,
            "B/s");
    }
  }
  print(aName + "_known_to_99", aNodes, nearlyAllSeconds, "s");
  print(aName + "_known_to_all", aNodes, elapsedSeconds(), "s");
}

/// Measures the control objects of a whole fleet on a virtual clock.
void
measureControl(std::uint32_t aNodes)
{
  const std::uint64_t before = residentKib();
  ControlFleet fleet(kSeed);
  fleet.lease = "60s";
  fleet.start(aNodes, kDataCentres);
  fleet.run(std::chrono::seconds(20));
  measureSteadyState(fleet, aNodes);
  measureRuleChange(fleet, aNodes);
  measureHostLoss(fleet, aNodes, hostsOfOneDataCentre(1), "one_host");
  print("control_memory",
        aNodes,
        static_cast<double>(residentKib() - before) / aNodes,
        "KiB");
  std::vector<std::string> dataCentreHosts =
    hostsOfOneDataCentre(aNodes / kDataCentres);
  // The first of them was killed by the measurement above.
  dataCentreHosts.erase(dataCentreHosts.begin());
  if (!dataCentreHosts.empty()) {
    measureHostLoss(fleet, aNodes - 1, dataCentreHosts, "data_centre");
  }
}

/// Measures the memory per node and the cost of a rule change against the
/// number of servers in the rules file.
void
measureControlByServerCount()
{
  constexpr std::uint32_t kNodes = 32;
  for (const std::uint32_t servers : { 450U, 900U, 1800U, 3600U }) {
    const std::uint64_t before = residentKib();
    ControlFleet fleet(kSeed);
    fleet.start(kNodes, kDataCentres);
    fleet.publish(makeRules(servers) +
                  "rights lease 5s # asked by Capacity T. : measurement\n");
    fleet.run(std::chrono::seconds(30));
    print("control_memory_by_servers",
          servers,
          static_cast<double>(residentKib() - before) / kNodes,
          "KiB");
    const ControlTotals start = totalsOf(fleet);
    const auto cpu = std::clock();
    std::string text = fleet.platform.rules;
    const auto found = text.rfind("rights lease 5s");
    text.replace(found, 15, "rights lease 6s");
    fleet.publish(text);
    const std::uint64_t revision = fleet.platform.rulesRevision;
    const Duration took = fleet.runUntil(
      std::chrono::seconds(60), [&](ControlFleet::Member& aMember) {
        return aMember.core.adopted().rules == revision;
      });
    print("change_spread_by_servers",
          servers,
          std::chrono::duration<double>(took).count(),
          "s");
    print("change_cpu_by_servers",
          servers,
          1000 * static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC /
            kNodes,
          "ms/node");
    print("change_bytes_by_servers",
          servers,
          static_cast<double>(totalsOf(fleet).configBytes - start.configBytes) /
            kNodes,
          "B/node");
  }
}

struct Section
{
  const char* name;
  void (*run)();
};

constexpr Section kSections[] = {
  { "rules", measureRules },
  { "view", measureView },
  { "moves", measureSlotMoves },
  { "control-servers", measureControlByServerCount },
};

} // namespace

int
main(int aCount, char** aValues)
{
  po::options_description options("capacity");
  options.add_options()("help", "print this help")(
    "section",
    po::value<std::string>()->default_value(""),
    "run one section only")(
    "nodes",
    po::value<std::uint32_t>()->default_value(0),
    "measure the control objects of a fleet of this size instead");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    const auto nodes = values["nodes"].as<std::uint32_t>();
    if (nodes != 0) {
      measureControl(nodes);
      return 0;
    }
    const std::string onlySection = values["section"].as<std::string>();
    for (const Section& section : kSections) {
      if (onlySection.empty() || onlySection == section.name) {
        section.run();
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "capacity: " << error.what() << '\n';
    return 2;
  }
}
