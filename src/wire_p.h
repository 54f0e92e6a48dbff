#ifndef TOUCANRIDGE_WIRE_P_H
#define TOUCANRIDGE_WIRE_P_H

/// Messages between nodes and their cereal encoding.

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include "toucanridge/toucanridge.h"

namespace toucanridge {

/// Largest TCP frame, header excluded, in bytes.
constexpr std::size_t kMaxFrameBytes = 4U << 20U;
/// Largest UDP datagram, in bytes; stays below the usual MTU.
constexpr std::size_t kMaxDatagramBytes = 1200;
/// Largest element count of a container in a message.
constexpr std::uint32_t kMaxElements = 8192;

/// Thrown while decoding, caught in decode().
struct DecodeError : cereal::Exception
{
  using cereal::Exception::Exception;
};

// cereal resizes a container to the count found in the payload before it reads
// the elements, so messages use these two functions, which check the count
// against a limit first.

template<class Archive>
void
wireText(Archive& aArchive, std::string& aText)
{
  auto size = static_cast<std::uint32_t>(aText.size());
  aArchive(size);
  if constexpr (Archive::is_loading::value) {
    if (size > kMaxFrameBytes) {
      throw DecodeError("text exceeds the frame limit");
    }
    aText.resize(size);
  }
  aArchive(cereal::binary_data(aText.data(), size));
}

template<class Archive, class T>
void
wireList(Archive& aArchive, std::vector<T>& aList)
{
  auto size = static_cast<std::uint32_t>(aList.size());
  aArchive(size);
  if constexpr (Archive::is_loading::value) {
    if (size > kMaxElements) {
      throw DecodeError("list has too many elements");
    }
    aList.clear();
  }
  for (std::uint32_t i = 0; i < size; ++i) {
    if constexpr (Archive::is_loading::value) {
      aList.emplace_back();
    }
    aArchive(aList[i]);
  }
}

enum class MessageType : std::uint8_t
{
  Hello = 1,
  Ping = 2,
  Pong = 3,
  SubBatch = 4,
  SubReply = 5,
  Cancel = 6,
  ConfigFetch = 7,
  ConfigDelta = 8,
  ConfigWhole = 9,
  TicketForward = 10,
  TicketReply = 11,
  WarmthGrant = 12,
  WarmthReport = 13,
  ItemsFetch = 14,
  ItemChanges = 15,
  RelayQuery = 16,
  RelayReply = 17,
  RelayCancel = 18,
};

/// First frame on a link, from the side that connected.
struct Hello
{
  std::string host;
  std::uint64_t incarnation = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    wireText(aArchive, host);
    aArchive(incarnation);
  }
};

/// One sub-request of a batch.
struct SubItem
{
  std::uint32_t part = 0; ///< index into the query's services
  std::uint32_t attempt = 0;
  std::string service;
  std::string server; ///< "address:port"

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(part, attempt);
    wireText(aArchive, service);
    wireText(aArchive, server);
  }
};

/// All sub-requests of one query for one holder, a host with rights to slots of
/// the servers.
struct SubBatch
{
  std::uint64_t query = 0;
  std::uint64_t snapshot = 0;
  std::string requestId;
  std::string queryClass;
  std::uint8_t priority = 0;
  bool idempotent = true;
  std::uint64_t fingerprint = 0;
  std::int64_t remainingUs = 0; ///< time left, in microseconds
  std::string body;
  std::vector<SubItem> items;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto flag = static_cast<std::uint8_t>(idempotent ? 1 : 0);
    aArchive(query, snapshot, priority, flag, fingerprint, remainingUs);
    idempotent = flag == 1;
    wireText(aArchive, requestId);
    wireText(aArchive, queryClass);
    wireText(aArchive, body);
    wireList(aArchive, items);
  }
};

/// How a sub-request ended at its holder.
enum class SubStatus : std::uint8_t
{
  Done,
  NotRun,     ///< no byte can have reached the server, or it refused
  NoSnapshot, ///< the server does not hold the snapshot; it did not run
  Lost,       ///< the connection broke: it may have run
  TimedOut,   ///< no reply within the deadline: it may have run
};

/// The reply to one sub-request.
struct SubReply
{
  std::uint64_t query = 0;
  std::uint32_t part = 0;
  std::uint32_t attempt = 0;
  SubStatus status = SubStatus::NotRun;
  std::int32_t error = 0; ///< Errc when the status isn't Done
  std::string body;
  std::uint64_t snapshot = 0;
  std::uint64_t serverIncarnation = 0;
  std::uint32_t queued = 0;   ///< sub-requests queued there for the server
  bool reachedServer = false; ///< the server received it; it may have refused

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(query, part, attempt, status, error);
    if constexpr (Archive::is_loading::value) {
      if (status > SubStatus::TimedOut) {
        throw DecodeError("no such sub-request status");
      }
    }
    wireText(aArchive, body);
    aArchive(snapshot, serverIncarnation, queued, reachedServer);
  }
};

/// Cancels the work of a query at a holder: all of it, or one attempt at one
/// part.
struct Cancel
{
  static constexpr std::uint32_t kAllParts = UINT32_MAX;

  std::uint64_t query = 0;
  std::uint32_t part = kAllParts;
  std::uint32_t attempt = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(query, part, attempt);
  }
};

/// Report of a holder to the owner of a server's warm-up state.
struct WarmthReport
{
  std::string server;
  std::uint64_t incarnation = 0; ///< of the last reply, 0 if unknown
  std::uint64_t sequence = 0;    ///< rises with each report of this holder
  std::uint64_t round = 0;       ///< of the last report request, 0 if none
  bool cold = false; ///< the server appeared cold since the last report
  bool warm = false; ///< the server is warm and has sent good replies recently
  bool settled = false;       ///< nothing in flight and no permission to send
  std::uint32_t good = 0;     ///< good replies since the last report
  std::int64_t goodAgeUs = 0; ///< age of the last good reply

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    wireText(aArchive, server);
    aArchive(incarnation, sequence, round, cold, warm, settled);
    aArchive(good, goodAgeUs);
  }
};

/// Message from the owner of a server's warm-up state to a holder: a lease on
/// slots in answer to a report, or a report request, which ends the holder's
/// lease.
struct WarmthGrant
{
  std::string server;
  std::uint64_t incarnation = 0;
  std::uint64_t slots = 0; ///< one bit a slot
  /// The WarmthReport::sequence that a lease is for.
  std::uint64_t reportSequence = 0;
  std::uint64_t round = 0; ///< not 0 for a report request
  bool warm = false;       ///< all slots are allowed
  bool revoked = false;    ///< the server appeared cold

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    wireText(aArchive, server);
    aArchive(incarnation, slots, reportSequence, round, warm, revoked);
  }
};

/// Checks that the peer on a link responds; answered by Pong with the same
/// payload.
struct Ping
{
  std::uint64_t sequence = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(sequence);
  }
};

/// A request with a ticket, forwarded to the ticket's issuer.
struct TicketForward
{
  std::uint64_t id = 0; ///< chosen by the sender, echoed in TicketReply
  std::string ticket;
  std::string queryClass;
  std::string body;
  std::int64_t remainingUs = 0; ///< time left, in microseconds

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, remainingUs);
    wireText(aArchive, ticket);
    wireText(aArchive, queryClass);
    wireText(aArchive, body);
  }
};

template<class Archive>
void
serialize(Archive& aArchive, GoverningRule& aRule)
{
  aArchive(aRule.line);
  wireText(aArchive, aRule.text);
  wireText(aArchive, aRule.askedBy);
}

template<class Archive>
void
serialize(Archive& aArchive, AnswerPart& aPart)
{
  wireText(aArchive, aPart.service);
  wireText(aArchive, aPart.body);
}

/// The issuer's answer to a TicketForward.
struct TicketReply
{
  std::uint64_t id = 0;
  QueryAnswer answer;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id,
             answer.outcome,
             answer.coverage.answered,
             answer.coverage.total,
             answer.snapshot,
             answer.revision);
    wireText(aArchive, answer.requestId);
    wireText(aArchive, answer.reason);
    wireList(aArchive, answer.rules);
    wireList(aArchive, answer.parts);
    if constexpr (Archive::is_loading::value) {
      if (answer.outcome > Outcome::Unknown) {
        throw DecodeError("no such query outcome");
      }
    }
  }
};

/// Encodes a message.
template<class Message>
std::string
encode(Message aMessage)
{
  std::ostringstream out(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(aMessage);
  }
  return out.str();
}

/// Decodes a message.
/// @returns nothing when the bytes are malformed, truncated or over a limit
template<class Message>
std::optional<Message>
decode(std::string_view aBytes)
{
  try {
    std::istringstream in(std::string(aBytes), std::ios::binary);
    cereal::PortableBinaryInputArchive archive(in);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace toucanridge

#endif // TOUCANRIDGE_WIRE_P_H
