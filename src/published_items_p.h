#ifndef TOUCANRIDGE_PUBLISHED_ITEMS_P_H
#define TOUCANRIDGE_PUBLISHED_ITEMS_P_H

/// This host's copy of the items that the platform publishes, by key. Copies
/// move forward only, from the platform or from a peer's copy.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wire_p.h"

namespace toucanridge {

/// One published value.
struct PublishedItem
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0; ///< of its last change
  bool deleted = false;       ///< in a change: the key is gone

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    wireText(aArchive, key);
    wireText(aArchive, value);
    aArchive(revision, deleted);
  }
};

/// Brings a copy from one revision to a later one.
struct ItemChanges
{
  std::uint64_t to = 0;
  bool whole = false; ///< all items; keys not named are gone
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
  std::uint64_t have = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(have);
  }
};

class PublishedItems
{
public:
  /// @returns the revision up to which the copy is complete, 0 when empty
  std::uint64_t revision() const { return m_revision; }
  const std::map<std::string, PublishedItem>& items() const { return m_items; }

  /// Takes changes of the platform or a peer.
  /// @returns keys whose value changed; none when the changes are not newer
  std::set<std::string> apply(const ItemChanges& aChanges);
  /// @returns what a copy at that revision lacks
  ItemChanges changesAfter(std::uint64_t aRevision) const;

private:
  struct Change
  {
    std::uint64_t revision = 0;
    std::string key;
  };
  /// Changes kept for peers that are a little behind; others get the whole.
  static constexpr std::size_t kMaxHistory = 1024;

  bool applyOne(const PublishedItem& aItem);
  void remember(std::uint64_t aRevision, const std::string& aKey);

  std::map<std::string, PublishedItem> m_items;
  std::uint64_t m_revision = 0;
  std::deque<Change> m_history;    ///< oldest first
  std::uint64_t m_historyFrom = 0; ///< changes after it are in the history
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PUBLISHED_ITEMS_P_H
