#include "reader_choice_p.h"

#include <algorithm>

#include <xxhash.h>

namespace toucanridge {
namespace {

/// When a reader stops receiving changes without an error, they still arrive
/// through the readers of other data centres.
constexpr std::size_t kReadersPerDataCentre = 1;
/// Substitutes for each reader that the platform doesn't answer. Each needs
/// about a second to find out whether it is answered, so with one at a time the
/// search would take longer than a change may take to be in force.
constexpr std::size_t kSubstitutesPerFailing = 2;
constexpr std::size_t kMaxSubstitutes = 7;
constexpr std::uint64_t kReaderSeed = 0x72656164;

/// Rank in rendezvous hashing; hosts with the lowest ranks read.
std::uint64_t
rankOf(const std::string& aHost)
{
  return XXH3_64bits_withSeed(aHost.data(), aHost.size(), kReaderSeed);
}

} // namespace

ReadRole
chooseReadRole(const std::vector<ReaderCandidate>& aCandidates,
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
  if (rankedBefore < kReadersPerDataCentre) {
    return ReadRole::Reader;
  }
  const std::size_t substitutes =
    std::min(kSubstitutesPerFailing * failing, kMaxSubstitutes);
  return rankedBefore < kReadersPerDataCentre + substitutes
           ? ReadRole::Substitute
           : ReadRole::Follower;
}

std::vector<std::string>
substituteReaders(std::vector<std::string> aHosts, const std::string& aReader)
{
  const std::uint64_t own = rankOf(aReader);
  aHosts.erase(std::remove_if(aHosts.begin(),
                              aHosts.end(),
                              [&](const std::string& aHost) {
                                return aHost == aReader || rankOf(aHost) < own;
                              }),
               aHosts.end());
  std::sort(aHosts.begin(),
            aHosts.end(),
            [](const std::string& aOne, const std::string& aOther) {
              return rankOf(aOne) < rankOf(aOther);
            });
  aHosts.resize(std::min(aHosts.size(), kMaxSubstitutes));
  return aHosts;
}

} // namespace toucanridge
