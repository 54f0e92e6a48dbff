#include "catalogue_keeper_p.h"

#include "log_p.h"

namespace toucanridge {

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
  m_entries[aKey] = { std::move(*aServer), TimePoint() };
}

void
CatalogueKeeper::remove(const std::string& aKey)
{
  const auto found = m_entries.find(aKey);
  if (found == m_entries.end() || found->second.expiresAt != TimePoint()) {
    return;
  }
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
    m_changed |= m_evacuated.insert(aDataCentre).second;
  } else {
    m_changed |= m_evacuated.erase(aDataCentre) > 0;
  }
}

void
CatalogueKeeper::tick()
{
  const TimePoint now = m_clock.now();
  for (auto i = m_entries.begin(); i != m_entries.end();) {
    const bool expired =
      i->second.expiresAt != TimePoint() && now >= i->second.expiresAt;
    m_changed |= expired;
    i = expired ? m_entries.erase(i) : std::next(i);
  }
}

std::shared_ptr<const ServerCatalogue>
CatalogueKeeper::build(std::uint64_t aRevision)
{
  auto catalogue = std::make_shared<ServerCatalogue>();
  catalogue->revision = aRevision;
  catalogue->evacuated = m_evacuated;
  for (const auto& entry : m_entries) {
    catalogue->servers.push_back(entry.second.server);
  }
  m_changed = false;
  return catalogue;
}

} // namespace toucanridge
