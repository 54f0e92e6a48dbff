#include "fetch_schedule_p.h"

#include <algorithm>

namespace toucanridge {

FetchSchedule::FetchSchedule(const ClockI& aClock)
  : m_clock(aClock)
{
}

bool
FetchSchedule::onPeerAhead(const ItemsPeer& aPeer, bool aDelayed)
{
  const TimePoint now = m_clock.now();
  const bool starts = !m_peer;
  const TimePoint dueAt = aDelayed ? now + kFetchDelay : now;
  m_dueAt = starts ? dueAt : std::min(m_dueAt, dueAt);
  m_peer = aPeer;
  return starts && aDelayed;
}

void
FetchSchedule::onReply(const std::string& aHost)
{
  m_retryAt = TimePoint();
  if (m_peer && m_peer->host == aHost) {
    m_peer.reset(); // the reply holds all that this peer has
  }
}

std::optional<ItemsPeer>
FetchSchedule::takeDue(const ItemsState& aHeld)
{
  if (m_peer && !isAhead(m_peer->state, aHeld)) {
    m_peer.reset();
  }
  const TimePoint now = m_clock.now();
  if (!m_peer || now < std::max(m_dueAt, m_retryAt)) {
    return std::nullopt;
  }
  // The peer stays noted until its items have arrived: the reply may be lost.
  m_retryAt = now + kRetryInterval;
  return m_peer;
}

} // namespace toucanridge
