#ifndef TOUCANRIDGE_READER_CHOICE_P_H
#define TOUCANRIDGE_READER_CHOICE_P_H

/// Chooses the hosts that read the platform's published items; the others copy
/// what these read. ConfigSync::findRole() chooses the readers of the rules and
/// the host list.

#include <cstdint>
#include <string>
#include <vector>

namespace toucanridge {

/// A host that may read the platform.
struct ReaderCandidate
{
  std::string host;
  bool readsFail = false; ///< reads, but gets no answer from the platform
};

/// How a host gets the published items.
enum class ReadRole : std::uint8_t
{
  Follower,   ///< copies them from its peers
  Reader,     ///< reads the platform
  Substitute, ///< reads in place of a reader that gets no answer
};

/// Decides whether a host reads the platform. One host per data centre does,
/// regardless of the number of hosts. For each reader that gets no answer two
/// more hosts read as well, up to a limit, because a refused call costs as much
/// as any other. Answers the load of a platform that doesn't answer most of the
/// hosts.
/// @param[in] aCandidates hosts of the data centre that are believed alive
ReadRole
chooseReadRole(const std::vector<ReaderCandidate>& aCandidates,
               const std::string& aHost);

/// @param[in] aHosts names of hosts of the data centre that are believed alive
/// @returns the hosts that may have to read in place of a reader that gets no
///          answer, next one first
std::vector<std::string>
substituteReaders(std::vector<std::string> aHosts, const std::string& aReader);

} // namespace toucanridge

#endif // TOUCANRIDGE_READER_CHOICE_P_H
