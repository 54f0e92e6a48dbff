#include "buffer_budget_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

/// Shares of the limit: above the first one long messages are refused, so that
/// those that are already being received still fit in.
constexpr std::size_t kNearLimitNumerator = 3;
constexpr std::size_t kNearLimitDenominator = 4;

} // namespace

const char*
toString(BufferUse aUse) noexcept
{
  constexpr const char* kNames[kBufferUses] = {
    "input", "message", "copies", "answer", "frames"
  };
  return kNames[static_cast<std::size_t>(aUse)];
}

std::size_t
BufferBudget::used() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_used;
}

std::size_t
BufferBudget::used(BufferUse aUse) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_usedFor[static_cast<std::size_t>(aUse)];
}

std::uint64_t
BufferBudget::evictions() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_evictions;
}

bool
BufferBudget::isNearLimit() const
{
  return used() > m_limit / kNearLimitDenominator * kNearLimitNumerator;
}

void
BufferBudget::evictLargest(const BufferShare& aGrowing)
{
  const auto largest =
    std::max_element(m_holders.begin(),
                     m_holders.end(),
                     [](const BufferShare* aOne, const BufferShare* aOther) {
                       return aOne->m_bytes < aOther->m_bytes;
                     });
  BufferShare& share = **largest;
  clear(share);
  share.m_isEvicted = true;
  ++m_evictions;
  if (&share != &aGrowing) {
    share.m_onEvicted();
  }
}

void
BufferBudget::setBytes(BufferShare& aShare, BufferUse aUse, std::size_t aBytes)
{
  const auto use = static_cast<std::size_t>(aUse);
  const std::size_t before = aShare.m_bytes;
  const std::size_t held = aShare.m_bytesFor[use];
  aShare.m_bytesFor[use] = aBytes;
  m_usedFor[use] += aBytes - held;
  aShare.m_bytes += aBytes - held;
  m_used += aBytes - held;
  if (before == 0 && aShare.m_bytes > 0) {
    aShare.m_position = m_holders.insert(m_holders.end(), &aShare);
  } else if (before > 0 && aShare.m_bytes == 0) {
    m_holders.erase(aShare.m_position);
  }
}

void
BufferBudget::clear(BufferShare& aShare)
{
  for (std::size_t use = 0; use < kBufferUses; ++use) {
    setBytes(aShare, static_cast<BufferUse>(use), 0);
  }
}

BufferShare::BufferShare(std::shared_ptr<BufferBudget> aBudget,
                         OnEvicted aOnEvicted)
  : m_budget(std::move(aBudget))
  , m_onEvicted(std::move(aOnEvicted))
{
}

BufferShare::~BufferShare()
{
  if (m_budget) {
    const std::lock_guard<std::mutex> lock(m_budget->m_mutex);
    m_budget->clear(*this);
  }
}

bool
BufferShare::set(BufferUse aUse, std::size_t aBytes)
{
  if (!m_budget) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(m_budget->m_mutex);
  if (m_isEvicted) {
    return false;
  }
  m_budget->setBytes(*this, aUse, aBytes);
  while (m_budget->m_used > m_budget->m_limit) {
    m_budget->evictLargest(*this);
  }
  return !m_isEvicted;
}

bool
BufferShare::trySet(BufferUse aUse, std::size_t aBytes)
{
  if (!m_budget) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(m_budget->m_mutex);
  const std::size_t held = m_bytesFor[static_cast<std::size_t>(aUse)];
  if (m_isEvicted || m_budget->m_used - held + aBytes > m_budget->m_limit) {
    return false;
  }
  m_budget->setBytes(*this, aUse, aBytes);
  return true;
}

} // namespace toucanridge
