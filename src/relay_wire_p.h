#ifndef TOUCANRIDGE_RELAY_WIRE_P_H
#define TOUCANRIDGE_RELAY_WIRE_P_H

/// Messages of relays, with which a host has a peer run a part of a query.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "wire_p.h"

namespace toucanridge {

/// One header of a caller's request.
struct RelayHeader
{
  std::string name;
  std::string value;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    wireText(aArchive, name);
    wireText(aArchive, value);
  }
};

/// Asks a peer to run a query on some of a route's shards.
struct RelayQuery
{
  std::uint64_t relayId = 0; ///< unique in the asking host's incarnation
  std::string route;
  /// Route::gatherHash() of the route in the configuration of the query. The
  /// peer may hold another version in which the route has the same hash.
  std::uint64_t gatherHash = 0;
  std::uint32_t remainingUs = 0; ///< until the caller's deadline
  std::uint32_t replyInUs = 0;   ///< time after which the peer sends a Partial
                               ///< reply with the parts received so far, if it
                               ///< hasn't finished
  std::string method;
  std::string target;
  std::vector<RelayHeader> headers;
  std::string body;
  std::string shards; ///< a bit for each shard of the route, lowest first

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(relayId);
    wireText(aArchive, route);
    aArchive(gatherHash, remainingUs, replyInUs);
    wireText(aArchive, method);
    wireText(aArchive, target);
    wireList(aArchive, headers);
    wireText(aArchive, body);
    wireText(aArchive, shards);
  }
};

enum class RelayState : std::uint8_t
{
  Running = 1, ///< the peer works on the query; carries no records
  Partial = 2, ///< the parts received so far; more may follow
  Final = 3,   ///< the last reply
  Refused = 4, ///< no configuration held by the peer has this version of the
               ///< route; it asked no server
};

/// The merged records of the parts received so far. A later reply replaces an
/// earlier one.
struct RelayReply
{
  std::uint64_t relayId = 0;
  RelayState state = RelayState::Running;
  std::string shards; ///< a bit for each shard, set when its part was received
  std::vector<std::string> signatures; ///< of the parts, in order of shards
  std::string records;                 ///< merged
  /// Median latency of the parts, 0 if too few.
  std::uint32_t medianLatencyUs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(relayId, state);
    wireText(aArchive, shards);
    auto size = static_cast<std::uint32_t>(signatures.size());
    aArchive(size);
    if constexpr (Archive::is_loading::value) {
      if (size > kMaxElements) {
        throw DecodeError("too many signatures");
      }
      signatures.resize(size);
    }
    for (std::string& signature : signatures) {
      wireText(aArchive, signature);
    }
    wireText(aArchive, records);
    aArchive(medianLatencyUs);
  }
};

/// The asking host no longer needs the reply.
struct RelayCancel
{
  std::uint64_t relayId = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(relayId);
  }
};

/// Encodes positions as a bitmap, lowest position first.
/// @param[in] aIndexes positions of the bits to set, below aSize
/// @param[in] aSize number of bits
std::string
makeBits(const std::vector<std::size_t>& aIndexes, std::size_t aSize);

/// Decodes a bitmap of makeBits(). It may have more or fewer bits than aSize.
/// @returns positions of the bits that are set, below aSize
std::vector<std::size_t>
readBits(const std::string& aBits, std::size_t aSize);

} // namespace toucanridge

#endif // TOUCANRIDGE_RELAY_WIRE_P_H
