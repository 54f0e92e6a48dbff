#include "published_items_p.h"

#include <algorithm>

namespace toucanridge {

PublishedItems::PublishedItems(const ItemOrderI& aOrder)
  : m_order(aOrder)
{
}

void
PublishedItems::addToHistory(std::uint64_t aRevision, const std::string& aKey)
{
  m_history.push_back({ aRevision, aKey });
  while (m_history.size() > kMaxHistory) {
    m_historyStart = std::max(m_historyStart, m_history.front().revision);
    m_history.pop_front();
  }
}

/// @returns true when the item differs from the one held
bool
PublishedItems::applyItem(const PublishedItem& aItem)
{
  const auto held = m_items.find(aItem.key);
  if (aItem.deleted) {
    if (held == m_items.end() || held->second.revision > aItem.revision ||
        m_order.isPermanent(aItem.key)) {
      return false;
    }
    m_items.erase(held);
    addToHistory(aItem.revision, aItem.key);
    return true;
  }
  if (held != m_items.end() && held->second.revision >= aItem.revision) {
    return false;
  }
  const bool differs =
    held == m_items.end() || held->second.value != aItem.value;
  if (held != m_items.end() && differs &&
      m_order.isOlder(aItem.key, aItem.value, held->second.value)) {
    // The platform has lost the later value; its writer writes it again.
    held->second.revision = aItem.revision;
    return false;
  }
  m_items[aItem.key] = aItem;
  addToHistory(aItem.revision, aItem.key);
  return differs;
}

/// Takes the values that were written later than those held, or whose item is
/// permanent and not held.
std::set<std::string>
PublishedItems::takeLaterValues(const std::vector<PublishedItem>& aItems)
{
  std::set<std::string> changed;
  for (const PublishedItem& item : aItems) {
    const auto held = m_items.find(item.key);
    const bool isLater =
      held == m_items.end()
        ? m_order.isPermanent(item.key)
        : m_order.isOlder(item.key, held->second.value, item.value);
    if (isLater) {
      PublishedItem& taken = m_items[item.key];
      taken.key = item.key;
      taken.value = item.value;
      changed.insert(item.key);
    }
  }
  return changed;
}

std::set<std::string>
PublishedItems::apply(const ItemChanges& aChanges)
{
  std::set<std::string> changed;
  if (aChanges.to <= m_revision) {
    return aChanges.whole ? takeLaterValues(aChanges.items) : changed;
  }
  if (aChanges.whole) {
    std::set<std::string> listedKeys;
    for (const PublishedItem& item : aChanges.items) {
      listedKeys.insert(item.key);
    }
    std::vector<PublishedItem> removed;
    for (const auto& [key, item] : m_items) {
      if (listedKeys.count(key) == 0) {
        removed.push_back({ key, {}, aChanges.to, true });
      }
    }
    for (const PublishedItem& item : removed) {
      if (applyItem(item)) {
        changed.insert(item.key);
      }
    }
  }
  for (const PublishedItem& item : aChanges.items) {
    if (applyItem(item)) {
      changed.insert(item.key);
    }
  }
  if (aChanges.whole) {
    // Single deletions between the two revisions are unknown, so the history
    // can't serve peers whose copy is older than this listing.
    m_historyStart = std::max(m_historyStart, aChanges.to);
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
  if (aRevision < m_historyStart || aRevision == 0) {
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
