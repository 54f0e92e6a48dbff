#include "answer_memory_p.h"

#include <array>

namespace toucanridge {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.99, 0.999 };
/// Callers choose the class names they send, so unknown ones share one entry;
/// this bounds the memory.
constexpr const char* kUnknownClass = "unknown";

} // namespace

AnswerHistory::ClassStats::ClassStats()
  : latency(acc::extended_p_square_probabilities = kQuantiles)
{
}

AnswerHistory::AnswerHistory(std::size_t aLimit)
  : m_limit(aLimit)
{
}

void
AnswerHistory::add(const std::string& aClass,
                   const QueryAnswer& aAnswer,
                   std::chrono::microseconds aTook)
{
  auto entry = std::make_shared<RecentAnswer>();
  entry->requestId = aAnswer.requestId;
  // An answer without rules was refused before its class was looked up, or the
  // class is unknown.
  entry->queryClass = aAnswer.rules.empty() ? kUnknownClass : aClass;
  entry->outcome = aAnswer.outcome;
  entry->reason = aAnswer.reason;
  entry->coverage = aAnswer.coverage;
  entry->snapshot = aAnswer.snapshot;
  entry->revision = aAnswer.revision;
  entry->took = aTook;

  const std::lock_guard<std::mutex> lock(m_mutex);
  ClassStats& stats = m_classes[entry->queryClass];
  ++stats.totals.outcomes[toString(aAnswer.outcome)];
  if (aAnswer.outcome != Outcome::Whole) {
    ++stats.totals.reasons[aAnswer.reason];
  }
  if (aAnswer.outcome != Outcome::NotRun) {
    stats.totals.answered += aAnswer.coverage.answered;
    stats.totals.total += aAnswer.coverage.total;
    stats.latency(static_cast<double>(aTook.count()));
    ++stats.executed;
  }
  if (!stats.rules || stats.rulesRevision != aAnswer.revision) {
    stats.rules =
      std::make_shared<const std::vector<GoverningRule>>(aAnswer.rules);
    stats.rulesRevision = aAnswer.revision;
  }
  entry->rules = stats.rules;
  m_insertionOrder.push_back(entry->requestId);
  m_answers[entry->requestId] = std::move(entry);
  if (m_insertionOrder.size() > m_limit) {
    m_answers.erase(m_insertionOrder.front());
    m_insertionOrder.pop_front();
  }
}

std::shared_ptr<const RecentAnswer>
AnswerHistory::find(const std::string& aRequestId) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_answers.find(aRequestId);
  return found == m_answers.end() ? nullptr : found->second;
}

std::vector<ClassSummary>
AnswerHistory::summary() const
{
  std::vector<ClassSummary> summaries;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [name, stats] : m_classes) {
    summaries.push_back(stats.totals);
    summaries.back().queryClass = name;
    for (std::size_t i = 0; stats.executed > 0 && i < kQuantiles.size(); ++i) {
      summaries.back().latency.emplace_back(
        kQuantiles[i],
        std::chrono::microseconds(
          static_cast<std::int64_t>(acc::extended_p_square(
            stats.latency)[static_cast<std::ptrdiff_t>(i)])));
    }
  }
  return summaries;
}

} // namespace toucanridge
