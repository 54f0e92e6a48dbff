/// Stand-in for backend servers: many small servers in one process, each with
/// its own address, slots, connection limit, cold start and faults. A control
/// endpoint reports the servers' counters and injects faults.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>
#include <xxhash.h>

#include "rules_p.h"

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace po = boost::program_options;
using asio::ip::tcp;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// A body that starts with this text crashes the server that runs it.
constexpr const char* kCrashPrefix = "crash!";
/// Bodies that start with this text are expected to be unique; the executions
/// of each are counted over all servers of the process.
constexpr const char* kCountedPrefix = "once:";

/// Number of executions of each body that starts with kCountedPrefix.
class ExecutionCounts
{
public:
  void add(const std::string& aBody)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts[aBody];
  }

  /// @returns a JSON object that maps each body to its number of executions
  std::string json()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string text = "{";
    for (const auto& [body, count] : m_counts) {
      text +=
        (text.size() > 1 ? ",\"" : "\"") + body + "\":" + std::to_string(count);
    }
    return text + "}\n";
  }

private:
  std::mutex m_mutex;
  std::map<std::string, std::uint32_t> m_counts;
};

ExecutionCounts gExecutionCounts;

/// Behaviour that all servers of the process share.
struct Options
{
  double serviceTimeMedianMs = 6.0;
  double serviceTimeSigma = 0.35; ///< sigma of the log-normal service time
  double stragglerShare = 0.0;    ///< share of requests that take longer
  double stragglerFactor = 10.0;  ///< multiplies the service time of those
  std::uint32_t warmAfter = 50;   ///< completed requests until warm
  double coldFactor = 3.0;        ///< multiplies the service time while cold
  milliseconds restartDelay{ 1000 };
  bool startCold = true;
};

/// What one server has counted; /stats returns it.
struct Stats
{
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t shed = 0;        ///< refused, including the expired ones
  std::uint64_t cancelled = 0;   ///< connection closed during the execution
  std::uint64_t expired = 0;     ///< refused because the deadline had passed
  std::uint64_t connections = 0; ///< accepted since start
  std::uint32_t running = 0;
  std::uint32_t peakRunning = 0;
  std::uint32_t open = 0;
  std::uint32_t peakOpen = 0;
  std::uint64_t slotViolations = 0;       ///< started with no slot free
  std::uint64_t connectionViolations = 0; ///< accepted over the limit
  std::uint64_t coldViolations = 0;       ///< started over the cold slots
  std::uint64_t crashes = 0;
  std::uint64_t lateStarts = 0; ///< requests that arrived while draining
};

class Session;

/// One backend server. All its handlers run on its own strand.
class Server : public std::enable_shared_from_this<Server>
{
public:
  Server(asio::io_context& aContext,
         const Options& aOptions,
         const toucanridge::ServiceRule& aService,
         const toucanridge::ServerRule& aRule,
         std::uint64_t aSnapshot,
         std::uint64_t aSeed)
    : strand(asio::make_strand(aContext))
    , options(aOptions)
    , service(aService.name)
    , name(aRule.name)
    , slots(aService.slots)
    , connectionLimit(aService.connections)
    , coldSlots(aService.coldSlots)
    , connectCost(aService.connectCost)
    , endpoint(asio::ip::make_address(aRule.address), aRule.port)
    , snapshot(aSnapshot)
    , incarnation(aSeed | 1U)
    , warm(!aOptions.startCold)
    , random(aSeed)
    , m_acceptor(strand)
    , m_restartTimer(strand)
  {
  }

  void start()
  {
    beast::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (error) {
      std::cerr << "backend_standin: " << name << ": " << error.message()
                << '\n';
      std::exit(1);
    }
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    acceptNext();
  }

  /// Closes the listening socket and all connections, and restarts cold with a
  /// new incarnation after Options::restartDelay.
  void crash();
  /// Applies one KEY=VALUE pair of a /set request; ignores unknown keys.
  void applySetting(const std::string& aKey, double aValue);
  /// @returns the counters as a JSON object
  std::string statsJson() const;
  /// @returns the response to /v1/health or /v1/load
  Response healthOrLoad(const Request& aRequest);
  /// @returns a random service time for one request
  milliseconds drawServiceTime();

  asio::strand<asio::io_context::executor_type> strand;
  const Options& options;
  const std::string service;
  const std::string name;
  const std::uint32_t slots;
  const std::uint32_t connectionLimit;
  const std::uint32_t coldSlots;
  const milliseconds connectCost;
  const tcp::endpoint endpoint;

  std::uint64_t snapshot;
  std::uint64_t incarnation;
  bool warm;
  bool draining = false;
  bool down = false;
  /// Makes /v1/health report ok and /v1/load no running requests in any state.
  bool reportsHealthy = false;
  bool silent = false; ///< not used; Session::silent has the effect
  double slowFactor = 1.0;
  /// Requests completed since the server last started or was set to cold.
  std::uint32_t servedSinceStart = 0;
  Stats stats;
  std::mt19937_64 random;
  std::set<std::shared_ptr<Session>> sessions;
  /// Executions by "REQUEST-ID/ATTEMPT".
  std::unordered_map<std::string, std::uint32_t> executions;

private:
  void acceptNext();

  tcp::acceptor m_acceptor;
  asio::steady_timer m_restartTimer;
};

/// One connection to a server.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, std::shared_ptr<Server> aServer)
    : m_stream(std::move(aSocket))
    , m_server(std::move(aServer))
    , m_timer(m_server->strand)
  {
  }

  void start()
  {
    // Simulates the time that a server needs to set up a new connection.
    m_timer.expires_after(m_server->connectCost);
    m_timer.async_wait([self = shared_from_this()](beast::error_code aError) {
      if (!aError) {
        self->readRequest();
      }
    });
  }

  void close()
  {
    beast::error_code ignored;
    m_timer.cancel();
    m_stream.socket().close(ignored);
  }

  bool silent = false; ///< send no more replies on this connection

private:
  void readRequest()
  {
    m_request = {};
    http::async_read(
      m_stream,
      m_buffer,
      m_request,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->closeAndRemove();
        } else if (!self->silent) {
          self->handleRequest();
        }
      });
  }

  void closeAndRemove()
  {
    close();
    if (m_server->sessions.erase(shared_from_this()) != 0) {
      --m_server->stats.open;
    }
  }

  void handleRequest();
  void startExecution();
  void finishExecution(std::uint64_t aIncarnation);
  void reply(Response aResponse);
  void watchForDisconnect();
  /// Counts a refused request.
  /// @returns a response with the headers Not-Run and aHeader
  Response refuse(http::status aStatus, const char* aHeader) const;

  beast::tcp_stream m_stream;
  std::shared_ptr<Server> m_server;
  asio::steady_timer m_timer;
  beast::flat_buffer m_buffer;
  Request m_request;
  std::shared_ptr<Response> m_response;
  bool m_executing = false;
  std::uint64_t m_executionNumber = 0; ///< of the latest request that started
};

void
Server::acceptNext()
{
  m_acceptor.async_accept(
    strand,
    [self = shared_from_this()](beast::error_code aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError && !self->down) {
        Stats& seen = self->stats;
        ++seen.connections;
        ++seen.open;
        seen.peakOpen = std::max(seen.peakOpen, seen.open);
        if (seen.open > self->connectionLimit) {
          ++seen.connectionViolations;
        }
        auto session = std::make_shared<Session>(std::move(aSocket), self);
        self->sessions.insert(session);
        session->start();
      }
      self->acceptNext();
    });
}

void
Server::crash()
{
  ++stats.crashes;
  ++incarnation;
  down = true;
  warm = false;
  servedSinceStart = 0;
  stats.running = 0;
  stats.open = 0;
  const auto closing = std::move(sessions);
  sessions.clear();
  for (const auto& session : closing) {
    session->close();
  }
  beast::error_code ignored;
  m_acceptor.close(ignored);
  m_restartTimer.expires_after(options.restartDelay);
  m_restartTimer.async_wait(
    [self = shared_from_this()](beast::error_code aError) {
      if (!aError) {
        self->down = false;
        self->start();
      }
    });
}

milliseconds
Server::drawServiceTime()
{
  std::lognormal_distribution<double> time(
    std::log(options.serviceTimeMedianMs), options.serviceTimeSigma);
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  double value = time(random) * slowFactor;
  if (uniform(random) < options.stragglerShare) {
    value *= options.stragglerFactor;
  }
  if (!warm) {
    value *= options.coldFactor;
  }
  return milliseconds(static_cast<std::int64_t>(value));
}

void
Server::applySetting(const std::string& aKey, double aValue)
{
  const bool on = aValue != 0.0;
  if (aKey == "drain") {
    draining = on;
  } else if (aKey == "crash") {
    crash();
  } else if (aKey == "cold") {
    warm = !on;
    servedSinceStart = 0;
  } else if (aKey == "lying") {
    reportsHealthy = on;
  } else if (aKey == "slow") {
    slowFactor = aValue;
  } else if (aKey == "snapshot") {
    snapshot = static_cast<std::uint64_t>(aValue);
  } else if (aKey == "silent") {
    for (const auto& session : sessions) {
      session->silent = on;
    }
  }
}

std::string
Server::statsJson() const
{
  std::uint64_t repeated = 0;
  for (const auto& entry : executions) {
    repeated += entry.second > 1 ? entry.second - 1 : 0;
  }
  std::ostringstream out;
  out << "{\"server\":\"" << name << "\",\"service\":\"" << service
      << "\",\"slots\":" << slots << ",\"connection_limit\":" << connectionLimit
      << ",\"warm\":" << (warm ? "true" : "false")
      << ",\"requests\":" << stats.requests
      << ",\"completed\":" << stats.completed << ",\"shed\":" << stats.shed
      << ",\"cancelled\":" << stats.cancelled
      << ",\"expired\":" << stats.expired
      << ",\"connections\":" << stats.connections << ",\"open\":" << stats.open
      << ",\"running\":" << stats.running
      << ",\"peak_running\":" << stats.peakRunning
      << ",\"peak_open\":" << stats.peakOpen
      << ",\"slot_violations\":" << stats.slotViolations
      << ",\"connection_violations\":" << stats.connectionViolations
      << ",\"cold_violations\":" << stats.coldViolations
      << ",\"crashes\":" << stats.crashes
      << ",\"late_starts\":" << stats.lateStarts << ",\"repeated\":" << repeated
      << "}";
  return out.str();
}

Response
Server::healthOrLoad(const Request& aRequest)
{
  Response response(http::status::ok, aRequest.version());
  const bool health = aRequest.target() == "/v1/health";
  std::ostringstream body;
  if (health) {
    const bool reportsDraining = draining && !reportsHealthy;
    body << "{\"state\":\""
         << (reportsDraining ? "draining"
                             : (warm || reportsHealthy ? "ok" : "cold"))
         << "\",\"incarnation\":" << incarnation << "}";
  } else {
    body << "{\"running\":" << (reportsHealthy ? 0 : stats.running)
         << ",\"slots\":" << slots << "}";
  }
  response.body() = body.str();
  return response;
}

void
Session::handleRequest()
{
  if (m_request.target() == "/v1/health" || m_request.target() == "/v1/load") {
    reply(m_server->healthOrLoad(m_request));
    return;
  }
  Server& server = *m_server;
  Stats& stats = server.stats;
  ++stats.requests;
  if (server.draining) {
    ++stats.lateStarts;
    Response response = refuse(http::status::service_unavailable, "Draining");
    reply(std::move(response));
    return;
  }
  const auto requestedSnapshot = m_request["Snapshot"];
  if (!requestedSnapshot.empty() &&
      requestedSnapshot != std::to_string(server.snapshot)) {
    reply(refuse(http::status::conflict, "Not-Run"));
    return;
  }
  const auto deadline = m_request["Deadline-At"];
  const auto now = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  if (!deadline.empty() && std::stoll(std::string(deadline)) < now.count()) {
    ++stats.expired;
    reply(refuse(http::status::service_unavailable, "Not-Run"));
    return;
  }
  startExecution();
}

void
Session::startExecution()
{
  Server& server = *m_server;
  Stats& stats = server.stats;
  ++stats.running;
  m_executing = true;
  ++m_executionNumber;
  stats.peakRunning = std::max(stats.peakRunning, stats.running);
  if (stats.running > server.slots) {
    ++stats.slotViolations;
  }
  if (!server.warm && stats.running > server.coldSlots) {
    ++stats.coldViolations;
    server.crash();
    return;
  }
  ++server.executions[std::string(m_request["Request-Id"]) + "/" +
                      std::string(m_request["Attempt"])];
  if (m_request.body().rfind(kCountedPrefix, 0) == 0) {
    gExecutionCounts.add(m_request.body());
  }
  if (m_request.body().rfind(kCrashPrefix, 0) == 0) {
    server.crash();
    return;
  }
  const std::uint64_t incarnation = server.incarnation;
  m_timer.expires_after(server.drawServiceTime());
  m_timer.async_wait(
    [self = shared_from_this(), incarnation](beast::error_code aError) {
      if (!aError) {
        self->finishExecution(incarnation);
      }
    });
  watchForDisconnect();
}

/// Cancels the request that runs when its connection is closed.
void
Session::watchForDisconnect()
{
  m_stream.socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(),
     executionNumber = m_executionNumber](beast::error_code aError) {
      // A wait that an earlier request started must not use the socket, because
      // the next request is being read from it by now.
      if (aError || !self->m_executing ||
          executionNumber != self->m_executionNumber) {
        return;
      }
      beast::error_code error;
      char byte = 0;
      self->m_stream.socket().non_blocking(true, error);
      const auto size = self->m_stream.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, error);
      if (size == 0 && error != asio::error::would_block) {
        self->m_executing = false;
        --self->m_server->stats.running;
        ++self->m_server->stats.cancelled;
        self->closeAndRemove();
      }
    });
}

void
Session::finishExecution(std::uint64_t aIncarnation)
{
  Server& server = *m_server;
  if (!m_executing || aIncarnation != server.incarnation) {
    return;
  }
  m_executing = false;
  beast::error_code ignored;
  m_stream.socket().cancel(ignored);
  --server.stats.running;
  ++server.stats.completed;
  if (!server.warm && ++server.servedSinceStart >= server.options.warmAfter) {
    server.warm = true;
  }
  if (silent) {
    return;
  }
  Response response(http::status::ok, m_request.version());
  response.set("Request-Id", m_request["Request-Id"]);
  response.set("Attempt", m_request["Attempt"]);
  const std::string& body = m_request.body();
  response.body() = server.service + "#" + std::to_string(server.snapshot) +
                    "#" + std::to_string(XXH3_64bits(body.data(), body.size()));
  reply(std::move(response));
}

Response
Session::refuse(http::status aStatus, const char* aHeader) const
{
  ++m_server->stats.shed;
  Response response(aStatus, m_request.version());
  response.set("Not-Run", "1");
  response.set(aHeader, "1");
  return response;
}

void
Session::reply(Response aResponse)
{
  aResponse.set("Incarnation", std::to_string(m_server->incarnation));
  aResponse.set("Snapshot", std::to_string(m_server->snapshot));
  aResponse.keep_alive(m_request.keep_alive());
  aResponse.prepare_payload();
  m_response = std::make_shared<Response>(std::move(aResponse));
  http::async_write(
    m_stream,
    *m_response,
    [self = shared_from_this()](beast::error_code aError, std::size_t) {
      if (aError || !self->m_response->keep_alive()) {
        self->closeAndRemove();
        return;
      }
      self->readRequest();
    });
}

/// Serves GET /stats, GET /runs and POST /set?server=NAME&KEY=VALUE, where NAME
/// is a service, an application, a server's address or * for all servers.
class ControlServer : public std::enable_shared_from_this<ControlServer>
{
public:
  ControlServer(asio::io_context& aContext,
                const tcp::endpoint& aEndpoint,
                std::vector<std::shared_ptr<Server>> aServers)
    : m_context(aContext)
    , m_acceptor(aContext, aEndpoint)
    , m_servers(std::move(aServers))
  {
  }

  void acceptNext()
  {
    m_acceptor.async_accept([self = shared_from_this()](
                              beast::error_code aError, tcp::socket aSocket) {
      if (!aError) {
        self->serve(std::make_shared<beast::tcp_stream>(std::move(aSocket)));
      }
      self->acceptNext();
    });
  }

private:
  void serve(const std::shared_ptr<beast::tcp_stream>& aStream)
  {
    auto buffer = std::make_shared<beast::flat_buffer>();
    auto request = std::make_shared<Request>();
    http::async_read(
      *aStream,
      *buffer,
      *request,
      [self = shared_from_this(), aStream, buffer, request](
        beast::error_code aError, std::size_t) {
        if (aError) {
          return;
        }
        auto response =
          std::make_shared<Response>(http::status::ok, request->version());
        response->body() = self->handleTarget(std::string(request->target()));
        response->keep_alive(false);
        response->prepare_payload();
        http::async_write(*aStream,
                          *response,
                          [aStream, response](beast::error_code, std::size_t) {
                            beast::error_code ignored;
                            aStream->socket().shutdown(
                              tcp::socket::shutdown_both, ignored);
                          });
      });
  }

  std::string handleTarget(const std::string& aTarget)
  {
    if (aTarget.rfind("/set?", 0) == 0) {
      applySettings(aTarget.substr(5));
      return "{}\n";
    }
    if (aTarget == "/runs") {
      return gExecutionCounts.json();
    }
    std::string body = "[";
    for (const auto& server : m_servers) {
      std::promise<std::string> promise;
      auto future = promise.get_future();
      asio::post(server->strand,
                 [&] { promise.set_value(server->statsJson()); });
      body += (body.size() > 1 ? ",\n" : "") + future.get();
    }
    return body + "]\n";
  }

  void applySettings(const std::string& aQuery)
  {
    std::string target = "*";
    std::vector<std::pair<std::string, double>> values;
    std::istringstream in(aQuery);
    for (std::string part; std::getline(in, part, '&');) {
      const auto equals = part.find('=');
      if (equals == std::string::npos) {
        continue;
      }
      const std::string value = part.substr(equals + 1);
      if (part.substr(0, equals) == "server") {
        target = value;
      } else {
        values.emplace_back(part.substr(0, equals), std::atof(value.c_str()));
      }
    }
    for (const auto& server : m_servers) {
      const std::string application =
        server->service.substr(0, server->service.find('/'));
      if (target != "*" && target != server->name &&
          target != server->service && target != application) {
        continue;
      }
      for (const auto& [key, value] : values) {
        asio::post(server->strand, [server, key = key, value = value] {
          server->applySetting(key, value);
        });
      }
    }
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<Server>> m_servers;
};

int
runServers(const po::variables_map& aValues)
{
  std::ifstream in(aValues["rules"].as<std::string>());
  std::ostringstream text;
  text << in.rdbuf();
  const auto parsed = toucanridge::parseRules(text.str());
  if (!parsed.rules) {
    std::cerr << "backend_standin: the rules file has faults\n";
    return 1;
  }
  static Options sOptions;
  sOptions.serviceTimeMedianMs = aValues["service-ms"].as<double>();
  sOptions.stragglerShare = aValues["stragglers"].as<double>();
  sOptions.warmAfter = aValues["warm-after"].as<std::uint32_t>();
  sOptions.startCold = !aValues["warm"].as<bool>();
  const auto threads = aValues["threads"].as<std::uint32_t>();
  const std::string onlyApplication = aValues["application"].as<std::string>();

  // ControlServer has a context and a thread of its own, because it blocks
  // until the servers' threads have run the tasks that it posts to them.
  asio::io_context context;
  asio::io_context controlContext;
  std::vector<std::shared_ptr<Server>> servers;
  std::uint64_t seed = aValues["seed"].as<std::uint64_t>() << 20U;
  for (const auto& [application, snapshot] : parsed.rules->snapshots) {
    if (!onlyApplication.empty() && application != onlyApplication) {
      continue;
    }
    for (const std::string& name : snapshot.services) {
      const toucanridge::ServiceRule* service = parsed.rules->findService(name);
      for (const auto& rule : service->servers) {
        seed += 1024;
        servers.push_back(std::make_shared<Server>(
          context, sOptions, *service, rule, snapshot.id, seed));
        servers.back()->start();
      }
    }
  }
  const std::string control = aValues["control"].as<std::string>();
  const auto colon = control.rfind(':');
  const tcp::endpoint endpoint(
    asio::ip::make_address(control.substr(0, colon)),
    static_cast<std::uint16_t>(std::stoi(control.substr(colon + 1))));
  std::make_shared<ControlServer>(controlContext, endpoint, servers)
    ->acceptNext();
  std::vector<std::thread> threadPool;
  for (std::uint32_t i = 0; i < threads; ++i) {
    threadPool.emplace_back([&context] { context.run(); });
  }
  asio::signal_set signals(controlContext, SIGINT, SIGTERM);
  signals.async_wait([&](beast::error_code, int) {
    context.stop();
    controlContext.stop();
  });
  controlContext.run();
  for (std::thread& thread : threadPool) {
    thread.join();
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  po::options_description options("backend_standin");
  options.add_options()("help", "print this help")(
    "rules", po::value<std::string>()->required(), "rules file to serve")(
    "application",
    po::value<std::string>()->default_value(""),
    "serve this application only")("control",
                                   po::value<std::string>()->required(),
                                   "address:port of the control endpoint")(
    "service-ms",
    po::value<double>()->default_value(6.0),
    "median service time in ms")(
    "stragglers",
    po::value<double>()->default_value(0.0),
    "share of requests that take ten times longer")(
    "warm-after",
    po::value<std::uint32_t>()->default_value(50),
    "requests until a cold server is warm")(
    "warm", po::bool_switch(), "start warm")(
    "threads", po::value<std::uint32_t>()->default_value(2), "threads")(
    "seed", po::value<std::uint64_t>()->default_value(1), "random seed");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aValues, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    return runServers(values);
  } catch (const std::exception& error) {
    std::cerr << "backend_standin: " << error.what() << '\n';
    return 2;
  }
}
