#include "routing_p.h"

#include <algorithm>

#include <xxhash.h>

namespace toucanridge {

std::uint64_t
Route::gatherHash() const
{
  std::string text =
    std::to_string(topRecords) + ' ' + std::to_string(maxAttempts);
  for (const std::string& shard : shards) {
    text.append(" ").append(shard);
  }
  return XXH3_64bits(text.data(), text.size());
}

RoutingTable::RoutingTable(std::uint64_t aVersion,
                           std::vector<Route> aRoutes,
                           std::vector<ServiceContract> aServices,
                           HttpLimits aLimits)
  : m_version(aVersion)
  , m_routes(std::move(aRoutes))
  , m_limits(aLimits)
{
  for (ServiceContract& service : aServices) {
    const std::string name = service.name;
    m_services.emplace(name, std::move(service));
  }
  for (const Route& route : m_routes) {
    m_byHost[route.host].push_back(&route);
  }
  for (auto& entry : m_byHost) {
    std::stable_sort(entry.second.begin(),
                     entry.second.end(),
                     [](const Route* aOne, const Route* aOther) {
                       return aOne->prefix.size() > aOther->prefix.size();
                     });
  }
}

const Route*
RoutingTable::find(std::string_view aHost, std::string_view aPath) const
{
  const auto found = m_byHost.find(aHost);
  if (found == m_byHost.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (aPath.compare(0, route->prefix.size(), route->prefix) == 0) {
      return route;
    }
  }
  return nullptr;
}

const ServiceContract*
RoutingTable::service(const std::string& aName) const
{
  const auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr : &found->second;
}

std::string_view
hostWithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.rfind(':'));
}

} // namespace toucanridge
