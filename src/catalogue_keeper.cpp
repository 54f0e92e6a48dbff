#include "catalogue_keeper_p.h"

#include "log_p.h"

namespace toucanridge {
namespace {

/// How long removed entries are remembered: longer than the changes that the
/// platform may lose.
constexpr std::chrono::seconds kRemovedMemory{ 60 };

} // namespace

CatalogueKeeper::CatalogueKeeper(const ClockI& aClock)
  : m_clock(aClock)
{
}

void
CatalogueKeeper::set(const std::string& aKey,
                     std::optional<BackendServer> aServer)
{
  m_changed = true;
  if (!aServer) {
    m_entries.erase(aKey);
    return;
  }
  Entry& entry = m_entries[aKey];
  const TimePoint now = m_clock.now();
  if (mayBeGone(aKey, *aServer)) {
    entry.usableFrom = now + kReturnDelay;
    logWrite(LogLevel::Info,
             LogLine("server-entry-returned")
               .add("server", aServer->id)
               .add("service", aServer->service)
               .add("sequence", aServer->sequence));
  } else {
    entry.usableFrom = TimePoint();
  }
  m_removed.erase(aKey);
  entry.server = std::move(*aServer);
  entry.expiresAt = TimePoint();
}

/// @returns true when the entry was removed before and its server has published
///          nothing since
bool
CatalogueKeeper::mayBeGone(const std::string& aKey,
                           const BackendServer& aServer) const
{
  const auto entry = m_removed.find(aKey);
  return entry != m_removed.end() &&
         entry->second.startedMs == aServer.startedMs &&
         aServer.sequence <= entry->second.sequence;
}

void
CatalogueKeeper::rememberRemoved(const std::string& aKey,
                                 const BackendServer& aServer)
{
  m_removed[aKey] = { aServer.startedMs, aServer.sequence, m_clock.now() };
}

void
CatalogueKeeper::remove(const std::string& aKey)
{
  const auto found = m_entries.find(aKey);
  if (found == m_entries.end() || found->second.expiresAt != TimePoint()) {
    return;
  }
  rememberRemoved(aKey, found->second.server);
  if (found->second.server.draining) {
    m_entries.erase(found);
    m_changed = true;
    return;
  }
  found->second.expiresAt = m_clock.now() + kLapseGrace;
  logWrite(LogLevel::Info,
           LogLine("server-entry-lapsed")
             .add("server", found->second.server.id)
             .add("service", found->second.server.service));
}

void
CatalogueKeeper::setEvacuated(const std::string& aDataCentre, bool aEvacuated)
{
  if (aEvacuated) {
    m_changed |= m_evacuated.count(aDataCentre) == 0;
    m_evacuated[aDataCentre] = TimePoint();
  } else {
    m_changed |= m_evacuated.erase(aDataCentre) > 0;
  }
}

void
CatalogueKeeper::onEvacuationMissing(const std::string& aDataCentre)
{
  const auto found = m_evacuated.find(aDataCentre);
  if (found != m_evacuated.end() && found->second == TimePoint()) {
    found->second = m_clock.now() + kEvacuationGrace;
    logWrite(LogLevel::Warn,
             LogLine("evacuation-missing").add("data_centre", aDataCentre));
  }
}

void
CatalogueKeeper::tick()
{
  const TimePoint now = m_clock.now();
  const auto hasPassed = [now](TimePoint aTime) {
    return aTime != TimePoint() && now >= aTime;
  };
  for (auto i = m_entries.begin(); i != m_entries.end();) {
    Entry& entry = i->second;
    if (hasPassed(entry.usableFrom)) {
      entry.usableFrom = TimePoint();
      m_changed = true;
    }
    const bool expired = hasPassed(entry.expiresAt);
    m_changed |= expired;
    i = expired ? m_entries.erase(i) : std::next(i);
  }
  for (auto i = m_evacuated.begin(); i != m_evacuated.end();) {
    const bool ended = hasPassed(i->second);
    m_changed |= ended;
    i = ended ? m_evacuated.erase(i) : std::next(i);
  }
  for (auto i = m_removed.begin(); i != m_removed.end();) {
    i =
      now - i->second.at >= kRemovedMemory ? m_removed.erase(i) : std::next(i);
  }
}

std::shared_ptr<const ServerCatalogue>
CatalogueKeeper::build(std::uint64_t aRevision)
{
  auto catalogue = std::make_shared<ServerCatalogue>();
  catalogue->revision = aRevision;
  for (const auto& entry : m_evacuated) {
    catalogue->evacuated.insert(entry.first);
  }
  const TimePoint now = m_clock.now();
  for (const auto& [key, entry] : m_entries) {
    if (now >= entry.usableFrom) {
      catalogue->servers.push_back(entry.server);
    }
  }
  m_changed = false;
  return catalogue;
}

} // namespace toucanridge
