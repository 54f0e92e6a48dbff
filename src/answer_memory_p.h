#ifndef TOUCANRIDGE_ANSWER_MEMORY_P_H
#define TOUCANRIDGE_ANSWER_MEMORY_P_H

/// Keeps recent answers and statistics by query class, for operators.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "toucanridge/toucanridge.h"

namespace toucanridge {

/// A recent answer, without its parts.
struct RecentAnswer
{
  std::string requestId;
  std::string queryClass;
  Outcome outcome = Outcome::NotRun;
  std::string reason;
  Coverage coverage;
  std::uint64_t snapshot = 0;
  std::uint64_t revision = 0;
  std::chrono::microseconds took{ 0 }; ///< from the query's start to its end
  /// Shared by the answers of one class under one revision.
  std::shared_ptr<const std::vector<GoverningRule>> rules;
};

/// Totals of the answers of one class since the process started.
struct ClassSummary
{
  std::string queryClass;
  std::map<std::string, std::uint64_t> outcomes; ///< answers by outcome
  /// Answers other than whole, by reason.
  std::map<std::string, std::uint64_t> reasons;
  std::uint64_t answered = 0; ///< services that answered
  std::uint64_t total = 0;    ///< services asked, in answers other than not-run
  /// Pairs of quantile and latency over answers other than not-run; empty when
  /// there are none.
  std::vector<std::pair<double, std::chrono::microseconds>> latency;
};

/// The most recent answers, and totals by query class. Thread-safe.
class AnswerHistory
{
public:
  /// @param[in] aLimit answers to keep; the oldest is dropped first
  explicit AnswerHistory(std::size_t aLimit);

  /// Records an answer. All unknown classes share one entry.
  /// @param[in] aTook time from the query's start to its end
  void add(const std::string& aClass,
           const QueryAnswer& aAnswer,
           std::chrono::microseconds aTook);

  /// @returns the answer, null when it isn't kept (any more)
  std::shared_ptr<const RecentAnswer> find(const std::string& aRequestId) const;

  /// @returns the totals of every class, ordered by name
  std::vector<ClassSummary> summary() const;

private:
  using Quantiles = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;
  using RulesPtr = std::shared_ptr<const std::vector<GoverningRule>>;
  struct ClassStats
  {
    ClassStats();
    ClassSummary totals;
    Quantiles latency;
    std::uint64_t executed = 0;      ///< answers other than not-run
    std::uint64_t rulesRevision = 0; ///< of `rules`
    RulesPtr rules;
  };

  const std::size_t m_limit;
  mutable std::mutex m_mutex;               ///< guards what follows
  std::deque<std::string> m_insertionOrder; ///< request ids, oldest first
  std::map<std::string, std::shared_ptr<const RecentAnswer>> m_answers;
  std::map<std::string, ClassStats> m_classes;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ANSWER_MEMORY_P_H
