#ifndef TOUCANRIDGE_RELAY_WIRE_P_H
#define TOUCANRIDGE_RELAY_WIRE_P_H

/// Messages by which a host lets a peer run a part of a query.

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
  std::uint64_t query = 0; ///< unique for the asking host's incarnation
  std::string route;
  /// Of the route's shards and merge, as the query's configuration has them. A
  /// peer may hold another version in which they are the same.
  std::uint64_t routeHash = 0;
  std::uint32_t leftUs = 0;    ///< until the caller's deadline
  std::uint32_t replyInUs = 0; ///< what is in by then is sent
  std::string method;
  std::string target;
  std::vector<RelayHeader> headers;
  std::string body;
  std::string shards; ///< a bit for each shard of the route, lowest first

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(query);
    wireText(aArchive, route);
    aArchive(routeHash, leftUs, replyInUs);
    wireText(aArchive, method);
    wireText(aArchive, target);
    wireList(aArchive, headers);
    wireText(aArchive, body);
    wireText(aArchive, shards);
  }
};

enum class RelayState : std::uint8_t
{
  Running = 1, ///< the peer works on it; nothing else is told
  Partial = 2, ///< what is in so far
  Final = 3,   ///< nothing more will come
  Refused = 4, ///< the peer doesn't know the route like this; it sent nothing
};

/// The merged records of the shards that are in. A later reply replaces an
/// earlier one.
struct RelayReply
{
  std::uint64_t query = 0;
  RelayState state = RelayState::Running;
  std::string shards;                  ///< bits of those in
  std::vector<std::string> signatures; ///< of their parts
  std::string records;
  std::uint32_t usualUs = 0; ///< median latency of the parts, 0 when few are in

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(query, state);
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
    aArchive(usualUs);
  }
};

/// The asking host no longer needs the reply.
struct RelayCancel
{
  std::uint64_t query = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(query);
  }
};

/// @param[in] aIndexes positions to set
/// @param[in] aSize positions in all
std::string
makeBits(const std::vector<std::size_t>& aIndexes, std::size_t aSize);

/// @returns the positions that are set, below aSize
std::vector<std::size_t>
readBits(const std::string& aBits, std::size_t aSize);

} // namespace toucanridge

#endif // TOUCANRIDGE_RELAY_WIRE_P_H
