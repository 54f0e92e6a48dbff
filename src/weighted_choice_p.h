#ifndef TOUCANRIDGE_WEIGHTED_CHOICE_P_H
#define TOUCANRIDGE_WEIGHTED_CHOICE_P_H

/// Divides requests among a route's targets in proportion to their weights.

#include <string>
#include <vector>

#include "routing_p.h"

namespace toucanridge {

/// Smooth weighted round robin: each target's share is exact over any run of
/// requests, up to one request.
class WeightedChoice
{
public:
  /// @param[in] aTargets not empty
  /// @returns the service for the next request
  const std::string& next(const std::vector<RouteTarget>& aTargets);

private:
  std::vector<double> m_owed; ///< parallel to the targets
};

} // namespace toucanridge

#endif // TOUCANRIDGE_WEIGHTED_CHOICE_P_H
