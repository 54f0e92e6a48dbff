#include "weighted_choice_p.h"

namespace toucanridge {

const std::string&
WeightedChoice::next(const std::vector<RouteTarget>& aTargets)
{
  m_currentWeights.resize(aTargets.size(), 0.0);
  double total = 0.0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    m_currentWeights[i] += aTargets[i].weight;
    total += aTargets[i].weight;
    if (m_currentWeights[i] > m_currentWeights[best]) {
      best = i;
    }
  }
  m_currentWeights[best] -= total;
  return aTargets[best].service;
}

} // namespace toucanridge
