#ifndef TOUCANRIDGE_RELAY_PLAN_P_H
#define TOUCANRIDGE_RELAY_PLAN_P_H

/// Decides which shards of a query this host asks itself and which it leaves
/// to a peer in another data centre.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucanridge {

struct RelayPlan
{
  std::vector<std::size_t> direct; ///< shards that this host asks
  std::map<std::string, std::vector<std::size_t>> relayed; ///< by data centre
};

/// Shards with a server in this host's data centre are asked directly. The
/// others go to as few data centres as cover them: a peer's merged reply takes
/// fewer bytes between data centres than the parts it is made of.
/// @param[in] aCentres data centres with a usable server, for each shard
/// @param[in] aOwn this host's data centre
/// @param[in] aPeers data centres in which a peer can help
/// @param[in] aTurn shifts the choice between equals from query to query
RelayPlan
planRelays(const std::vector<std::set<std::string>>& aCentres,
           const std::string& aOwn,
           const std::set<std::string>& aPeers,
           std::size_t aTurn);

} // namespace toucanridge

#endif // TOUCANRIDGE_RELAY_PLAN_P_H
