#ifndef TOUCANRIDGE_READER_CHOICE_P_H
#define TOUCANRIDGE_READER_CHOICE_P_H

/// Chooses the hosts that read the platform's published items; the others copy
/// what these read. ConfigSync::findRole() chooses the readers of the rules and
/// the host list.

#include <string>
#include <vector>

namespace toucanridge {

/// A host that may read the platform.
struct ReaderCandidate
{
  std::string host;
  bool readsFail = false; ///< reads, but gets no answer from the platform
};

/// Decides whether a host reads the platform. One host per data centre does,
/// regardless of the number of hosts. For each reader that gets no answer one
/// more host reads as well, up to a limit, because a refused call costs as much
/// as any other.
/// @param[in] aCandidates hosts of the data centre that are believed alive
/// @returns true when the host should read
bool
isReader(const std::vector<ReaderCandidate>& aCandidates,
         const std::string& aHost);

} // namespace toucanridge

#endif // TOUCANRIDGE_READER_CHOICE_P_H
