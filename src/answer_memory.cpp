#include "answer_memory_p.h"

#include <array>

namespace toucanridge {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.99, 0.999 };
/// Callers choose class names, so unknown ones share one entry.
constexpr const char* kUnknownClass = "unknown";

} // namespace

AnswerMemory::PerClass::PerClass()
  : latency(acc::extended_p_square_probabilities = kQuantiles)
{
}

AnswerMemory::AnswerMemory(std::size_t aLimit)
  : m_limit(aLimit)
{
}

void
AnswerMemory::add(const std::string& aClass,
                  const QueryAnswer& aAnswer,
                  std::chrono::microseconds aTook)
{
  auto entry = std::make_shared<RememberedAnswer>();
  entry->requestId = aAnswer.requestId;
  // An answer without rules is a refusal before any class was found.
  entry->queryClass = aAnswer.rules.empty() ? kUnknownClass : aClass;
  entry->outcome = aAnswer.outcome;
  entry->reason = aAnswer.reason;
  entry->coverage = aAnswer.coverage;
  entry->snapshot = aAnswer.snapshot;
  entry->revision = aAnswer.revision;
  entry->took = aTook;

  const std::lock_guard<std::mutex> lock(m_mutex);
  PerClass& known = m_classes[entry->queryClass];
  ++known.sums.outcomes[toString(aAnswer.outcome)];
  if (aAnswer.outcome != Outcome::Whole) {
    ++known.sums.reasons[aAnswer.reason];
  }
  if (aAnswer.outcome != Outcome::NotRun) {
    known.sums.answered += aAnswer.coverage.answered;
    known.sums.total += aAnswer.coverage.total;
    known.latency(static_cast<double>(aTook.count()));
    ++known.ran;
  }
  if (!known.rules || known.rulesRevision != aAnswer.revision) {
    known.rules =
      std::make_shared<const std::vector<GoverningRule>>(aAnswer.rules);
    known.rulesRevision = aAnswer.revision;
  }
  entry->rules = known.rules;
  m_order.push_back(entry->requestId);
  m_answers[entry->requestId] = std::move(entry);
  if (m_order.size() > m_limit) {
    m_answers.erase(m_order.front());
    m_order.pop_front();
  }
}

std::shared_ptr<const RememberedAnswer>
AnswerMemory::find(const std::string& aRequestId) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_answers.find(aRequestId);
  return found == m_answers.end() ? nullptr : found->second;
}

std::vector<ClassSummary>
AnswerMemory::summary() const
{
  std::vector<ClassSummary> list;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [name, known] : m_classes) {
    list.push_back(known.sums);
    list.back().queryClass = name;
    for (std::size_t i = 0; known.ran > 0 && i < kQuantiles.size(); ++i) {
      list.back().latency.emplace_back(
        kQuantiles[i],
        std::chrono::microseconds(
          static_cast<std::int64_t>(acc::extended_p_square(
            known.latency)[static_cast<std::ptrdiff_t>(i)])));
    }
  }
  return list;
}

} // namespace toucanridge
