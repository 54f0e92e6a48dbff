/// Load tool that compares query classes in one run: it sends blocks of queries
/// of each class in turn, so that other load on the machine affects all classes
/// alike, and prints latency, coverage and extra load by class.

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <regex>
#include <string>
#include <thread>
#include <vector>

#include <boost/program_options.hpp>

#include "client_http_p.h"

namespace {

namespace po = boost::program_options;
using toucanridge::QueryAnswer;
using toucanridge::QueryClient;
using toucanridge::QueryRequest;
using Clock = std::chrono::steady_clock;

/// What was measured for one class over all its blocks.
struct ClassResult
{
  std::vector<double> latenciesMs;
  std::uint64_t answered = 0; ///< services that answered, over all queries
  std::uint64_t total = 0;    ///< services that were needed
  std::uint64_t whole = 0;    ///< queries with a whole answer
  std::map<std::string, std::uint64_t> counters; ///< increase over the blocks
};

/// Counters of /v1/status that are reported by class.
const std::vector<std::string> kCounterNames = {
  "first_attempts", "retries",       "free_retries", "hedges",
  "hedges_won",     "hedges_denied", "early_answers"
};

/// @returns the counters in kCounterNames, summed over all entry hosts
std::map<std::string, std::uint64_t>
readCounters(const std::vector<std::string>& aEntries)
{
  std::map<std::string, std::uint64_t> sum;
  for (const std::string& entry : aEntries) {
    const auto status = QueryClient::get(entry, "/v1/status");
    for (const std::string& name : kCounterNames) {
      std::smatch found;
      const std::regex pattern("\"" + name + "\":([0-9]+)");
      if (status && std::regex_search(*status, found, pattern)) {
        sum[name] += std::stoull(found[1]);
      }
    }
  }
  return sum;
}

/// Sends a block of queries of one class and adds what was measured to aResult.
void
runBlock(const po::variables_map& aValues,
         const std::string& aClass,
         std::uint32_t aQueries,
         ClassResult& aResult)
{
  const auto entries = aValues["entry"].as<std::vector<std::string>>();
  const auto callers = aValues["callers"].as<std::uint32_t>();
  const auto before = readCounters(entries);
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (std::uint32_t c = 0; c < callers; ++c) {
    threads.emplace_back([&, c] {
      QueryClient client({ entries[c % entries.size()] }, "");
      QueryRequest request;
      request.queryClass = aClass;
      for (std::uint32_t q = 0; q < aQueries / callers; ++q) {
        request.body = aClass + std::to_string(c) + "-" + std::to_string(q);
        const auto start = Clock::now();
        const QueryAnswer answer = client.query(request);
        const std::chrono::duration<double, std::milli> took =
          Clock::now() - start;
        const std::lock_guard<std::mutex> lock(mutex);
        aResult.latenciesMs.push_back(took.count());
        aResult.answered += answer.coverage.answered;
        aResult.total += answer.coverage.total;
        aResult.whole += answer.outcome == toucanridge::Outcome::Whole ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& [name, value] : readCounters(entries)) {
    // A restarted node's counters start from zero; a sum that has become
    // smaller counts as no increase.
    aResult.counters[name] += value - std::min(value, before.at(name));
  }
}

double
percentile(const std::vector<double>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(last * aShare)];
}

void
printResult(const std::string& aClass, ClassResult& aResult)
{
  std::sort(aResult.latenciesMs.begin(), aResult.latenciesMs.end());
  const auto percentage = [](std::uint64_t aPart, std::uint64_t aWhole) {
    return aWhole == 0
             ? 0.0
             : 100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
  };
  auto& counters = aResult.counters;
  std::cout << std::fixed << std::setprecision(1) << "class=" << aClass
            << " queries=" << aResult.latenciesMs.size()
            << " p50_ms=" << percentile(aResult.latenciesMs, 0.5)
            << " p99_ms=" << percentile(aResult.latenciesMs, 0.99)
            << " p999_ms=" << percentile(aResult.latenciesMs, 0.999)
            << std::setprecision(3)
            << " coverage_pct=" << percentage(aResult.answered, aResult.total)
            << " whole_pct="
            << percentage(aResult.whole, aResult.latenciesMs.size())
            << " extra_load_pct="
            << percentage(counters["hedges"] + counters["retries"],
                          counters["first_attempts"]);
  for (const std::string& name : kCounterNames) {
    std::cout << ' ' << name << '=' << counters[name];
  }
  std::cout << '\n';
}

} // namespace

int
main(int aCount, char** aValues)
{
  po::options_description options("hedge_bench");
  options.add_options()("help", "print this help")(
    "entry",
    po::value<std::vector<std::string>>()->required()->multitoken(),
    "address:port of each entry host")(
    "class",
    po::value<std::vector<std::string>>()->required()->multitoken(),
    "classes to compare")("queries",
                          po::value<std::uint32_t>()->default_value(400),
                          "queries of a class in one block")(
    "rounds",
    po::value<std::uint32_t>()->default_value(5),
    "blocks of each class")("warm-up",
                            po::value<std::uint32_t>()->default_value(200),
                            "queries of each class before measuring")(
    "callers", po::value<std::uint32_t>()->default_value(4), "callers");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    const auto classes = values["class"].as<std::vector<std::string>>();
    for (const std::string& name : classes) {
      ClassResult warmUpResult;
      runBlock(
        values, name, values["warm-up"].as<std::uint32_t>(), warmUpResult);
    }
    std::map<std::string, ClassResult> results;
    for (std::uint32_t r = 0; r < values["rounds"].as<std::uint32_t>(); ++r) {
      for (const std::string& name : classes) {
        runBlock(
          values, name, values["queries"].as<std::uint32_t>(), results[name]);
      }
    }
    for (const std::string& name : classes) {
      printResult(name, results[name]);
    }
  } catch (const std::exception& error) {
    std::cerr << "hedge_bench: " << error.what() << '\n';
    return 2;
  }
  return 0;
}
