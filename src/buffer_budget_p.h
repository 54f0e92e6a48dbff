#ifndef TOUCANRIDGE_BUFFER_BUDGET_P_H
#define TOUCANRIDGE_BUFFER_BUDGET_P_H

/// A limit on the memory that many connections may hold together.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

namespace toucanridge {

/// What a connection holds bytes for.
enum class BufferUse : std::uint8_t
{
  Input,   ///< received, not parsed yet
  Message, ///< a parsed head, and what has come of its body
  Copies,  ///< heads and bodies of the attempts that a request leads to
  Answer,  ///< not yet taken by the client
  Frames,  ///< between hosts: unfinished, or not yet taken by the peer
};
constexpr std::size_t kBufferUses = 5;

const char*
toString(BufferUse aUse) noexcept;

class BufferShare;

/// Counts the bytes that connections hold against a common limit. When it is
/// exceeded, those that hold most are evicted, so that a few connections that
/// fill it can't take the room of many with ordinary messages. Thread-safe.
class BufferBudget
{
public:
  /// @param[in] aLimit bytes
  explicit BufferBudget(std::size_t aLimit)
    : m_limit(aLimit)
  {
  }

  /// @returns bytes
  std::size_t used() const;
  /// @returns bytes held for one use
  std::size_t used(BufferUse aUse) const;
  /// @returns the number of connections evicted so far
  std::uint64_t evictions() const;
  /// @returns true when so much is held that long messages should be refused
  ///          before they are received
  bool isNearLimit() const;

private:
  friend class BufferShare;

  /// @param[in] aGrowing share that is told by the result of its set()
  void evictLargest(const BufferShare& aGrowing);
  void setBytes(BufferShare& aShare, BufferUse aUse, std::size_t aBytes);
  void clear(BufferShare& aShare);

  const std::size_t m_limit;
  mutable std::mutex m_mutex; ///< guards all below, and the shares
  std::size_t m_used = 0;
  std::array<std::size_t, kBufferUses> m_usedFor{};
  std::uint64_t m_evictions = 0;
  std::list<BufferShare*> m_holders; ///< with at least a byte
};

/// The bytes that one connection holds.
class BufferShare
{
public:
  using OnEvicted = std::function<void()>;

  /// @param[in] aBudget null: no limit
  /// @param[in] aOnEvicted called when another connection's growth has evicted
  ///            this one, whose bytes no longer count; from any thread, and
  ///            with the budget locked. It frees them later: the other
  ///            connection is still reading.
  BufferShare(std::shared_ptr<BufferBudget> aBudget, OnEvicted aOnEvicted);
  ~BufferShare();
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  /// Sets the bytes that the connection holds for a use.
  /// @returns false, with nothing counted any more, when the connection was
  ///          evicted, now or earlier
  bool set(BufferUse aUse, std::size_t aBytes);
  /// As set(), for a connection with a single use.
  bool resize(std::size_t aBytes) { return set(BufferUse::Input, aBytes); }
  /// Sets the bytes held for a use if that evicts no connection.
  /// @returns false, with nothing changed, when there is no room
  bool trySet(BufferUse aUse, std::size_t aBytes);

private:
  friend class BufferBudget;

  const std::shared_ptr<BufferBudget> m_budget;
  const OnEvicted m_onEvicted;
  std::array<std::size_t, kBufferUses> m_bytesFor{};
  std::size_t m_bytes = 0; ///< for all uses
  bool m_isEvicted = false;
  std::list<BufferShare*>::iterator m_position; ///< valid while m_bytes > 0
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BUFFER_BUDGET_P_H
