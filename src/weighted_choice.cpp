#include "weighted_choice_p.h"

namespace toucanridge {

const std::string&
WeightedChoice::next(const std::vector<RouteTarget>& aTargets)
{
  m_owed.resize(aTargets.size(), 0.0);
  double total = 0.0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    m_owed[i] += aTargets[i].weight;
    total += aTargets[i].weight;
    if (m_owed[i] > m_owed[best]) {
      best = i;
    }
  }
  m_owed[best] -= total;
  return aTargets[best].service;
}

} // namespace toucanridge
