#include "reader_choice_p.h"

#include <algorithm>

#include <xxhash.h>

namespace toucanridge {
namespace {

/// When a reader stops receiving changes without an error, they still arrive
/// through the readers of other data centres.
constexpr std::size_t kReadersPerDataCentre = 1;
/// Limit for readers added in place of those that the platform doesn't answer.
constexpr std::size_t kMaxExtraReaders = 2;
constexpr std::uint64_t kReaderSeed = 0x72656164;

/// Rank in rendezvous hashing; hosts with the lowest ranks read.
std::uint64_t
rankOf(const std::string& aHost)
{
  return XXH3_64bits_withSeed(aHost.data(), aHost.size(), kReaderSeed);
}

} // namespace

bool
isReader(const std::vector<ReaderCandidate>& aCandidates,
         const std::string& aHost)
{
  const std::uint64_t own = rankOf(aHost);
  std::size_t rankedBefore = 0;
  std::size_t failing = 0;
  for (const ReaderCandidate& candidate : aCandidates) {
    if (candidate.host != aHost && rankOf(candidate.host) < own) {
      ++rankedBefore;
      failing += candidate.readsFail ? 1 : 0;
    }
  }
  return rankedBefore <
         kReadersPerDataCentre + std::min(failing, kMaxExtraReaders);
}

} // namespace toucanridge
