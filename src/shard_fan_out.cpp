#include "shard_fan_out_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// Pause before a part is tried again when no server could take it.
constexpr milliseconds kRetryPause{ 30 };
/// Sends of one part, those that no server ran included.
constexpr std::uint32_t kMaxSends = 6;
/// A part is late when it takes this many times as long as the query's other
/// parts: a query that is heavy is heavy for all servers, and hedging all of it
/// would only add load.
constexpr double kLateFactor = 1.7;
constexpr milliseconds kLateMargin{ 3 };
/// Share of the parts that must be in before their latency tells anything.
constexpr double kTellingShare = 0.25;
/// With fewer parts in, a part is late after this share of the aim.
constexpr double kLatestHedgeShare = 0.5;

Duration
shareOf(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aTime) * aFactor);
}

} // namespace

ShardFanOut::ShardFanOut(const QueryServices& aServices,
                         const AttemptOrder& aOrder,
                         std::function<void()> aOnChange)
  : m_services(aServices)
  , m_order(aOrder)
  , m_onChange(std::move(aOnChange))
  , m_timer(aServices.context)
{
}

void
ShardFanOut::add(const std::vector<std::size_t>& aShards,
                 AttemptKind aKind,
                 const ServerScope& aScope)
{
  for (const std::size_t shard : aShards) {
    Part& part = m_parts[shard];
    part.kind = aKind;
    part.scope = aScope;
    if (aKind == AttemptKind::First) {
      m_services.dispatcher.onRequest(m_order.route.shards[shard]);
    }
    send(shard, part);
  }
  wakeLater();
}

bool
ShardFanOut::isIn(std::size_t aShard) const
{
  const auto found = m_parts.find(aShard);
  return found != m_parts.end() && found->second.in;
}

bool
ShardFanOut::isPending(std::size_t aShard) const
{
  const auto found = m_parts.find(aShard);
  return found != m_parts.end() && found->second.isPending();
}

bool
ShardFanOut::isDone() const
{
  return std::none_of(m_parts.begin(), m_parts.end(), [](const auto& aEntry) {
    return aEntry.second.isPending();
  });
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
  std::string text = m_order.route.shards[aShard];
  const auto found = m_parts.find(aShard);
  if (found != m_parts.end()) {
    for (const std::string& server : found->second.tried) {
      text += "/" + server;
    }
  }
  return text;
}

/// @returns true when one more server may run a part
bool
ShardFanOut::mayRunOnce(const Part& aPart) const
{
  return aPart.sends < kMaxSends && aPart.ran < m_order.route.maxAttempts;
}

/// @returns false when nothing was sent
bool
ShardFanOut::send(std::size_t aShard, Part& aPart)
{
  if (!mayRunOnce(aPart)) {
    return false;
  }
  AttemptPtr attempt = m_services.dispatcher.send(
    m_order,
    m_order.route.shards[aShard],
    aPart.tried,
    aPart.kind,
    aPart.scope,
    [self = shared_from_this(), aShard](AttemptResult aResult) {
      self->onResult(aShard, std::move(aResult));
    });
  const TimePoint now = m_services.clock.now();
  if (!attempt) {
    aPart.retryAt = now + kRetryPause;
    return false;
  }
  aPart.kind = AttemptKind::Extra;
  aPart.sentAt = now;
  aPart.tried.push_back(attempt->server());
  aPart.attempts.push_back(std::move(attempt));
  ++aPart.sends;
  ++aPart.ran; // taken back when the server says that it didn't run
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
    m_anyRan = true;
  } else {
    --part.ran;
  }
  if (aResult.end == AttemptEnd::Good) {
    takePart(part, std::move(ended), std::move(aResult));
  } else if (running.empty()) {
    tryAgain(aShard, part);
  }
  wakeLater();
  if (!part.isPending()) {
    m_onChange();
  }
}

void
ShardFanOut::takePart(Part& aPart, AttemptPtr aWinner, AttemptResult aResult)
{
  aPart.in = true;
  aPart.body = std::move(aResult.response.body());
  aPart.signature = std::move(aResult.answer.signature);
  aPart.winner = std::move(aWinner);
  const Duration latency = aPart.winner->latency();
  m_latencies.insert(
    std::upper_bound(m_latencies.begin(), m_latencies.end(), latency), latency);
  for (const AttemptPtr& attempt : aPart.attempts) {
    attempt->cancel(usualLatency());
  }
  aPart.attempts.clear();
}

Duration
ShardFanOut::usualLatency() const
{
  const double telling = kTellingShare * static_cast<double>(m_parts.size());
  return m_latencies.empty() ||
             static_cast<double>(m_latencies.size()) < telling
           ? Duration(0)
           : m_latencies[m_latencies.size() / 2];
}

/// @returns time after which a part counts as late
Duration
ShardFanOut::hedgeDelay() const
{
  const Duration usual = usualLatency();
  return usual > Duration(0)
           ? shareOf(usual, kLateFactor) + Duration(kLateMargin)
           : shareOf(m_order.route.aim, kLatestHedgeShare);
}

void
ShardFanOut::learn()
{
  const Duration usual = usualLatency();
  if (usual <= Duration(0)) {
    return;
  }
  for (const auto& entry : m_parts) {
    const Part& part = entry.second;
    if (part.in) {
      part.winner->learn(static_cast<double>(part.winner->latency().count()) /
                         static_cast<double>(usual.count()));
    }
  }
}

/// Sends a part that failed to another server, or plans to.
void
ShardFanOut::tryAgain(std::size_t aShard, Part& aPart)
{
  const bool first = aPart.sends == 0;
  if (send(aShard, aPart)) {
    m_retries += first ? 0 : 1;
    return;
  }
  if (!mayRunOnce(aPart)) {
    aPart.given = true;
    return;
  }
  // Every server had it, or the budget is spent. Servers that didn't run it
  // may take it a little later.
  aPart.tried.clear();
}

void
ShardFanOut::onDue()
{
  const TimePoint now = m_services.clock.now();
  const Duration delay = hedgeDelay();
  bool changed = false;
  for (auto& [shard, part] : m_parts) {
    if (!part.isPending()) {
      continue;
    }
    if (part.attempts.empty()) {
      if (now >= part.retryAt) {
        tryAgain(shard, part);
        changed |= part.given;
      }
    } else if (now >= part.sentAt + delay && mayRunOnce(part)) {
      m_hedges += send(shard, part) ? 1 : 0;
      part.sentAt = now; // also when denied: the next try is as far away
    }
  }
  wakeLater();
  if (changed) {
    m_onChange();
  }
}

void
ShardFanOut::wakeLater()
{
  const Duration delay = hedgeDelay();
  TimePoint next = TimePoint::max();
  for (const auto& entry : m_parts) {
    const Part& part = entry.second;
    if (!part.isPending()) {
      continue;
    }
    if (part.attempts.empty()) {
      next = std::min(next, part.retryAt);
    } else if (mayRunOnce(part)) {
      next = std::min(next, part.sentAt + delay);
    }
  }
  if (m_ended || m_wakeAt == next || next == TimePoint::max()) {
    return;
  }
  m_wakeAt = next;
  m_timer.expires_after(
    std::max(Duration(0), Duration(next - m_services.clock.now())));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->m_ended) {
        self->m_wakeAt = TimePoint();
        self->onDue();
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
  for (auto& entry : m_parts) {
    for (const AttemptPtr& attempt : entry.second.attempts) {
      attempt->cancel(usualLatency());
    }
    entry.second.attempts.clear();
  }
}

} // namespace toucanridge
