#ifndef TOUCANRIDGE_PUBLISHED_ITEMS_P_H
#define TOUCANRIDGE_PUBLISHED_ITEMS_P_H

/// This host's copy of the key-value items that the platform publishes. It is
/// updated from the platform or from a peer's copy, never to an older revision
/// or to a value that was written earlier.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wire_p.h"

namespace toucanridge {

/// One published key-value pair.
struct PublishedItem
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0; ///< of the last change of the key
  bool deleted = false;       ///< in a change: the key was deleted

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    wireText(aArchive, key);
    wireText(aArchive, value);
    aArchive(revision, deleted);
  }
};

/// Changes that bring a copy from one revision to a later one.
struct ItemChanges
{
  std::uint64_t to = 0; ///< revision once the changes are applied
  bool whole = false;   ///< holds all items; keys not listed are deleted
  std::vector<PublishedItem> items;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(to, whole);
    wireList(aArchive, items);
  }
};

/// Asks a peer for the changes after a revision.
struct ItemsFetch
{
  std::uint64_t baseRevision = 0; ///< revision of the copy that asks

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(baseRevision);
  }
};

/// What the values of items tell about the order in which they were written.
class ItemOrderI
{
public:
  virtual ~ItemOrderI() = default;
  /// @returns true when aValue was certainly written before aOther, a value of
  ///          the same key
  virtual bool isOlder(const std::string& aKey,
                       const std::string& aValue,
                       const std::string& aOther) const = 0;
  /// @returns true when the item is replaced and never removed
  virtual bool isPermanent(const std::string& aKey) const = 0;
};

class PublishedItems
{
public:
  explicit PublishedItems(const ItemOrderI& aOrder);

  /// @returns the revision up to which the copy is complete, 0 when empty
  std::uint64_t revision() const { return m_revision; }
  const std::map<std::string, PublishedItem>& items() const { return m_items; }

  /// Applies changes from the platform or a peer. Of a whole copy that isn't
  /// newer than this one, it takes only the values that were written later.
  /// @returns keys whose value changed
  std::set<std::string> apply(const ItemChanges& aChanges);
  /// @returns the changes that bring a copy at that revision to this one's
  ItemChanges changesAfter(std::uint64_t aRevision) const;

private:
  struct Change
  {
    std::uint64_t revision = 0;
    std::string key;
  };
  /// Changes kept for peers that are a little behind; peers further behind get
  /// all items.
  static constexpr std::size_t kMaxHistory = 1024;

  bool applyItem(const PublishedItem& aItem);
  std::set<std::string> takeLaterValues(
    const std::vector<PublishedItem>& aItems);
  void addToHistory(std::uint64_t aRevision, const std::string& aKey);

  const ItemOrderI& m_order;
  std::map<std::string, PublishedItem> m_items;
  std::uint64_t m_revision = 0;
  std::deque<Change> m_history;     ///< oldest first
  std::uint64_t m_historyStart = 0; ///< m_history holds all changes after it
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PUBLISHED_ITEMS_P_H
