#include "query_engine_p.h"

#include <algorithm>
#include <sstream>

#include "query_p.h"

namespace toucanridge {
namespace {

/// Must not lie among a few per cent of stragglers: with 2% of them p99 is
/// their latency, and an early answer at twice that helps no caller.
constexpr double kTailPercentile = 0.95;
constexpr double kDefaultPercentile = 0.95;

} // namespace

ClassState::ClassState(const ClockI& aClock)
  : m_clock(aClock)
  , m_attempts(aClock, kDefaultPercentile)
  , m_parts(aClock, kTailPercentile)
{
}

void
ClassState::onFirstAttempts(std::size_t aCount,
                            const RetryRule& aRetry,
                            const HedgeRule& aHedge)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_retries.earn(aCount, aRetry.budget);
  m_hedges.earn(aCount, aHedge.budget);
  if (m_attempts.percentile() != aHedge.percentile) {
    m_attempts = LatencyTracker(m_clock, aHedge.percentile);
  }
}

bool
ClassState::takeRetry()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_retries.take();
}

bool
ClassState::takeHedge()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_hedges.take();
}

void
ClassState::onAttempt(Duration aLatency)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_attempts.add(aLatency);
}

void
ClassState::onPart(Duration aLatency)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_parts.add(aLatency);
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
  return m_attempts.value();
}

std::optional<Duration>
ClassState::tail() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_parts.value();
}

QueryEngine::QueryEngine(boost::asio::io_context& aContext,
                         const ClockI& aClock,
                         const ViewHolder& aViews,
                         SubSenderI& aSender,
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
QueryEngine::submit(QueryRequest aRequest, Done aDone)
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
  for (const auto& query : all()) {
    query->onTimer();
  }
}

std::shared_ptr<Query>
QueryEngine::find(std::uint64_t aId) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_queries.find(aId);
  return found == m_queries.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Query>>
QueryEngine::all() const
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
  if (const auto query = find(aReply.query)) {
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
    if (const auto query = find(id)) {
      query->onLinkLost(aHost, true);
    }
  }
  for (const auto& query : all()) {
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
QueryEngine::ended(std::uint64_t aId, const QueryAnswer& aAnswer)
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
