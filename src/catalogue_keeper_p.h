#ifndef TOUCANRIDGE_CATALOGUE_KEEPER_P_H
#define TOUCANRIDGE_CATALOGUE_KEEPER_P_H

/// Builds the catalogue of backend servers from single published entries. Keeps
/// an entry for a grace period when it disappears without notice, and waits for
/// confirmation when an entry or the end of an evacuation may come from an old
/// copy of the platform's items.

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "clock_p.h"
#include "routing_p.h"

namespace toucanridge {

class CatalogueKeeper
{
public:
  /// How long an entry is kept that is removed without having been marked as
  /// draining. Entries that expired during a platform outage are published
  /// again within about two seconds, and a server may be sent requests for up
  /// to three seconds after its removal.
  static constexpr std::chrono::milliseconds kLapseGrace{ 2000 };

  /// How long a removed entry that appears again unchanged isn't used. The
  /// entry of a server that is gone lapses within three heartbeats.
  static constexpr std::chrono::milliseconds kReturnDelay{ 4000 };
  /// How long an evacuation is kept whose item is missing in a listing. After
  /// the platform has lost it, the operator writes it again.
  static constexpr std::chrono::milliseconds kEvacuationGrace{ 5000 };

  explicit CatalogueKeeper(const ClockI& aClock);

  /// Stores an entry that was published or changed.
  /// @param[in] aServer nothing when the entry names no usable server; the
  ///            stored entry is then dropped without a grace period
  void set(const std::string& aKey, std::optional<BackendServer> aServer);
  /// Handles the removal of an entry: drops it at once when it is draining,
  /// after kLapseGrace otherwise.
  void remove(const std::string& aKey);
  /// Begins or ends the evacuation of a data centre.
  void setEvacuated(const std::string& aDataCentre, bool aEvacuated);
  /// Handles an evacuation that is missing in a listing: ends it after
  /// kEvacuationGrace.
  void onEvacuationMissing(const std::string& aDataCentre);

  /// Applies the periods that have ended.
  void tick();
  /// @returns true when the catalogue differs from the one built last
  bool isChanged() const { return m_changed; }
  /// @returns the catalogue as of now
  std::shared_ptr<const ServerCatalogue> build(std::uint64_t aRevision);

private:
  struct Entry
  {
    BackendServer server;
    TimePoint expiresAt;  ///< end of the grace period; unset while published
    TimePoint usableFrom; ///< not in the catalogue before
  };
  /// The last entry of a server that was removed.
  struct Removed
  {
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0;
    TimePoint at;
  };

  void rememberRemoved(const std::string& aKey, const BackendServer& aServer);
  bool mayBeGone(const std::string& aKey, const BackendServer& aServer) const;

  const ClockI& m_clock;
  std::map<std::string, Entry> m_entries;   ///< by key
  std::map<std::string, Removed> m_removed; ///< by key
  /// Data centres, with the end of the grace period, unset while published.
  std::map<std::string, TimePoint> m_evacuated;
  bool m_changed = true;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CATALOGUE_KEEPER_P_H
