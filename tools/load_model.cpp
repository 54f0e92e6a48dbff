/// Plays a load on the decisions about servers, hedges, answers and admission,
/// in virtual time, and prints what the callers get under several policies.

#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "load_model.h"

namespace {

using namespace toucanridge;
using namespace toucanridge::load_model;
namespace po = boost::program_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct NamedPolicy
{
  const char* name;
  Policy policy;
};

/// @returns the project's decisions, and simpler ones to compare them with
std::vector<NamedPolicy>
policies()
{
  std::vector<NamedPolicy> list;
  list.push_back({ "current", {} });
  list.push_back({ "admit-all", {} });
  list.back().policy.isOverloaded = [](Duration, Duration) { return false; };
  list.push_back({ "whole-only", {} });
  list.back().policy.answer = [](const PartCounts& aParts,
                                 const QuerySchedule& aSchedule,
                                 TimePoint aNow) {
    return aParts.received == aParts.total ? AnswerStep::Answer
           : aNow >= aSchedule.giveUpAt    ? AnswerStep::Fail
                                           : AnswerStep::Wait;
  };
  return list;
}

void
printRow(const char* aPolicy, std::uint64_t aSeed, const Outcome& aOutcome)
{
  std::cout << std::left << std::setw(12) << aPolicy << std::right
            << std::setw(5) << aSeed << std::setw(7) << aOutcome.asked
            << std::setw(10) << aOutcome.inTarget << std::setw(6)
            << aOutcome.late << std::setw(8) << aOutcome.failed << std::setw(9)
            << aOutcome.refused << std::fixed << std::setprecision(3)
            << std::setw(8) << aOutcome.meanCredit() << std::setprecision(0)
            << std::setw(8) << aOutcome.percentileMs(0.5) << std::setw(8)
            << aOutcome.percentileMs(0.99) << std::setprecision(3)
            << std::setw(8)
            << static_cast<double>(aOutcome.extra) /
                 static_cast<double>(aOutcome.first)
            << '\n';
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Load load;
  Phase phase{ seconds(2), seconds(12) };
  std::size_t shards = 0;
  std::uint64_t seeds = 0;
  std::int64_t targetMs = 0;
  std::int64_t workMs = 0;
  po::options_description options("load_model [options]");
  options.add_options()("help", "show this help")(
    "shards", po::value(&shards)->default_value(20), "shards of the route")(
    "replicas", po::value(&load.replicas)->default_value(2), "servers a shard")(
    "slots", po::value(&load.slots)->default_value(3), "slots of a server")(
    "rate",
    po::value(&load.queriesPerSecond)->default_value(67.0),
    "queries a second")(
    "work-ms", po::value(&workMs)->default_value(28), "mean work of a part")(
    "target-ms", po::value(&targetMs)->default_value(200), "target latency")(
    "coverage",
    po::value(&load.route.minCoverage)->default_value(0.89),
    "share of the shards that an answer needs")(
    "load-factor",
    po::value(&phase.loadFactor)->default_value(1.0),
    "of the rate, from second 2 to 12")(
    "slow-shards",
    po::value(&phase.slowShards)->default_value(0),
    "shards with a slow replica, from second 2 to 12")(
    "slow-factor",
    po::value(&phase.slowFactor)->default_value(8.0),
    "of a slow replica's work")(
    "seeds", po::value(&seeds)->default_value(3), "plays of each policy");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "load_model: " << error.what() << '\n';
    return 2;
  }
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  load.work = milliseconds(workMs);
  load.route.shards.assign(shards, "s");
  load.route.targetLatency = milliseconds(targetMs);
  load.route.timeLimit = load.deadline;
  load.phases = { phase };
  std::cout << "policy       seed  asked in-target  late  failed  refused  "
               "credit  p50 ms  p99 ms   extra\n";
  for (const NamedPolicy& entry : policies()) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      printRow(entry.name, seed, Model(load, entry.policy, seed).run());
    }
  }
  return 0;
}
