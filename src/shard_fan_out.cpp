#include "shard_fan_out_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// Delay before a part is retried when no server could be chosen or the budget
/// was spent.
constexpr milliseconds kRetryDelay{ 30 };
/// Most attempts for one part, including those that no server ran.
constexpr std::uint32_t kMaxAttempts = 6;
/// Share of the parts that must be received before their median is used.
constexpr double kMinReceivedShare = 0.25;

} // namespace

ShardFanOut::ShardFanOut(const QueryDependencies& aDeps,
                         const AttemptParams& aParams,
                         std::function<void()> aOnChange)
  : m_deps(aDeps)
  , m_params(aParams)
  , m_onChange(std::move(aOnChange))
  , m_timer(aDeps.context)
  , m_parts(aParams.route.shards.size())
{
}

void
ShardFanOut::add(const std::vector<std::size_t>& aShards,
                 AttemptKind aKind,
                 const ServerScope& aScope)
{
  for (const std::size_t shard : aShards) {
    Part& part = m_parts[shard];
    if (!part.asked) {
      part.asked = true;
      m_asked.push_back(shard);
      ++m_pending;
    }
    part.kind = aKind;
    part.scope = aScope;
    if (aKind == AttemptKind::First) {
      m_deps.dispatcher.onRequest(m_params.route.shards[shard]);
    }
    send(shard, part);
  }
  scheduleTimer();
}

bool
ShardFanOut::isReceived(std::size_t aShard) const
{
  return m_parts[aShard].received;
}

bool
ShardFanOut::isPending(std::size_t aShard) const
{
  return m_parts[aShard].isPending();
}

bool
ShardFanOut::isDone() const
{
  return m_pending == 0;
}

std::string_view
ShardFanOut::body(std::size_t aShard) const
{
  return m_parts.at(aShard).body;
}

const std::string&
ShardFanOut::signature(std::size_t aShard) const
{
  return m_parts.at(aShard).signature;
}

std::string
ShardFanOut::trace(std::size_t aShard) const
{
  std::string text = m_params.route.shards[aShard];
  for (const std::string& server : m_parts[aShard].tried) {
    text += "/" + server;
  }
  return text;
}

/// @returns true when one more server may run the part
bool
ShardFanOut::mayAttempt(const Part& aPart) const
{
  return aPart.sends < kMaxAttempts &&
         aPart.possibleRuns < m_params.route.maxAttempts;
}

/// @returns false when no attempt was sent
bool
ShardFanOut::send(std::size_t aShard, Part& aPart)
{
  if (!mayAttempt(aPart)) {
    return false;
  }
  AttemptPtr attempt = m_deps.dispatcher.send(
    m_params,
    m_params.route.shards[aShard],
    aPart.tried,
    aPart.kind,
    aPart.scope,
    [self = shared_from_this(), aShard](AttemptResult aResult) {
      self->onResult(aShard, std::move(aResult));
    });
  const TimePoint now = m_deps.clock.now();
  if (!attempt) {
    aPart.retryAt = now + kRetryDelay;
    return false;
  }
  aPart.kind = AttemptKind::Extra;
  aPart.sentAt = now;
  aPart.tried.push_back(attempt->server());
  aPart.attempts.push_back(std::move(attempt));
  ++aPart.sends;
  ++aPart.possibleRuns; // undone if the server didn't run it
  return true;
}

void
ShardFanOut::onResult(std::size_t aShard, AttemptResult aResult)
{
  if (m_ended) {
    return;
  }
  Part& part = m_parts.at(aShard);
  auto& running = part.attempts;
  const auto found = std::find_if(
    running.begin(), running.end(), [&aResult](const AttemptPtr& aAttempt) {
      return aAttempt->server() == aResult.server;
    });
  if (found == running.end()) {
    return;
  }
  AttemptPtr ended = *found;
  running.erase(found);
  if (mayHaveRun(aResult.end)) {
    m_anyMayHaveRun = true;
  } else {
    --part.possibleRuns;
  }
  if (aResult.end == AttemptEnd::Good) {
    acceptPart(part, std::move(ended), std::move(aResult));
  } else if (running.empty()) {
    retry(aShard, part);
  }
  scheduleTimer();
  if (!part.isPending()) {
    m_onChange();
  }
}

void
ShardFanOut::acceptPart(Part& aPart, AttemptPtr aWinner, AttemptResult aResult)
{
  aPart.received = true;
  --m_pending;
  aPart.body = std::move(aResult.response.body());
  aPart.signature = std::move(aResult.answer.signature);
  aPart.winner = std::move(aWinner);
  const Duration latency = aPart.winner->latency();
  m_latencies.insert(
    std::upper_bound(m_latencies.begin(), m_latencies.end(), latency), latency);
  for (const AttemptPtr& attempt : aPart.attempts) {
    attempt->cancel(medianLatency());
  }
  aPart.attempts.clear();
}

Duration
ShardFanOut::medianLatency() const
{
  const double minReceived =
    kMinReceivedShare * static_cast<double>(m_asked.size());
  return m_latencies.empty() ||
             static_cast<double>(m_latencies.size()) < minReceived
           ? Duration(0)
           : m_latencies[m_latencies.size() / 2];
}

void
ShardFanOut::recordLatencies()
{
  const Duration median = medianLatency();
  if (median <= Duration(0)) {
    return;
  }
  for (const std::size_t shard : m_asked) {
    const Part& part = m_parts[shard];
    if (part.received) {
      part.winner->recordLatency(
        static_cast<double>(part.winner->latency().count()) /
        static_cast<double>(median.count()));
    }
  }
}

/// Sends a part that has no running attempt to another server. If that is
/// impossible, gives the part up or leaves it for a later retry.
void
ShardFanOut::retry(std::size_t aShard, Part& aPart)
{
  const bool isFirst = aPart.sends == 0;
  if (send(aShard, aPart)) {
    m_retries += isFirst ? 0 : 1;
    return;
  }
  if (!mayAttempt(aPart)) {
    aPart.gaveUp = true;
    --m_pending;
    return;
  }
  // Every server was tried, or the budget is spent. A server that didn't run
  // the part may accept it a little later.
  aPart.tried.clear();
}

void
ShardFanOut::onTimer()
{
  const TimePoint now = m_deps.clock.now();
  const Duration delay = partHedgeDelay(m_params.route, medianLatency());
  bool anyGaveUp = false;
  for (const std::size_t shard : m_asked) {
    Part& part = m_parts[shard];
    if (!part.isPending()) {
      continue;
    }
    if (part.attempts.empty()) {
      if (now >= part.retryAt) {
        retry(shard, part);
        anyGaveUp |= part.gaveUp;
      }
    } else if (now >= part.sentAt + delay && mayAttempt(part)) {
      for (const AttemptPtr& attempt : part.attempts) {
        attempt->reportOverdue();
      }
      m_hedges += send(shard, part) ? 1 : 0;
      part.sentAt = now; // also when denied: delays the next hedge
    }
  }
  scheduleTimer();
  if (anyGaveUp) {
    m_onChange();
  }
}

void
ShardFanOut::scheduleTimer()
{
  const Duration delay = partHedgeDelay(m_params.route, medianLatency());
  TimePoint next = TimePoint::max();
  for (const std::size_t shard : m_asked) {
    const Part& part = m_parts[shard];
    if (!part.isPending()) {
      continue;
    }
    if (part.attempts.empty()) {
      next = std::min(next, part.retryAt);
    } else if (mayAttempt(part)) {
      next = std::min(next, part.sentAt + delay);
    }
  }
  // The hedge delay changes with each part. A timer that expires too early
  // costs less than setting it anew each time.
  if (m_ended || m_timerAt <= next) {
    return;
  }
  m_timerAt = next;
  m_timer.expires_after(
    std::max(Duration(0), Duration(next - m_deps.clock.now())));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->m_ended) {
        self->m_timerAt = TimePoint::max();
        self->onTimer();
      }
    });
}

void
ShardFanOut::cancel()
{
  if (m_ended) {
    return;
  }
  m_ended = true;
  m_timer.cancel();
  const Duration typical = medianLatency();
  for (const std::size_t shard : m_asked) {
    std::vector<AttemptPtr>& attempts = m_parts[shard].attempts;
    for (const AttemptPtr& attempt : attempts) {
      attempt->cancel(typical);
    }
    attempts.clear();
  }
}

} // namespace toucanridge
