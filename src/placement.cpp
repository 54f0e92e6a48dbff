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

/// The data centres of the rules, sorted by name so that the placement does not
/// depend on the order of lines in the rules file, with their usable hosts.
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
      rules.begin(), rules.end(), [](const auto* aLeft, const auto* aRight) {
        return aLeft->name < aRight->name;
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

  /// Picks a host by rendezvous hashing, so that removing a host moves only the
  /// slots it held.
  /// @returns an index into HostList::hosts, or SlotPlace::kNoHost when the
  ///          data centre has no host in service
  std::int32_t pickHost(std::size_t aDataCentre, std::uint64_t aSlotHash) const
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

/// Assigns the slots of a service to all data centres in round-robin order. A
/// slot whose data centre is out of service is reassigned to the one with the
/// fewest slots of this service, so that all other slots keep their data
/// centre.
/// @param[in] aOffset start of the round robin
/// @returns an index into `aCentres` for each slot; SIZE_MAX when no data
///          centre is in service
std::vector<std::size_t>
assignDataCentres(std::size_t aCount,
                  std::uint64_t aOffset,
                  const DataCentres& aCentres)
{
  constexpr std::size_t kUnassigned = SIZE_MAX;
  std::vector<std::size_t> assigned(aCount, kUnassigned);
  std::vector<std::size_t> slotCounts(aCentres.size(), 0);
  for (std::size_t k = 0; k < aCount; ++k) {
    const std::size_t centre = (aOffset + k) % aCentres.size();
    if (aCentres.inService(centre)) {
      assigned[k] = centre;
      ++slotCounts[centre];
    }
  }
  for (std::size_t k = 0; k < aCount; ++k) {
    if (assigned[k] != kUnassigned) {
      continue;
    }
    for (std::size_t i = 0; i < aCentres.size(); ++i) {
      const std::size_t centre = (aOffset + k + i) % aCentres.size();
      if (aCentres.inService(centre) &&
          (assigned[k] == kUnassigned ||
           slotCounts[centre] < slotCounts[assigned[k]])) {
        assigned[k] = centre;
      }
    }
    if (assigned[k] != kUnassigned) {
      ++slotCounts[assigned[k]];
    }
  }
  return assigned;
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
  const auto assigned = assignDataCentres(
    placement.slots.size(), hashText(aService.name, 0), aCentres);
  for (std::size_t k = 0; k < placement.slots.size(); ++k) {
    if (assigned[k] >= aCentres.size()) {
      continue;
    }
    SlotPlace& place = placement.slots[k];
    const std::uint64_t slotHash =
      hashText(aService.servers[place.server].name, place.slot + 1);
    place.host = aCentres.pickHost(assigned[k], slotHash);
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
