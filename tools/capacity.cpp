/// Measures the cost of control state against the number of hosts, servers and
/// rules, far past what one machine can run as processes: one node's real
/// control objects are fed the state of the whole fleet. Prints one CSV line a
/// measurement: name,x,value,unit.

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "placement_p.h"
#include "rules_p.h"
#include "view_p.h"

namespace {

using namespace toucanridge;
namespace po = boost::program_options;
using std::chrono::steady_clock;

constexpr std::uint32_t kServersPerService = 2;
constexpr std::uint32_t kDataCentres = 8;

/// A rules file of the given size, in the shape of the examples.
std::string
makeRules(std::uint32_t aServers)
{
  std::ostringstream out;
  const char* const asked = " # asked by Capacity T. : measurement\n";
  for (std::uint32_t i = 0; i < kDataCentres; ++i) {
    out << "data-centre dc-" << i << " in" << asked;
  }
  const std::uint32_t services = aServers / kServersPerService;
  for (std::uint32_t i = 0; i < services; ++i) {
    out << "service index/" << i + 1000 << " servers ";
    for (std::uint32_t r = 0; r < kServersPerService; ++r) {
      const std::uint32_t n = i * kServersPerService + r;
      out << (r == 0 ? "" : ",") << "127." << 100 + n / 62500 << '.'
          << n / 250 % 250 << '.' << n % 250 + 1 << ":8100";
    }
    out << " slots 3 connections 30 connect-cost 6ms cold-slots 1" << asked;
  }
  out << "snapshot index 7 services 1000.." << 1000 + services - 1 << asked
      << "class search application index deadline 900ms priority 5 wait "
         "coverage idempotent yes fan-out all"
      << asked;
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

void
print(const std::string& aName, double aX, double aValue, const char* aUnit)
{
  std::cout << aName << ',' << aX << ',' << aValue << ',' << aUnit << '\n';
}

/// Median CPU time of a function in microseconds.
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
  const auto rules = parseRules(makeRules(3600)).rules;
  for (int i = 0; i < kViews; ++i) {
    views.push_back(makeView(1, rules, makeHosts(560)));
  }
  print("view_memory",
        3600,
        static_cast<double>(residentKib() - before) / kViews,
        "KiB");
}

/// Slots whose holder changes when one host leaves the list.
void
measureMoves()
{
  const auto rules = parseRules(makeRules(3600)).rules;
  HostList list = makeHosts(560);
  const ViewPtr before = makeView(1, rules, list);
  const std::string gone = list.hosts[17].name;
  list.hosts.erase(list.hosts.begin() + 17);
  const ViewPtr after = makeView(1, rules, list);
  std::uint64_t moved = 0;
  std::uint64_t held = 0;
  const auto nameOf = [](const View& aView, const SlotPlace& aPlace) {
    return aPlace.host == SlotPlace::kNoHost
             ? std::string()
             : aView.hosts.hosts[aPlace.host].name;
  };
  for (std::size_t s = 0; s < before->placement.size(); ++s) {
    for (std::size_t k = 0; k < before->placement[s].slots.size(); ++k) {
      const std::string old = nameOf(*before, before->placement[s].slots[k]);
      held += old == gone ? 1 : 0;
      moved += old != nameOf(*after, after->placement[s].slots[k]) ? 1 : 0;
    }
  }
  print("slots_held_by_host", 560, static_cast<double>(held), "slots");
  print("slots_moved_on_host_loss", 560, static_cast<double>(moved), "slots");
}

struct Section
{
  const char* name;
  void (*run)();
};

constexpr Section kSections[] = {
  { "rules", measureRules },
  { "view", measureView },
  { "moves", measureMoves },
};

} // namespace

int
main(int aCount, char** aValues)
{
  po::options_description options("capacity");
  options.add_options()("help", "print this help")(
    "section",
    po::value<std::string>()->default_value(""),
    "run one section only");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    const std::string only = values["section"].as<std::string>();
    for (const Section& section : kSections) {
      if (only.empty() || only == section.name) {
        section.run();
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "capacity: " << error.what() << '\n';
    return 2;
  }
}
