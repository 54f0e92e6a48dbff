#include "fetch_schedule_p.h"

#include <algorithm>
#include <tuple>

namespace toucanridge {

FetchSchedule::FetchSchedule(const ClockI& aClock)
  : m_clock(aClock)
{
}

bool
FetchSchedule::onPeerAhead(const ItemsPeer& aPeer, bool aDelayed)
{
  const bool starts = m_ahead.empty();
  const TimePoint now = m_clock.now();
  const TimePoint dueAt = aDelayed ? now + kFetchDelay : now;
  const auto [entry, isNew] = m_ahead.try_emplace(aPeer.host);
  Candidate& candidate = entry->second;
  candidate.dueAt = isNew ? dueAt : std::min(candidate.dueAt, dueAt);
  candidate.peer = aPeer;
  return starts && aDelayed;
}

void
FetchSchedule::onReply(const std::string& aHost)
{
  m_retryAt = TimePoint();
  m_retryDelay = kFirstRetry;
  m_ahead.erase(aHost); // the reply holds all that this peer has
}

void
FetchSchedule::onLost(const std::string& aHost)
{
  const auto found = m_ahead.find(aHost);
  if (found != m_ahead.end()) {
    found->second.isAwaited = false;
  }
}

std::optional<ItemsPeer>
FetchSchedule::takeDue(const ItemsState& aHeld)
{
  const TimePoint now = m_clock.now();
  Candidate* next = nullptr;
  const auto order = [](const Candidate& aCandidate) {
    return std::tie(aCandidate.askedAs, aCandidate.dueAt);
  };
  for (auto i = m_ahead.begin(); i != m_ahead.end();) {
    Candidate& candidate = i->second;
    if (!isAhead(candidate.peer.state, aHeld)) {
      i = m_ahead.erase(i);
      continue;
    }
    const bool mayAsk =
      !candidate.isAwaited || now - candidate.askedAt >= kReplyTimeout;
    if (mayAsk && now >= candidate.dueAt &&
        (next == nullptr || order(candidate) < order(*next))) {
      next = &candidate;
    }
    ++i;
  }
  if (m_ahead.empty()) {
    m_retryDelay = kFirstRetry;
  }
  if (next == nullptr || now < m_retryAt) {
    return std::nullopt;
  }
  // The peer stays noted until its items have arrived: the reply may be lost.
  next->isAwaited = true;
  next->askedAs = ++m_fetches;
  next->askedAt = now;
  m_retryAt = now + m_retryDelay;
  m_retryDelay = std::min(2 * m_retryDelay, kMaxRetry);
  return next->peer;
}

} // namespace toucanridge
