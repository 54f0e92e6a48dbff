#include "gather_query_p.h"

#include <algorithm>
#include <string_view>

#include "record_merge_p.h"

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

} // namespace

GatherQuery::GatherQuery(const QueryServices& aServices, QueryContext aQuery)
  : m_services(aServices)
  , m_query(std::move(aQuery))
  , m_timer(aServices.context)
  , m_parts(m_query.route->shards.size())
  , m_needed(partsNeeded(*m_query.route))
{
}

void
GatherQuery::start()
{
  m_query.exchange->onAbandoned([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      if (!self->m_ended) {
        self->m_ended = true;
        self->cancelAll();
        logAnswer(self->m_query,
                  self->m_services.clock.now(),
                  0,
                  "caller left",
                  std::to_string(self->m_in));
      }
    }
  });
  for (std::size_t i = 0; i < m_parts.size(); ++i) {
    m_services.dispatcher.onRequest(m_query.route->shards[i]);
    send(i);
  }
  advance();
}

/// @returns true when one more server may run a part
bool
GatherQuery::mayRunOnce(const Part& aPart) const
{
  return aPart.sends < kMaxSends && aPart.ran < m_query.route->maxAttempts;
}

/// @returns false when nothing was sent
bool
GatherQuery::send(std::size_t aPart)
{
  Part& part = m_parts[aPart];
  if (!mayRunOnce(part)) {
    return false;
  }
  AttemptPtr attempt = m_services.dispatcher.send(
    m_query.order(),
    m_query.route->shards[aPart],
    part.tried,
    part.sends == 0 ? AttemptKind::First : AttemptKind::Extra,
    [self = shared_from_this(), aPart](AttemptResult aResult) {
      self->onResult(aPart, std::move(aResult));
    });
  const TimePoint now = m_services.clock.now();
  if (!attempt) {
    part.retryAt = now + kRetryPause;
    return false;
  }
  part.sentAt = now;
  part.tried.push_back(attempt->server());
  part.attempts.push_back(std::move(attempt));
  ++part.sends;
  ++part.ran; // taken back when the server says that it didn't run
  return true;
}

void
GatherQuery::onResult(std::size_t aPart, AttemptResult aResult)
{
  if (m_ended) {
    return;
  }
  Part& part = m_parts[aPart];
  auto& running = part.attempts;
  AttemptPtr ended;
  for (std::size_t i = 0; i < running.size(); ++i) {
    if (running[i]->server() == aResult.server) {
      ended = running[i];
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
      break;
    }
  }
  if (mayHaveRun(aResult.end)) {
    m_anyRan = true;
  } else {
    --part.ran;
  }
  if (part.in) {
    return;
  }
  if (aResult.end == AttemptEnd::Good) {
    takePart(part, std::move(ended), std::move(aResult));
  } else if (running.empty()) {
    tryAgain(aPart);
  }
  advance();
}

void
GatherQuery::takePart(Part& aPart, AttemptPtr aWinner, AttemptResult aResult)
{
  aPart.in = true;
  aPart.body = std::move(aResult.response.body());
  aPart.signature = std::move(aResult.answer.signature);
  aPart.winner = std::move(aWinner);
  ++m_in;
  const Duration latency = aPart.winner->latency();
  m_latencies.insert(
    std::upper_bound(m_latencies.begin(), m_latencies.end(), latency), latency);
  for (const AttemptPtr& attempt : aPart.attempts) {
    attempt->cancel(usualLatency());
  }
  aPart.attempts.clear();
}

/// @returns the median latency of the parts that are in, zero when too few are
Duration
GatherQuery::usualLatency() const
{
  const auto telling =
    kTellingShare * static_cast<double>(m_query.route->shards.size());
  return static_cast<double>(m_latencies.size()) < telling
           ? Duration(0)
           : m_latencies[m_latencies.size() / 2];
}

/// @returns time after which a part counts as late
Duration
GatherQuery::hedgeDelay() const
{
  const auto share = [](Duration aTime, double aFactor) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aTime) * aFactor);
  };
  const Duration usual = usualLatency();
  return usual > Duration(0) ? share(usual, kLateFactor) + Duration(kLateMargin)
                             : share(m_query.route->aim, kLatestHedgeShare);
}

/// Learns how fast the servers are, compared with each other on one query.
void
GatherQuery::learn()
{
  const Duration usual = usualLatency();
  if (usual <= Duration(0)) {
    return;
  }
  for (const Part& part : m_parts) {
    if (part.in) {
      part.winner->learn(static_cast<double>(part.winner->latency().count()) /
                         static_cast<double>(usual.count()));
    }
  }
}

/// Sends a part that failed to another server, or plans to.
void
GatherQuery::tryAgain(std::size_t aPart)
{
  Part& part = m_parts[aPart];
  if (send(aPart)) {
    m_retries += part.sends > 1 ? 1 : 0;
    return;
  }
  if (!mayRunOnce(part)) {
    part.given = true;
    return;
  }
  // Every server had it, or the budget is spent. Servers that didn't run it
  // may take it a little later.
  part.tried.clear();
}

void
GatherQuery::onDue()
{
  const TimePoint now = m_services.clock.now();
  const Duration delay = hedgeDelay();
  for (std::size_t i = 0; i < m_parts.size() && !m_ended; ++i) {
    Part& part = m_parts[i];
    if (part.in || part.given) {
      continue;
    }
    if (part.attempts.empty()) {
      if (now >= part.retryAt) {
        tryAgain(i);
      }
    } else if (now >= part.sentAt + delay) {
      m_hedges += send(i) ? 1 : 0;
      part.sentAt = now; // also when denied: the next try is as far away
    }
  }
  advance();
}

/// Answers when the time or the parts call for it, else waits on.
void
GatherQuery::advance()
{
  if (m_ended) {
    return;
  }
  const TimePoint now = m_services.clock.now();
  const QuerySchedule& schedule = m_query.schedule;
  const bool waitsOn =
    std::any_of(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
      return !aPart.in && !aPart.given;
    });
  if (!waitsOn || now >= schedule.giveUpAt) {
    if (isEnough()) {
      answer();
    } else {
      fail(now);
    }
    return;
  }
  // Just before the aim, enough parts are worth more than all of them late.
  // Once the aim is missed, all of them are worth waiting for a little.
  const bool aimReached = now >= schedule.aimAt;
  if (isEnough() && aimReached &&
      (!m_aimPassed || now >= schedule.completeBy)) {
    answer();
    return;
  }
  m_aimPassed |= aimReached;
  wakeLater();
}

void
GatherQuery::wakeLater()
{
  const TimePoint now = m_services.clock.now();
  const QuerySchedule& times = m_query.schedule;
  TimePoint next = times.giveUpAt;
  if (now < times.aimAt) {
    next = std::min(next, times.aimAt);
  } else if (now < times.completeBy) {
    next = std::min(next, times.completeBy);
  }
  const Duration delay = hedgeDelay();
  for (const Part& part : m_parts) {
    if (part.in || part.given) {
      continue;
    }
    if (part.attempts.empty()) {
      next = std::min(next, part.retryAt);
    } else if (mayRunOnce(part)) {
      next = std::min(next, part.sentAt + delay);
    }
  }
  if (m_wakeAt == next) {
    return;
  }
  m_wakeAt = next;
  m_timer.expires_after(std::max(Duration(0), Duration(next - now)));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->m_ended) {
        self->m_wakeAt = TimePoint();
        self->onDue();
      }
    });
}

void
GatherQuery::answer()
{
  std::vector<std::string> signatures;
  std::vector<std::string_view> bodies;
  for (const Part& part : m_parts) {
    if (part.in) {
      signatures.push_back(part.signature);
      bodies.push_back(part.body);
    }
  }
  const std::size_t missing = m_parts.size() - m_in;
  finish(
    m_services.protocol.makeMerged(
      signatures, missing, mergeRecords(bodies, m_query.route->topRecords)),
    missing == 0 ? "whole" : "partial");
}

void
GatherQuery::fail(TimePoint aNow)
{
  if (!m_anyRan &&
      std::all_of(m_parts.begin(), m_parts.end(), [](const Part& aPart) {
        return aPart.attempts.empty();
      })) {
    finish(m_services.protocol.makeRefusal(kRetryAfter, "no server took it"),
           "no server took it");
    return;
  }
  const bool late = aNow >= m_query.schedule.giveUpAt;
  finish(makeResponse(late ? 504 : 502, "too few parts\n"),
         late ? "deadline passed" : "too few parts");
}

void
GatherQuery::finish(HttpResponse aResponse, const char* aReason)
{
  m_ended = true;
  cancelAll();
  const unsigned status = aResponse.result_int();
  m_query.exchange->reply(std::move(aResponse));
  std::string details =
    std::to_string(m_in) + "/" + std::to_string(m_parts.size()) + " hedges " +
    std::to_string(m_hedges) + " retries " + std::to_string(m_retries);
  if (m_in < m_parts.size()) {
    details += " lacking";
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
      if (!m_parts[i].in) {
        details += " " + m_query.route->shards[i];
      }
    }
  }
  logAnswer(m_query, m_services.clock.now(), status, aReason, details);
}

void
GatherQuery::cancelAll()
{
  m_timer.cancel();
  for (Part& part : m_parts) {
    for (const AttemptPtr& attempt : part.attempts) {
      attempt->cancel(usualLatency());
    }
    part.attempts.clear();
  }
}

} // namespace toucanridge
