#ifndef TOUCANRIDGE_QUERY_ENGINE_P_H
#define TOUCANRIDGE_QUERY_ENGINE_P_H

/// Runs queries by the rules file on a Node. Queries on published routes
/// (EntryNode) are run by GatherQuery and SingleQuery.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include "budget_p.h"
#include "clock_p.h"
#include "latency_p.h"
#include "quarantine_p.h"
#include "slot_chooser_p.h"
#include "toucanridge/toucanridge.h"
#include "view_p.h"
#include "wire_p.h"

namespace toucanridge {

/// Sends batches of sub-requests to holders, the hosts that hold a slot of the
/// server. Replies are passed to QueryEngine::onReply.
class SubRequestSenderI
{
public:
  virtual ~SubRequestSenderI() = default;
  virtual void send(const Host& aHost, SubBatch aBatch) = 0;
  virtual void cancel(const Host& aHost, const Cancel& aCancel) = 0;
};

/// Counters of the engine since start.
struct EngineCounters
{
  std::atomic<std::uint64_t> queries{ 0 };
  std::atomic<std::uint64_t> whole{ 0 };
  std::atomic<std::uint64_t> partial{ 0 };
  std::atomic<std::uint64_t> notRun{ 0 };
  std::atomic<std::uint64_t> unknown{ 0 };
  std::atomic<std::uint64_t> firstAttempts{ 0 };
  std::atomic<std::uint64_t> retries{ 0 };
  std::atomic<std::uint64_t> freeRetries{ 0 }; ///< not charged to the budget
  /// The budget was used up; not counted when a retry is put off again after a
  /// backoff.
  std::atomic<std::uint64_t> retriesDenied{ 0 };
  std::atomic<std::uint64_t> hedges{ 0 };
  std::atomic<std::uint64_t> hedgesWon{ 0 }; ///< the hedge's reply was used
  std::atomic<std::uint64_t> hedgesDenied{ 0 };
  std::atomic<std::uint64_t> earlyAnswers{ 0 };
  std::atomic<std::uint64_t> restarts{ 0 };       ///< on a new snapshot
  std::atomic<std::uint64_t> droppedReplies{ 0 }; ///< no attempt matched
};

/// Learnt latencies and the retry and hedge budgets of one query class.
/// Thread-safe.
class ClassState
{
public:
  explicit ClassState(const ClockI& aClock);

  /// Adds tokens for first attempts to the budgets, and applies a new hedge
  /// percentile.
  /// @param[in] aCount first attempts sent
  void onFirstAttempts(std::size_t aCount,
                       const RetryRule& aRetry,
                       const HedgeRule& aHedge);
  /// @returns false when the retry budget is used up
  bool takeRetryToken();
  /// @returns false when the hedge budget is used up
  bool takeHedgeToken();

  /// Records the latency of a first attempt.
  void recordAttemptLatency(Duration aLatency);
  /// Records the time from the first attempt at a part to its good reply, or to
  /// the end of a query that has none.
  void recordPartLatency(Duration aLatency);

  /// @returns time after which an attempt is hedged; nothing when hedges are
  /// off or the percentile isn't known yet
  std::optional<Duration> hedgeDelay(const HedgeRule& aHedge) const;
  /// @returns p95 latency of a part; nothing when it isn't known yet
  std::optional<Duration> tailLatency() const;

private:
  const ClockI& m_clock;
  mutable std::mutex m_mutex; ///< guards what follows
  TokenBudget m_retryBudget;
  TokenBudget m_hedgeBudget;
  LatencyTracker m_attemptLatency;
  LatencyTracker m_partLatency;
};

class Query;

/// Holds the running queries and passes them replies and lost links.
/// Thread-safe.
class QueryEngine
{
public:
  using DoneCallback = std::function<void(QueryAnswer)>;

  /// @param[in] aSelf name of this host; part of every request id
  /// @param[in] aIncarnation of this process; part of every request id
  QueryEngine(boost::asio::io_context& aContext,
              const ClockI& aClock,
              const ViewHolder& aViews,
              SubRequestSenderI& aSender,
              SlotChooser& aChooser,
              std::string aSelf,
              std::uint64_t aIncarnation);
  ~QueryEngine();

  /// Runs a query.
  /// @param[in] aDone called once, at the latest at the query's deadline
  void submit(QueryRequest aRequest, DoneCallback aDone);

  /// Handles a holder's reply; one that matches no running attempt is dropped
  /// and counted.
  void onReply(const std::string& aHost, const SubReply& aReply);

  /// Fails the running attempts at a host whose link is lost.
  /// @param[in] aUnsent queries whose batches were never written
  void onLinkLost(const std::string& aHost,
                  const std::vector<std::uint64_t>& aUnsent);

  /// Sets the quarantine that queries consult; call it before the first query.
  void setQuarantine(Quarantine* aQuarantine) { m_quarantine = aQuarantine; }
  /// Runs the due work of every query. In production each query's timer does
  /// this; tests with a virtual clock call it instead.
  void runDue();

  /// Refuses new queries from now on.
  void drain() { m_draining = true; }

  /// @returns number of running queries
  std::size_t running() const;

  const EngineCounters& counters() const { return m_counters; }

private:
  friend class Query;

  /// @returns the state of the class, created on first use
  std::shared_ptr<ClassState> classState(const std::string& aClass);
  std::shared_ptr<Query> findQuery(std::uint64_t aId) const;
  std::vector<std::shared_ptr<Query>> allQueries() const;
  /// Counts the outcome of a query and removes it from the running ones.
  void onQueryEnded(std::uint64_t aId, const QueryAnswer& aAnswer);

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  const ViewHolder& m_views;
  SubRequestSenderI& m_sender;
  SlotChooser& m_chooser;
  std::string m_self;
  std::uint64_t m_incarnation;
  Quarantine* m_quarantine = nullptr;
  std::atomic<std::uint64_t> m_nextId{ 1 };
  std::atomic<bool> m_draining{ false };
  EngineCounters m_counters;
  mutable std::mutex m_mutex; ///< guards m_queries and m_classes
  std::map<std::string, std::shared_ptr<ClassState>> m_classes;
  std::map<std::uint64_t, std::shared_ptr<Query>> m_queries;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_QUERY_ENGINE_P_H
