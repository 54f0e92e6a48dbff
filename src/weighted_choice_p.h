#ifndef TOUCANRIDGE_WEIGHTED_CHOICE_P_H
#define TOUCANRIDGE_WEIGHTED_CHOICE_P_H

/// Distributes requests to a route's targets in proportion to their weights.

#include <string>
#include <vector>

#include "routing_p.h"

namespace toucanridge {

/// Smooth weighted round robin: over any run of requests, the number that a
/// target gets differs from its exact share by at most one.
class WeightedChoice
{
public:
  /// @param[in] aTargets not empty
  /// @returns the service for the next request
  const std::string& next(const std::vector<RouteTarget>& aTargets);

private:
  std::vector<double> m_currentWeights; ///< parallel to the targets
};

} // namespace toucanridge

#endif // TOUCANRIDGE_WEIGHTED_CHOICE_P_H
