#ifndef TOUCANRIDGE_ANSWER_MEMORY_P_H
#define TOUCANRIDGE_ANSWER_MEMORY_P_H

/// Remembers recent answers and how long they took, for operators.

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

/// An answer without its parts.
struct RememberedAnswer
{
  std::string requestId;
  std::string queryClass;
  Outcome outcome = Outcome::NotRun;
  std::string reason;
  Coverage coverage;
  std::uint64_t snapshot = 0;
  std::uint64_t revision = 0;
  std::chrono::microseconds took{ 0 };
  /// Shared by the answers of one class under one revision.
  std::shared_ptr<const std::vector<GoverningRule>> rules;
};

/// Sums over the answers of one class since start.
struct ClassSummary
{
  std::string queryClass;
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> reasons; ///< of answers not whole
  std::uint64_t answered = 0;                   ///< services
  std::uint64_t total = 0;
  /// Quantile and latency of answers that ran; empty without such an answer.
  std::vector<std::pair<double, std::chrono::microseconds>> latency;
};

/// Thread-safe.
class AnswerMemory
{
public:
  /// @param[in] aLimit answers to keep; the oldest goes first
  explicit AnswerMemory(std::size_t aLimit);

  void add(const std::string& aClass,
           const QueryAnswer& aAnswer,
           std::chrono::microseconds aTook);

  /// @returns the answer, null when it isn't remembered
  std::shared_ptr<const RememberedAnswer> find(
    const std::string& aRequestId) const;

  std::vector<ClassSummary> summary() const;

private:
  using Quantiles = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;
  using RulesPtr = std::shared_ptr<const std::vector<GoverningRule>>;
  struct PerClass
  {
    PerClass();
    ClassSummary sums;
    Quantiles latency;
    std::uint64_t ran = 0;
    std::uint64_t rulesRevision = 0;
    RulesPtr rules;
  };

  const std::size_t m_limit;
  mutable std::mutex m_mutex; ///< guards what follows
  std::deque<std::string> m_order;
  std::map<std::string, std::shared_ptr<const RememberedAnswer>> m_answers;
  std::map<std::string, PerClass> m_classes;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ANSWER_MEMORY_P_H
