#ifndef TOUCANRIDGE_QUERY_ENGINE_P_H
#define TOUCANRIDGE_QUERY_ENGINE_P_H

/// Runs queries on the entry node: plans, fans out, retries, merges.

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

/// Sends batches to holders. Replies come through QueryEngine::onReply.
class SubSenderI
{
public:
  virtual ~SubSenderI() = default;
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
  std::atomic<std::uint64_t> freeRetries{ 0 };   ///< no server had received it
  std::atomic<std::uint64_t> retriesDenied{ 0 }; ///< budget used up
  std::atomic<std::uint64_t> hedges{ 0 };
  std::atomic<std::uint64_t> hedgesWon{ 0 };
  std::atomic<std::uint64_t> hedgesDenied{ 0 };
  std::atomic<std::uint64_t> earlyAnswers{ 0 };
  std::atomic<std::uint64_t> restarts{ 0 }; ///< begun again on a new snapshot
  std::atomic<std::uint64_t> droppedReplies{ 0 };
};

/// What is learnt and allowed for one query class.
class ClassState
{
public:
  explicit ClassState(const ClockI& aClock);

  /// Takes over the class's rules and earns tokens for first attempts.
  void onFirstAttempts(std::size_t aCount,
                       const RetryRule& aRetry,
                       const HedgeRule& aHedge);
  bool takeRetry();
  bool takeHedge();

  /// Records the latency of a first attempt.
  void onAttempt(Duration aLatency);
  /// Records the time from the first attempt at a part to its good reply.
  void onPart(Duration aLatency);

  /// @returns nothing when hedges are off or the percentile isn't known yet
  std::optional<Duration> hedgeDelay(const HedgeRule& aHedge) const;
  /// @returns p95 of the parts' latency, or nothing when it isn't known yet
  std::optional<Duration> tail() const;

private:
  const ClockI& m_clock;
  mutable std::mutex m_mutex; ///< guards what follows
  TokenBudget m_retries;
  TokenBudget m_hedges;
  LatencyTracker m_attempts;
  LatencyTracker m_parts;
};

class Query;

class QueryEngine
{
public:
  using Done = std::function<void(QueryAnswer)>;

  QueryEngine(boost::asio::io_context& aContext,
              const ClockI& aClock,
              const ViewHolder& aViews,
              SubSenderI& aSender,
              SlotChooser& aChooser,
              std::string aSelf,
              std::uint64_t aIncarnation);
  ~QueryEngine();

  /// Runs a query.
  /// @param[in] aDone called once, at the latest at the query's deadline
  void submit(QueryRequest aRequest, Done aDone);

  /// Takes a reply of a holder; drops and counts one that matches no attempt.
  void onReply(const std::string& aHost, const SubReply& aReply);

  /// Ends the attempts at a host whose link is lost.
  /// @param[in] aUnsent queries whose batches were never written
  void onLinkLost(const std::string& aHost,
                  const std::vector<std::uint64_t>& aUnsent);

  /// Sets the quarantine that queries consult; call it before the first query.
  void setQuarantine(Quarantine* aQuarantine) { m_quarantine = aQuarantine; }
  /// Runs the work of every query that is due by the clock. Timers do this for
  /// each query; tests on a virtual clock call it instead.
  void runDue();

  /// Refuses new queries from now on.
  void drain() { m_draining = true; }

  /// @returns queries that run
  std::size_t running() const;

  const EngineCounters& counters() const { return m_counters; }

private:
  friend class Query;

  std::shared_ptr<ClassState> classState(const std::string& aClass);
  std::shared_ptr<Query> find(std::uint64_t aId) const;
  std::vector<std::shared_ptr<Query>> all() const;
  void ended(std::uint64_t aId, const QueryAnswer& aAnswer);

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  const ViewHolder& m_views;
  SubSenderI& m_sender;
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
