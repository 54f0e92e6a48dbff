#ifndef TOUCANRIDGE_LOAD_MODEL_H
#define TOUCANRIDGE_LOAD_MODEL_H

/// A model of one tier under load, in virtual time: callers, hosts and the
/// backend servers of a route's shards. It drives the project's own decisions
/// (which server, when to hedge, when to answer, which queries to admit). It
/// has no network and no membership.

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "admission_p.h"
#include "answer_timing_p.h"
#include "server_health_p.h"
#include "shared_budget_p.h"

namespace toucanridge::load_model {

/// A span of time in which some servers are slow or the callers more.
struct Phase
{
  Duration from{ 0 };
  Duration until{ 0 };
  /// Shards of which one replica takes slowFactor times as long.
  std::size_t slowShards = 0;
  double slowFactor = 1.0;
  double loadFactor = 1.0; ///< of the callers' usual rate
};

struct Load
{
  std::size_t hosts = 4;
  std::size_t replicas = 2;    ///< each in a data centre of its own
  std::size_t slots = 3;       ///< of each server
  std::size_t queueLimit = 18; ///< parts that wait at a server
  double queriesPerSecond = 67.0;
  std::chrono::milliseconds work{ 28 }; ///< mean of a part's work
  double workSpread = 0.35;             ///< of its logarithm
  std::chrono::milliseconds pause{ 250 };
  std::chrono::seconds pauseEvery{ 6 };
  Duration networkDelay = std::chrono::milliseconds(1); ///< host to server
  std::chrono::milliseconds deadline{ 1200 };           ///< of the callers
  std::chrono::milliseconds retryAfter{ 40 };           ///< of refusals
  std::chrono::seconds length{ 20 };
  Route route;
  std::vector<Phase> phases;
};

/// The decisions that a trial may replace.
struct Policy
{
  std::function<
    AnswerStep(const PartCounts&, const QuerySchedule&, TimePoint aNow)>
    answer = decideAnswer;
  /// Whether a query that lacks parts at its target counts as overload.
  std::function<bool(Duration aMedian, Duration aTargetLatency)> isOverloaded =
    isOverloadedMedian;
  /// Whether a server with an overdue part counts as stalled.
  bool reportOverdue = true;
};

/// What the callers got.
struct Outcome
{
  std::size_t asked = 0; ///< callers' requests, without their retries
  std::size_t inTarget = 0;
  std::size_t late = 0;
  std::size_t failed = 0;  ///< no answer by the deadline
  std::size_t refused = 0; ///< also at the retry
  std::size_t first = 0;   ///< first attempts at servers
  std::size_t extra = 0;   ///< hedges
  std::vector<double> latenciesMs;

  double credit = 0.0; ///< sum of the squared coverage of answers in target

  /// @returns credit of a request
  double meanCredit() const { return credit / static_cast<double>(asked); }
  /// @param[in] aShare of the answers, 0 to 1
  /// @returns their longest latency in milliseconds
  double percentileMs(double aShare) const
  {
    std::vector<double> sorted(latenciesMs);
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? 0.0
                          : sorted[static_cast<std::size_t>(
                              aShare * static_cast<double>(sorted.size() - 1))];
  }
};

class Model
{
public:
  Model(Load aLoad, Policy aPolicy, std::uint64_t aSeed)
    : m_load(std::move(aLoad))
    , m_policy(std::move(aPolicy))
    , m_random(aSeed)
  {
    const std::size_t shards = m_load.route.shards.size();
    m_servers.resize(shards * m_load.replicas);
    std::uniform_real_distribution<double> uniform;
    for (Server& server : m_servers) {
      server.pauseOffset = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_load.pauseEvery) * uniform(m_random));
    }
    for (std::size_t i = 0; i < m_load.hosts; ++i) {
      m_hosts.push_back(std::make_unique<Host>(m_clock, m_servers.size()));
      for (std::size_t shard = 0; shard < shards; ++shard) {
        m_hosts.back()->budgets.emplace_back(
          m_clock, BudgetLimit{ 0.2, 58.0 }, m_clock.now());
        m_hosts.back()->budgets.back().setSharingHosts(m_load.hosts);
      }
    }
  }

  Outcome run()
  {
    m_start = m_clock.now();
    scheduleArrival();
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.advance(std::max(Duration(0), event.at - m_clock.now()));
      event.run();
    }
    return m_outcome;
  }

private:
  struct Query;
  using QueryPtr = std::shared_ptr<Query>;

  struct Attempt
  {
    std::size_t server = 0;
    TimePoint sentAt;
    bool cancelled = false;
    bool running = false; ///< at the server
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  struct Part
  {
    std::vector<AttemptPtr> attempts;
    bool received = false;
    Duration latency{ 0 };
    std::size_t winner = 0; ///< server
  };

  struct Query
  {
    std::size_t host = 0;
    TimePoint askedAt; ///< of the caller's first try
    bool isRetry = false;
    double work = 0.0; ///< seconds at an ordinary server
    QuerySchedule schedule;
    std::vector<Part> parts;
    std::vector<Duration> latencies; ///< of the parts received, sorted
    bool medianKnown = false;
    bool targetMissed = false;
    bool ended = false;
  };

  struct Waiting
  {
    QueryPtr query;
    std::size_t shard = 0;
    AttemptPtr attempt;
  };

  struct Server
  {
    std::list<Waiting> queue;
    std::size_t running = 0;
    Duration pauseOffset{ 0 };
  };

  struct Host
  {
    Host(const ClockI& aClock, std::size_t aServers)
      : health(aServers)
      , running(aServers)
      , admission(aClock)
      , timing(aClock)
    {
    }
    std::vector<ServerHealth> health;
    std::vector<std::uint32_t> running;
    std::vector<SharedBudget> budgets; ///< by shard
    Admission admission;
    RouteTiming timing;
  };

  struct Event
  {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.order) < std::tie(at, order);
    }
  };

  void at(TimePoint aTime, std::function<void()> aRun)
  {
    m_events.push({ aTime, m_nextOrder++, std::move(aRun) });
  }

  double uniform()
  {
    return std::uniform_real_distribution<double>()(m_random);
  }

  template<class Use>
  void forPhases(Use aUse) const
  {
    const Duration now = m_clock.now() - m_start;
    for (const Phase& phase : m_load.phases) {
      if (now >= phase.from && now < phase.until) {
        aUse(phase);
      }
    }
  }

  void scheduleArrival()
  {
    double rate = m_load.queriesPerSecond;
    forPhases([&rate](const Phase& aPhase) { rate *= aPhase.loadFactor; });
    const double gap = std::exponential_distribution<double>(rate)(m_random);
    const TimePoint next =
      m_clock.now() +
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
    if (next - m_start >= m_load.length) {
      return;
    }
    at(next, [this] {
      ++m_outcome.asked;
      arrive(m_clock.now(), false);
      scheduleArrival();
    });
  }

  void arrive(TimePoint aAskedAt, bool aIsRetry)
  {
    const TimePoint now = m_clock.now();
    auto query = std::make_shared<Query>();
    query->host =
      static_cast<std::size_t>(uniform() * static_cast<double>(m_load.hosts));
    query->askedAt = aAskedAt;
    query->isRetry = aIsRetry;
    Host& host = *m_hosts[query->host];
    query->schedule = host.timing.schedule(
      m_load.route, now, m_load.deadline - (now - aAskedAt), false);
    if (!host.admission.admits(uniform())) {
      refuse(*query);
      return;
    }
    query->work = std::chrono::duration<double>(m_load.work).count() *
                  std::lognormal_distribution<double>(
                    -m_load.workSpread * m_load.workSpread / 2,
                    m_load.workSpread)(m_random);
    query->parts.resize(m_load.route.shards.size());
    for (std::size_t shard = 0; shard < query->parts.size(); ++shard) {
      host.budgets[shard].onRequest();
      ++m_outcome.first;
      send(query, shard);
    }
    scheduleHedges(query);
    at(query->schedule.targetAt, [this, query] { advance(query); });
    at(query->schedule.giveUpAt, [this, query] { advance(query); });
  }

  void refuse(const Query& aQuery)
  {
    if (aQuery.isRetry) {
      ++m_outcome.refused;
      return;
    }
    at(m_clock.now() + m_load.retryAfter,
       [this, askedAt = aQuery.askedAt] { arrive(askedAt, true); });
  }

  void send(const QueryPtr& aQuery, std::size_t aShard)
  {
    Host& host = *m_hosts[aQuery->host];
    std::vector<ServerOption> options;
    for (std::size_t replica = 0; replica < m_load.replicas; ++replica) {
      const std::size_t server = aShard * m_load.replicas + replica;
      const auto& attempts = aQuery->parts[aShard].attempts;
      if (std::none_of(attempts.begin(), attempts.end(), [&](const auto& aTry) {
            return aTry->server == server;
          })) {
        ServerOption option;
        option.index = server;
        option.slowness = host.health[server].slowness(m_clock.now());
        option.failures = host.health[server].failures(m_clock.now());
        option.sameDataCentre = replica == aQuery->host % m_load.replicas;
        option.running = host.running[server];
        option.slots = static_cast<std::uint32_t>(m_load.slots);
        options.push_back(option);
      }
    }
    const std::size_t best = chooseServer(options, uniform());
    if (best == options.size()) {
      return;
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->server = options[best].index;
    attempt->sentAt = m_clock.now();
    ++host.running[attempt->server];
    aQuery->parts[aShard].attempts.push_back(attempt);
    at(m_clock.now() + m_load.networkDelay,
       [this, waiting = Waiting{ aQuery, aShard, attempt }] {
         Server& server = m_servers[waiting.attempt->server];
         if (server.queue.size() < m_load.queueLimit) {
           server.queue.push_back(waiting);
           startWork(waiting.attempt->server);
         }
       });
  }

  /// @returns when a server that is paused now works again
  TimePoint pausedUntil(const Server& aServer) const
  {
    const Duration every = m_load.pauseEvery;
    const Duration phase =
      (m_clock.now() - m_start + aServer.pauseOffset) % every;
    return phase < m_load.pause ? m_clock.now() + (m_load.pause - phase)
                                : m_clock.now();
  }

  void startWork(std::size_t aServer)
  {
    Server& server = m_servers[aServer];
    while (server.running < m_load.slots && !server.queue.empty()) {
      const Waiting next = server.queue.front();
      server.queue.pop_front();
      if (next.attempt->cancelled) {
        continue; // the host has closed the connection
      }
      double seconds = next.query->work;
      forPhases([&](const Phase& aPhase) {
        const bool slow = aServer % m_load.replicas == 0 &&
                          aServer / m_load.replicas < aPhase.slowShards;
        seconds *= slow ? aPhase.slowFactor : 1.0;
      });
      ++server.running;
      next.attempt->running = true;
      const TimePoint done =
        pausedUntil(server) + std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(seconds));
      at(done, [this, next] {
        if (next.attempt->running) {
          next.attempt->running = false;
          --m_servers[next.attempt->server].running;
          startWork(next.attempt->server);
          at(m_clock.now() + m_load.networkDelay,
             [this, next] { receive(next); });
        }
      });
    }
  }

  void receive(const Waiting& aWaiting)
  {
    Query& query = *aWaiting.query;
    if (query.ended || aWaiting.attempt->cancelled) {
      return;
    }
    Part& part = query.parts[aWaiting.shard];
    part.received = true;
    part.latency = m_clock.now() - aWaiting.attempt->sentAt;
    part.winner = aWaiting.attempt->server;
    query.latencies.insert(std::upper_bound(query.latencies.begin(),
                                            query.latencies.end(),
                                            part.latency),
                           part.latency);
    --m_hosts[query.host]->running[part.winner];
    m_hosts[query.host]->health[part.winner].onResponse();
    for (const AttemptPtr& attempt : part.attempts) {
      if (attempt != aWaiting.attempt) {
        cancel(query, *attempt);
      }
    }
    part.attempts.clear();
    advance(aWaiting.query);
    if (!query.ended && !query.medianKnown && median(query) > Duration(0)) {
      query.medianKnown = true;
      scheduleHedges(aWaiting.query);
    }
  }

  void cancel(Query& aQuery, Attempt& aAttempt)
  {
    Host& host = *m_hosts[aQuery.host];
    aAttempt.cancelled = true;
    --host.running[aAttempt.server];
    const Duration typical = median(aQuery);
    if (typical > Duration(0)) {
      host.health[aAttempt.server].onCancelled(
        m_clock.now(),
        static_cast<double>((m_clock.now() - aAttempt.sentAt).count()) /
          static_cast<double>(typical.count()));
    }
    if (aAttempt.running) {
      aAttempt.running = false;
      --m_servers[aAttempt.server].running;
      startWork(aAttempt.server);
    }
  }

  static Duration median(const Query& aQuery)
  {
    return aQuery.latencies.size() * 4 < aQuery.parts.size()
             ? Duration(0)
             : aQuery.latencies[aQuery.latencies.size() / 2];
  }

  void scheduleHedges(const QueryPtr& aQuery)
  {
    const Duration delay = partHedgeDelay(m_load.route, median(*aQuery));
    for (std::size_t shard = 0; shard < aQuery->parts.size(); ++shard) {
      Part& part = aQuery->parts[shard];
      if (!part.received && part.attempts.size() == 1) {
        at(part.attempts.front()->sentAt + delay,
           [this, aQuery, shard] { hedge(aQuery, shard); });
      }
    }
  }

  void hedge(const QueryPtr& aQuery, std::size_t aShard)
  {
    Part& part = aQuery->parts[aShard];
    if (aQuery->ended || part.received || part.attempts.size() != 1) {
      return;
    }
    const TimePoint due = part.attempts.front()->sentAt +
                          partHedgeDelay(m_load.route, median(*aQuery));
    if (m_clock.now() < due) { // the median has grown
      at(due, [this, aQuery, aShard] { hedge(aQuery, aShard); });
      return;
    }
    Host& host = *m_hosts[aQuery->host];
    if (m_policy.reportOverdue) {
      host.health[part.attempts.front()->server].onOverdue(m_clock.now());
    }
    if (!host.budgets[aShard].trySpend()) {
      return;
    }
    ++m_outcome.extra;
    send(aQuery, aShard);
  }

  void advance(const QueryPtr& aQuery)
  {
    if (aQuery->ended) {
      return;
    }
    const TimePoint now = m_clock.now();
    const PartCounts counts{ aQuery->latencies.size(),
                             partsNeeded(m_load.route),
                             aQuery->parts.size(),
                             true };
    const AnswerStep step = m_policy.answer(counts, aQuery->schedule, now);
    if (step == AnswerStep::Wait) {
      if (now >= aQuery->schedule.targetAt && !aQuery->targetMissed) {
        aQuery->targetMissed = true;
        m_hosts[aQuery->host]->admission.onQuery(
          m_policy.isOverloaded(median(*aQuery), m_load.route.targetLatency));
      }
      return;
    }
    finish(aQuery, step == AnswerStep::Answer);
  }

  void finish(const QueryPtr& aQuery, bool aAnswered)
  {
    Query& query = *aQuery;
    query.ended = true;
    Host& host = *m_hosts[query.host];
    if (!query.targetMissed) {
      host.admission.onQuery(false);
    }
    const Duration typical = median(query);
    for (Part& part : query.parts) {
      if (part.received && typical > Duration(0)) {
        host.health[part.winner].onAnswer(
          m_clock.now(),
          static_cast<double>(part.latency.count()) /
            static_cast<double>(typical.count()));
      }
      for (const AttemptPtr& attempt : part.attempts) {
        cancel(query, *attempt);
      }
      part.attempts.clear();
    }
    if (!aAnswered) {
      ++m_outcome.failed;
      return;
    }
    const Duration latency = m_clock.now() - query.askedAt;
    m_outcome.latenciesMs.push_back(
      std::chrono::duration<double, std::milli>(latency).count());
    if (latency > Duration(m_load.route.targetLatency)) {
      ++m_outcome.late;
      return;
    }
    const double coverage = static_cast<double>(query.latencies.size()) /
                            static_cast<double>(query.parts.size());
    ++m_outcome.inTarget;
    m_outcome.credit += coverage * coverage;
  }

  const Load m_load;
  const Policy m_policy;
  std::mt19937_64 m_random;
  ManualClock m_clock;
  TimePoint m_start;
  std::vector<Server> m_servers; ///< of shard i: from i * replicas
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::priority_queue<Event> m_events;
  std::uint64_t m_nextOrder = 0;
  Outcome m_outcome;
};

} // namespace toucanridge::load_model

#endif // TOUCANRIDGE_LOAD_MODEL_H
