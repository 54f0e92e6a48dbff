#include "reader_choice_p.h"

#include <algorithm>

#include <xxhash.h>

namespace toucanridge {
namespace {

/// Readers of a data centre. When one is cut off without an error, word of a
/// change still comes from the readers of other data centres.
constexpr std::size_t kReaders = 1;
constexpr std::size_t kMoreInTrouble = 2;
constexpr std::uint64_t kReaderSeed = 0x72656164;

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
  std::size_t before = 0;
  std::size_t troubled = 0;
  for (const ReaderCandidate& candidate : aCandidates) {
    if (candidate.host != aHost && rankOf(candidate.host) < own) {
      ++before;
      troubled += candidate.inTrouble ? 1 : 0;
    }
  }
  return before < kReaders + std::min(troubled, kMoreInTrouble);
}

} // namespace toucanridge
