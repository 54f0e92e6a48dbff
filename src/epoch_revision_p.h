#ifndef TOUCANRIDGE_EPOCH_REVISION_P_H
#define TOUCANRIDGE_EPOCH_REVISION_P_H

/// Revisions that only rise although those of their publisher may go back: a
/// publisher that returns from a copy has lost its latest changes and gives out
/// their revisions again, in a new epoch. Such a revision is
/// epoch x kRevisionsPerEpoch + the publisher's revision.

#include <algorithm>
#include <cstdint>

namespace toucanridge {

/// More than the revisions of any epoch; a power of ten keeps both parts
/// readable.
constexpr std::uint64_t kRevisionsPerEpoch = 1'000'000'000'000;
constexpr std::uint64_t kMaxEpoch = 1'000'000;

/// @param[in] aEpoch 0 for a publisher without epochs
/// @param[in] aNumber revision that the publisher gave out in the epoch
constexpr std::uint64_t
joinRevision(std::uint64_t aEpoch, std::uint64_t aNumber)
{
  return std::min(aEpoch, kMaxEpoch) * kRevisionsPerEpoch +
         std::min(aNumber, kRevisionsPerEpoch - 1);
}

constexpr std::uint64_t
epochOf(std::uint64_t aRevision)
{
  return aRevision / kRevisionsPerEpoch;
}

/// @returns the publisher's revision
constexpr std::uint64_t
numberInEpoch(std::uint64_t aRevision)
{
  return aRevision % kRevisionsPerEpoch;
}

} // namespace toucanridge

#endif // TOUCANRIDGE_EPOCH_REVISION_P_H
