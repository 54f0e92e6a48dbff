#ifndef TOUCANRIDGE_RELAY_PLAN_P_H
#define TOUCANRIDGE_RELAY_PLAN_P_H

/// Decides which shards of a query this host asks directly and which it relays
/// through a peer in another data centre.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucanridge {

struct RelayPlan
{
  std::vector<std::size_t> direct; ///< shards that this host asks
  /// Shards that a peer asks, by the peer's data centre.
  std::map<std::string, std::vector<std::size_t>> relayed;
};

/// Shards with a usable server in this host's data centre are asked directly.
/// The others are assigned greedily to few data centres: a peer's merged reply
/// transfers fewer bytes between data centres than the parts it is made of.
/// Shards without a usable server, and those that remain when no data centre
/// covers enough of them for a relay, are asked directly too.
/// @param[in] aShardDataCentres data centres with a usable server, by shard
/// @param[in] aOwnDataCentre this host's data centre
/// @param[in] aPeerDataCentres data centres with a peer that can run relays
/// @param[in] aRotation varies from query to query, to rotate among those
///            data centres that cover equally many shards
RelayPlan
planRelays(const std::vector<std::set<std::string>>& aShardDataCentres,
           const std::string& aOwnDataCentre,
           const std::set<std::string>& aPeerDataCentres,
           std::size_t aRotation);

} // namespace toucanridge

#endif // TOUCANRIDGE_RELAY_PLAN_P_H
