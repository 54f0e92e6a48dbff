#include "fetch_schedule_p.h"

namespace toucanridge {

FetchSchedule::FetchSchedule(const ClockI& aClock)
  : m_clock(aClock)
{
}

bool
FetchSchedule::onPeerAhead(const ItemsPeer& aPeer, bool aDelayed)
{
  const TimePoint now = m_clock.now();
  // A scheduled time that is older than kRetryInterval belongs to an earlier
  // change.
  const bool starts =
    aDelayed && (m_nextFetchAt == TimePoint() ||
                 now - m_nextFetchAt > Duration(kRetryInterval));
  if (starts) {
    m_nextFetchAt = now + kFetchDelay;
  }
  m_peer = aPeer;
  return starts;
}

void
FetchSchedule::onReply()
{
  m_nextFetchAt = TimePoint();
}

std::optional<ItemsPeer>
FetchSchedule::takeDue(const ItemsState& /*aHeld*/)
{
  const TimePoint now = m_clock.now();
  std::optional<ItemsPeer> due;
  if (m_peer && now >= m_nextFetchAt) {
    due = m_peer;
    m_nextFetchAt = now + kRetryInterval;
  }
  m_peer.reset();
  return due;
}

} // namespace toucanridge
