#include "query_engine_p.h"

#include <algorithm>
#include <sstream>

#include "query_p.h"

namespace toucanridge {
namespace {

/// Percentile of part latency that early answers depend on. It must exclude a
/// few per cent of slow parts. If 2% of the parts are slow, p99 is the latency
/// of a slow part, and an early answer at twice that is of no use to a caller.
constexpr double kTailPercentile = 0.95;
/// Percentile of attempt latency until a class's hedge rule is applied.
constexpr double kDefaultHedgePercentile = 0.95;

} // namespace

ClassState::ClassState(const ClockI& aClock)
  : m_clock(aClock)
  , m_attemptLatency(aClock, kDefaultHedgePercentile)
  , m_partLatency(aClock, kTailPercentile)
{
}

void
ClassState::onFirstAttempts(std::size_t aCount,
                            const RetryRule& aRetry,
                            const HedgeRule& aHedge)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_retryBudget.deposit(aCount, aRetry.budget);
  m_hedgeBudget.deposit(aCount, aHedge.budget);
  if (m_attemptLatency.percentile() != aHedge.percentile) {
    m_attemptLatency = LatencyTracker(m_clock, aHedge.percentile);
  }
}

bool
ClassState::takeRetryToken()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_retryBudget.tryTake();
}

bool
ClassState::takeHedgeToken()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_hedgeBudget.tryTake();
}

void
ClassState::recordAttemptLatency(Duration aLatency)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_attemptLatency.add(aLatency);
}

void
ClassState::recordPartLatency(Duration aLatency)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_partLatency.add(aLatency);
}

std::optional<Duration>
ClassState::hedgeDelay(const HedgeRule& aHedge) const
{
  switch (aHedge.mode) {
    case HedgeRule::Mode::Off:
      return std::nullopt;
    case HedgeRule::Mode::Fixed:
      return aHedge.delay;
    case HedgeRule::Mode::Learnt:
      break;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_attemptLatency.value();
}

std::optional<Duration>
ClassState::tailLatency() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_partLatency.value();
}

QueryEngine::QueryEngine(boost::asio::io_context& aContext,
                         const ClockI& aClock,
                         const ViewHolder& aViews,
                         SubRequestSenderI& aSender,
                         SlotChooser& aChooser,
                         std::string aSelf,
                         std::uint64_t aIncarnation)
  : m_context(aContext)
  , m_clock(aClock)
  , m_views(aViews)
  , m_sender(aSender)
  , m_chooser(aChooser)
  , m_self(std::move(aSelf))
  , m_incarnation(aIncarnation)
{
}

QueryEngine::~QueryEngine() = default;

void
QueryEngine::submit(QueryRequest aRequest, DoneCallback aDone)
{
  ++m_counters.queries;
  const std::uint64_t id = m_nextId++;
  std::ostringstream requestId;
  requestId << m_self << '-' << std::hex << m_incarnation << '-' << std::dec
            << id;
  if (m_draining) {
    QueryAnswer answer;
    answer.requestId = requestId.str();
    answer.reason = make_error_code(Errc::ShuttingDown).message();
    ++m_counters.notRun;
    aDone(answer);
    return;
  }
  auto query = std::make_shared<Query>(
    *this, id, requestId.str(), std::move(aRequest), std::move(aDone));
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_queries[id] = query;
  }
  query->start();
}

std::shared_ptr<ClassState>
QueryEngine::classState(const std::string& aClass)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  auto& found = m_classes[aClass];
  if (!found) {
    found = std::make_shared<ClassState>(m_clock);
  }
  return found;
}

void
QueryEngine::runDue()
{
  for (const auto& query : allQueries()) {
    query->onTimer();
  }
}

std::shared_ptr<Query>
QueryEngine::findQuery(std::uint64_t aId) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_queries.find(aId);
  return found == m_queries.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Query>>
QueryEngine::allQueries() const
{
  std::vector<std::shared_ptr<Query>> list;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& entry : m_queries) {
    list.push_back(entry.second);
  }
  return list;
}

void
QueryEngine::onReply(const std::string& aHost, const SubReply& aReply)
{
  if (const auto query = findQuery(aReply.query)) {
    query->onReply(aHost, aReply);
  } else {
    ++m_counters.droppedReplies;
  }
}

void
QueryEngine::onLinkLost(const std::string& aHost,
                        const std::vector<std::uint64_t>& aUnsent)
{
  for (const std::uint64_t id : aUnsent) {
    if (const auto query = findQuery(id)) {
      query->onLinkLost(aHost, true);
    }
  }
  for (const auto& query : allQueries()) {
    query->onLinkLost(aHost, false);
  }
}

std::size_t
QueryEngine::running() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_queries.size();
}

void
QueryEngine::onQueryEnded(std::uint64_t aId, const QueryAnswer& aAnswer)
{
  switch (aAnswer.outcome) {
    case Outcome::Whole:
      ++m_counters.whole;
      break;
    case Outcome::Partial:
      ++m_counters.partial;
      break;
    case Outcome::NotRun:
      ++m_counters.notRun;
      break;
    case Outcome::Unknown:
      ++m_counters.unknown;
      break;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_queries.erase(aId);
}

} // namespace toucanridge
