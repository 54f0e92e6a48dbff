#ifndef TOUCANRIDGE_SLOT_CHOOSER_P_H
#define TOUCANRIDGE_SLOT_CHOOSER_P_H

/// Chooses the server of a sub-request and the host that holds a slot of it, by
/// estimated load.

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "view_p.h"

namespace toucanridge {

/// The destination of a sub-request.
struct Target
{
  std::uint32_t server = 0; ///< index into ServiceRule::servers
  std::uint32_t host = 0;   ///< slot holder, index into HostList::hosts
};

/// Keeps the load of each pair of server and holder.
class SlotChooser
{
public:
  /// @returns true when the host is believed to answer
  using IsAlive = std::function<bool(const std::string& aHost)>;

  SlotChooser(std::uint64_t aSeed, IsAlive aIsAlive);

  /// Constraints on a choice.
  struct Constraints
  {
    std::vector<Target> tried;                ///< not chosen again
    std::vector<std::uint32_t> barredServers; ///< indexes; never chosen
    /// Prefers the owner of the server's warmth (the holder of slot 0, see
    /// Warmth), which may use a server not known to be warm.
    bool preferOwner = false;
  };

  /// Chooses the least loaded pair of server and holder. A server that was
  /// tried for the sub-request is chosen only when no other is left.
  /// @param[in] aService index into RuleSet::services
  /// @returns nothing when no other target is left
  std::optional<Target> choose(const View& aView,
                               std::size_t aService,
                               const Constraints& aConstraints);

  /// Records a sent sub-request.
  void onSent(const std::string& aServer, const std::string& aHost);
  /// Records the end of a sub-request.
  /// @param[in] aQueued queue length that the holder reported, 0 without a
  ///            reply
  void onEnded(const std::string& aServer,
               const std::string& aHost,
               std::uint32_t aQueued);

private:
  struct Load
  {
    std::uint32_t outstanding = 0;
    double queued = 0; ///< as last reported, decays with each choice
  };
  using Key = std::pair<std::string, std::string>;

  std::mutex m_mutex;
  std::mt19937_64 m_random;
  IsAlive m_isAlive;
  std::map<Key, Load> m_loads;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SLOT_CHOOSER_P_H
