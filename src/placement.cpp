#include "placement_p.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace toucanridge {
namespace {

std::uint64_t
hashText(const std::string& aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

/// The data centres of the rules in an order that does not depend on the
/// order of lines.
class DataCentres
{
public:
  explicit DataCentres(const View& aView)
  {
    std::vector<const DataCentreRule*> rules;
    for (const DataCentreRule& rule : aView.rules->dataCentres) {
      rules.push_back(&rule);
    }
    std::sort(
      rules.begin(), rules.end(), [](const auto* a_, const auto* aRight) {
        return a_->name < aRight->name;
      });
    for (const DataCentreRule* rule : rules) {
      std::vector<Candidate> candidates;
      const auto& hosts = aView.hosts.hosts;
      for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (hosts[i].dataCentre == rule->name && aView.inService(hosts[i])) {
          candidates.push_back(
            { static_cast<std::int32_t>(i), hashText(hosts[i].name, 0) });
        }
      }
      m_inService.push_back(rule->inService);
      m_candidates.push_back(std::move(candidates));
    }
  }

  std::size_t size() const { return m_inService.size(); }
  bool inService(std::size_t aIndex) const { return m_inService[aIndex]; }

  /// Rendezvous hashing: removing a host moves only the slots it held.
  std::int32_t holder(std::size_t aDataCentre, std::uint64_t aSlotHash) const
  {
    std::int32_t best = SlotPlace::kNoHost;
    std::uint64_t bestWeight = 0;
    for (const Candidate& candidate : m_candidates[aDataCentre]) {
      const std::uint64_t key[2] = { candidate.nameHash, aSlotHash };
      const std::uint64_t weight = XXH3_64bits(key, sizeof key);
      if (best == SlotPlace::kNoHost || weight > bestWeight) {
        best = candidate.host;
        bestWeight = weight;
      }
    }
    return best;
  }

private:
  struct Candidate
  {
    std::int32_t host;
    std::uint64_t nameHash;
  };

  std::vector<bool> m_inService;
  std::vector<std::vector<Candidate>> m_candidates;
};

/// Deals the slots of a service over all data centres; the slots that fall to
/// one out of service go to the data centres with the fewest of this service,
/// so that the other slots keep their place.
std::vector<std::size_t>
dealSlots(std::size_t aCount,
          std::uint64_t aOffset,
          const DataCentres& aCentres)
{
  constexpr std::size_t kUnplaced = SIZE_MAX;
  std::vector<std::size_t> dealt(aCount, kUnplaced);
  std::vector<std::size_t> load(aCentres.size(), 0);
  for (std::size_t k = 0; k < aCount; ++k) {
    const std::size_t centre = (aOffset + k) % aCentres.size();
    if (aCentres.inService(centre)) {
      dealt[k] = centre;
      ++load[centre];
    }
  }
  for (std::size_t k = 0; k < aCount; ++k) {
    if (dealt[k] != kUnplaced) {
      continue;
    }
    for (std::size_t i = 0; i < aCentres.size(); ++i) {
      const std::size_t centre = (aOffset + k + i) % aCentres.size();
      if (aCentres.inService(centre) &&
          (dealt[k] == kUnplaced || load[centre] < load[dealt[k]])) {
        dealt[k] = centre;
      }
    }
    if (dealt[k] != kUnplaced) {
      ++load[dealt[k]];
    }
  }
  return dealt;
}

ServicePlacement
placeService(const ServiceRule& aService, const DataCentres& aCentres)
{
  ServicePlacement placement;
  // Slot-major order puts the first slots of different servers into different
  // data centres.
  for (std::uint32_t slot = 0; slot < aService.slots; ++slot) {
    for (std::uint32_t s = 0; s < aService.servers.size(); ++s) {
      placement.slots.push_back({ s, slot, SlotPlace::kNoHost });
    }
  }
  const auto dealt =
    dealSlots(placement.slots.size(), hashText(aService.name, 0), aCentres);
  for (std::size_t k = 0; k < placement.slots.size(); ++k) {
    if (dealt[k] >= aCentres.size()) {
      continue;
    }
    SlotPlace& place = placement.slots[k];
    const std::uint64_t slotHash =
      hashText(aService.servers[place.server].name, place.slot + 1);
    place.host = aCentres.holder(dealt[k], slotHash);
  }
  return placement;
}

} // namespace

std::vector<ServicePlacement>
placeSlots(const View& aView)
{
  std::vector<ServicePlacement> placement;
  const DataCentres centres(aView);
  for (const ServiceRule& service : aView.rules->services) {
    placement.push_back(placeService(service, centres));
  }
  return placement;
}

} // namespace toucanridge
