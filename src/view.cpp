#include "view_p.h"

#include <algorithm>

#include "placement_p.h"

namespace toucanridge {

const Host*
View::findHost(const std::string& aName) const
{
  const auto found =
    std::find_if(hosts.hosts.begin(),
                 hosts.hosts.end(),
                 [&](const Host& aEntry) { return aEntry.name == aName; });
  return found == hosts.hosts.end() ? nullptr : &*found;
}

bool
View::inService(const Host& aHost) const
{
  const DataCentreRule* dataCentre = rules->findDataCentre(aHost.dataCentre);
  return aHost.state == HostState::Live && dataCentre != nullptr &&
         dataCentre->inService &&
         rules->hostsOutOfService.count(aHost.name) == 0;
}

ViewPtr
makeView(std::uint64_t aRulesRevision,
         std::shared_ptr<const RuleSet> aRules,
         HostList aHosts)
{
  auto view = std::make_shared<View>();
  view->id = { aRulesRevision, aHosts.revision };
  view->rules = std::move(aRules);
  view->hosts = std::move(aHosts);
  view->placement = placeSlots(*view);
  return view;
}

} // namespace toucanridge
