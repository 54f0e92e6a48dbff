#ifndef TOUCANRIDGE_PLACEMENT_P_H
#define TOUCANRIDGE_PLACEMENT_P_H

#include <vector>

#include "view_p.h"

namespace toucanridge {

/// Assigns each slot of each service to a data centre and a host in it.
/// @param[in] aView supplies the rules and the hosts; its placement is not read
/// @returns one entry per service, in the order of RuleSet::services
std::vector<ServicePlacement>
placeSlots(const View& aView);

} // namespace toucanridge

#endif // TOUCANRIDGE_PLACEMENT_P_H
