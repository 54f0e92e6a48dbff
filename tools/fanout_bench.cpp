/// Closed-loop benchmark that compares one node with a client that fans out
/// directly to the backend stand-ins. The direct client sends a server no more
/// requests at a time than it has slots, with one connection per slot, and has
/// none of a node's other work: no deadlines, no rules, no log. Prints one line
/// of key=value pairs.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

#include <boost/program_options.hpp>
#include <sys/resource.h>

#include "answer_check.h"
#include "http_pool.h"
#include "rules_p.h"

namespace {

namespace po = boost::program_options;
using namespace toucanridge;
using namespace toucanridge::load;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTimeout{ 5000 };

/// A server, and the direct client's requests that wait for one of its slots.
struct ServerQueue
{
  std::string address;
  std::string service;
  std::uint32_t freeSlots = 0;
  std::deque<std::function<void()>> waiting;
};

class Bench
{
public:
  explicit Bench(const po::variables_map& aValues)
    : m_pool(m_context)
    , m_node(aValues["node"].as<std::string>())
    , m_class(aValues["class"].as<std::string>())
    , m_queriesLeft(aValues["queries"].as<std::uint32_t>())
    , m_clients(aValues["clients"].as<std::uint32_t>())
    , m_random(aValues["seed"].as<std::uint64_t>())
  {
    std::ifstream in(aValues["rules"].as<std::string>());
    std::ostringstream text;
    text << in.rdbuf();
    const RulesResult parsed = parseRules(text.str());
    if (!parsed.rules || parsed.rules->classes.count(m_class) == 0) {
      throw std::runtime_error("bad rules file or unknown class");
    }
    const std::string& application =
      parsed.rules->classes.at(m_class).application;
    const SnapshotRule& snapshot = parsed.rules->snapshots.at(application);
    m_snapshot = snapshot.id;
    for (const std::string& name : snapshot.services) {
      const ServiceRule& service = *parsed.rules->findService(name);
      std::vector<ServerQueue> servers;
      for (const ServerRule& server : service.servers) {
        servers.push_back({ server.name, name, service.slots, {} });
      }
      m_services.push_back(std::move(servers));
    }
  }

  int run()
  {
    const auto began = steady_clock::now();
    for (std::uint32_t i = 0; i < m_clients; ++i) {
      startNextQuery();
    }
    m_context.run();
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& aTime) {
      return static_cast<double>(aTime.tv_sec) +
             static_cast<double>(aTime.tv_usec) / 1e6;
    };
    std::sort(m_latencyMs.begin(), m_latencyMs.end());
    std::cout
      << std::fixed << std::setprecision(3)
      << "mode=" << (m_node.empty() ? "direct" : "node")
      << " queries=" << m_latencyMs.size() << " failed=" << m_failedQueries
      << " p50_ms=" << quantile(0.5) << " p99_ms=" << quantile(0.99)
      << " sub_requests=" << m_latencyMs.size() * m_services.size()
      << " cpu_s=" << seconds(usage.ru_utime) + seconds(usage.ru_stime)
      << " took_s="
      << std::chrono::duration<double>(steady_clock::now() - began).count()
      << '\n';
    return m_failedQueries == 0 ? 0 : 1;
  }

private:
  struct Query
  {
    std::string body;
    steady_clock::time_point start;
    std::size_t pendingReplies = 0;
    bool failed = false;
  };

  double quantile(double aShare) const
  {
    const auto size = static_cast<double>(m_latencyMs.size());
    return m_latencyMs.empty() ? 0.0
                               : m_latencyMs[static_cast<std::size_t>(std::min(
                                   size - 1.0, std::floor(aShare * size)))];
  }

  void startNextQuery()
  {
    if (m_queriesLeft == 0) {
      return;
    }
    --m_queriesLeft;
    auto query = std::make_shared<Query>();
    query->body = "bench " + std::to_string(m_random());
    query->start = steady_clock::now();
    if (m_node.empty()) {
      sendToServers(query);
    } else {
      sendToNode(query);
    }
  }

  void finishQuery(const std::shared_ptr<Query>& aQuery)
  {
    if (aQuery->failed) {
      ++m_failedQueries;
    }
    m_latencyMs.push_back(std::chrono::duration<double, std::milli>(
                            steady_clock::now() - aQuery->start)
                            .count());
    startNextQuery();
  }

  void sendToNode(const std::shared_ptr<Query>& aQuery)
  {
    HttpRequest request(http::verb::post, "/v1/query", 11);
    request.body() =
      R"({"class":")" + m_class + R"(","body":")" + aQuery->body + "\"}";
    m_pool.send(m_node,
                std::move(request),
                kTimeout,
                [this, aQuery](const HttpReply& aReply) {
                  // Reads only the outcome, to keep the client's own CPU time
                  // low.
                  aQuery->failed =
                    !aReply.ok || aReply.body.find(R"("outcome":"whole")") ==
                                    std::string::npos;
                  finishQuery(aQuery);
                });
  }

  void sendToServers(const std::shared_ptr<Query>& aQuery)
  {
    aQuery->pendingReplies = m_services.size();
    for (std::vector<ServerQueue>& servers : m_services) {
      // The server with the most free slots; of several, the one with the
      // shortest queue.
      ServerQueue& server = *std::max_element(
        servers.begin(),
        servers.end(),
        [](const ServerQueue& aLeft, const ServerQueue& aRight) {
          return aLeft.freeSlots != aRight.freeSlots
                   ? aLeft.freeSlots < aRight.freeSlots
                   : aLeft.waiting.size() > aRight.waiting.size();
        });
      server.waiting.emplace_back(
        [this, &server, aQuery] { sendToServer(server, aQuery); });
      sendWaiting(server);
    }
  }

  void sendWaiting(ServerQueue& aServer)
  {
    while (aServer.freeSlots > 0 && !aServer.waiting.empty()) {
      --aServer.freeSlots;
      const auto work = std::move(aServer.waiting.front());
      aServer.waiting.pop_front();
      work();
    }
  }

  void sendToServer(ServerQueue& aServer, const std::shared_ptr<Query>& aQuery)
  {
    HttpRequest request(
      http::verb::post, "/v1/search?service=" + aServer.service, 11);
    request.set("Request-Id", aQuery->body);
    request.set("Attempt", "0");
    request.set("Snapshot", std::to_string(m_snapshot));
    request.body() = aQuery->body;
    m_pool.send(aServer.address,
                std::move(request),
                kTimeout,
                [this, &aServer, aQuery](const HttpReply& aReply) {
                  aQuery->failed =
                    aQuery->failed || !aReply.ok ||
                    aReply.body !=
                      standInReply(aServer.service, m_snapshot, aQuery->body);
                  ++aServer.freeSlots;
                  sendWaiting(aServer);
                  if (--aQuery->pendingReplies == 0) {
                    finishQuery(aQuery);
                  }
                });
  }

  asio::io_context m_context;
  HttpPool m_pool;
  std::string m_node;
  std::string m_class;
  std::uint64_t m_snapshot = 0;
  std::uint32_t m_queriesLeft;
  std::uint32_t m_clients;
  std::mt19937_64 m_random;
  std::vector<std::vector<ServerQueue>> m_services;
  std::vector<double> m_latencyMs;
  std::uint64_t m_failedQueries = 0;
};

} // namespace

int
main(int aCount, char** aValues)
{
  po::options_description options("fanout_bench");
  options.add_options()("help", "print this help")(
    "rules", po::value<std::string>()->required(), "rules file")(
    "node",
    po::value<std::string>()->default_value(""),
    "address:port of a node; empty to fan out straight to the servers")(
    "class", po::value<std::string>()->default_value("fold-desk"), "class")(
    "queries", po::value<std::uint32_t>()->default_value(500), "queries")(
    "clients",
    po::value<std::uint32_t>()->default_value(2),
    "queries that run at a time")(
    "seed", po::value<std::uint64_t>()->default_value(1), "random seed");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    return Bench(values).run();
  } catch (const std::exception& error) {
    std::cerr << "fanout_bench: " << error.what() << '\n';
    return 2;
  }
}
