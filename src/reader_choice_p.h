#ifndef TOUCANRIDGE_READER_CHOICE_P_H
#define TOUCANRIDGE_READER_CHOICE_P_H

/// Chooses the hosts that read the platform; the others follow them.

#include <string>
#include <vector>

namespace toucanridge {

/// A host as the choice sees it.
struct ReaderCandidate
{
  std::string host;
  bool inTrouble = false; ///< it reads, and the platform doesn't answer it
};

/// One host of a data centre reads, however many there are. For each of them
/// that the platform doesn't answer another one reads as well, up to a limit: a
/// call costs the same when it is refused.
/// @param[in] aCandidates hosts of the data centre that are believed alive
/// @returns true when the host should read
bool
isReader(const std::vector<ReaderCandidate>& aCandidates,
         const std::string& aHost);

} // namespace toucanridge

#endif // TOUCANRIDGE_READER_CHOICE_P_H
