#include "published_items_p.h"

#include <algorithm>

namespace toucanridge {

void
PublishedItems::remember(std::uint64_t aRevision, const std::string& aKey)
{
  m_history.push_back({ aRevision, aKey });
  while (m_history.size() > kMaxHistory) {
    m_historyFrom = std::max(m_historyFrom, m_history.front().revision);
    m_history.pop_front();
  }
}

/// @returns true when the item differs from the one held
bool
PublishedItems::applyOne(const PublishedItem& aItem)
{
  const auto held = m_items.find(aItem.key);
  if (aItem.deleted) {
    if (held == m_items.end() || held->second.revision > aItem.revision) {
      return false;
    }
    m_items.erase(held);
    remember(aItem.revision, aItem.key);
    return true;
  }
  if (held != m_items.end() && held->second.revision >= aItem.revision) {
    return false;
  }
  const bool differs =
    held == m_items.end() || held->second.value != aItem.value;
  m_items[aItem.key] = aItem;
  remember(aItem.revision, aItem.key);
  return differs;
}

std::set<std::string>
PublishedItems::apply(const ItemChanges& aChanges)
{
  std::set<std::string> changed;
  if (aChanges.to <= m_revision) {
    return changed;
  }
  if (aChanges.whole) {
    std::set<std::string> named;
    for (const PublishedItem& item : aChanges.items) {
      named.insert(item.key);
    }
    std::vector<PublishedItem> gone;
    for (const auto& [key, item] : m_items) {
      if (named.count(key) == 0) {
        gone.push_back({ key, {}, aChanges.to, true });
      }
    }
    for (const PublishedItem& item : gone) {
      if (applyOne(item)) {
        changed.insert(item.key);
      }
    }
  }
  for (const PublishedItem& item : aChanges.items) {
    if (applyOne(item)) {
      changed.insert(item.key);
    }
  }
  if (aChanges.whole) {
    // Deletions between the two revisions are not known one by one.
    m_historyFrom = std::max(m_historyFrom, aChanges.to);
    m_history.clear();
  }
  m_revision = aChanges.to;
  return changed;
}

ItemChanges
PublishedItems::changesAfter(std::uint64_t aRevision) const
{
  ItemChanges changes;
  changes.to = m_revision;
  if (aRevision < m_historyFrom || aRevision == 0) {
    changes.whole = true;
    for (const auto& entry : m_items) {
      changes.items.push_back(entry.second);
    }
    return changes;
  }
  std::set<std::string> keys;
  for (const Change& change : m_history) {
    if (change.revision > aRevision) {
      keys.insert(change.key);
    }
  }
  for (const std::string& key : keys) {
    const auto held = m_items.find(key);
    if (held != m_items.end()) {
      changes.items.push_back(held->second);
    } else {
      changes.items.push_back({ key, {}, m_revision, true });
    }
  }
  return changes;
}

} // namespace toucanridge
