#ifndef TOUCANRIDGE_GOSSIP_WIRE_P_H
#define TOUCANRIDGE_GOSSIP_WIRE_P_H

/// Gossip datagrams and the messages that transfer configuration documents.

#include <cstdint>
#include <string>
#include <vector>

#include "view_p.h"
#include "wire_p.h"

namespace toucanridge {

/// Address of a peer for control traffic.
struct PeerAddress
{
  std::string address; ///< IPv4
  std::uint16_t port = 0;
};

/// Like wireText, but bounded by the size of a datagram.
template<class Archive>
void
wireShortText(Archive& aArchive, std::string& aText)
{
  auto size = static_cast<std::uint16_t>(aText.size());
  aArchive(size);
  if constexpr (Archive::is_loading::value) {
    if (size > kMaxDatagramBytes) {
      throw DecodeError("text exceeds the datagram limit");
    }
    aText.resize(size);
  }
  aArchive(cereal::binary_data(aText.data(), size));
}

/// State of a member. Of two updates with the same incarnation and refutation,
/// the one with the higher state applies.
enum class MemberState : std::uint8_t
{
  Alive = 0,
  Suspect = 1,
  Dead = 2,
  Leaving = 3, ///< announced by the member itself
};

const char*
toString(MemberState aState) noexcept;

/// @returns the identifier of a host in member updates, a hash of its name
std::uint32_t
memberId(const std::string& aHost);

/// A member's state as gossip carries it. It contains a hash instead of the
/// name: when a partition between two regions heals, an update about every
/// member must fit into the bandwidth, and names would double its size.
struct MemberUpdate
{
  static constexpr std::size_t kWireBytes = 17;

  std::uint32_t id = 0;
  std::uint64_t incarnation = 0; ///< start of the process
  std::uint32_t refutation = 0;  ///< raised by the member to refute a suspicion
  MemberState state = MemberState::Alive;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, incarnation, refutation, state);
  }
};

/// A broadcast item, see BroadcastI.
struct BroadcastItem
{
  std::string origin;
  std::uint64_t incarnation = 0;
  std::uint32_t number = 0; ///< unique for an origin and incarnation
  std::uint8_t kind = 0;
  std::string payload;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    wireShortText(aArchive, origin);
    aArchive(incarnation, number, kind);
    wireShortText(aArchive, payload);
  }
};

/// Revisions and hashes of the documents that a node has accepted; zero while
/// it is starting. Entry nodes send the revision of the published items as
/// `rules`, the version of the configuration as `hostsHash` and, as `hosts`, 1
/// while their reads of the platform fail; see EntryControl::digest().
struct ConfigDigest
{
  std::uint64_t rules = 0;
  std::uint64_t rulesHash = 0;
  std::uint64_t hosts = 0;
  std::uint64_t hostsHash = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(rules, rulesHash, hosts, hostsHash);
  }
};

enum class GossipKind : std::uint8_t
{
  Ping = 1,
  Ack = 2,
  PingRequest = 3, ///< asks the receiver to probe `target`
  RelayedAck = 4,  ///< reports that `target` answered, with its state
};

/// One datagram. The state fields describe the sender or, in a RelayedAck, the
/// target.
struct Gossip
{
  GossipKind kind = GossipKind::Ping;
  std::uint32_t sequence = 0;
  std::string from;
  std::string to; ///< empty when the sender does not know the name
  std::string target;
  std::uint64_t incarnation = 0;
  std::uint32_t refutation = 0;
  std::uint8_t leaving = 0;
  std::uint32_t load = 0; ///< queries that run at the node
  ViewId view;            ///< for the three views, see PeerState
  ViewId settled;
  ViewId leased;
  ConfigDigest digest;
  std::vector<MemberUpdate> updates;
  std::vector<BroadcastItem> items;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kind, sequence);
    wireShortText(aArchive, from);
    wireShortText(aArchive, to);
    wireShortText(aArchive, target);
    aArchive(incarnation, refutation, leaving, load);
    aArchive(view.rules, view.hosts, settled.rules, settled.hosts);
    aArchive(leased.rules, leased.hosts, digest);
    wireList(aArchive, updates);
    wireList(aArchive, items);
  }
};

/// The two published documents that nodes fetch from each other.
enum class DocumentKind : std::uint8_t
{
  Rules = 0,
  Hosts = 1,
};
constexpr std::size_t kDocumentKinds = 2;

/// Asks for the newest revision of a document.
struct ConfigFetch
{
  DocumentKind kind = DocumentKind::Rules;
  /// Revision that a delta may start from, 0 for none.
  std::uint64_t baseRevision = 0;
  std::uint64_t baseHash = 0; ///< hash of that revision's text

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kind, baseRevision, baseHash);
  }
};

/// One operation of a delta: copies lines of the old text (`count` > 0) or
/// inserts new text.
struct LineOp
{
  std::uint32_t from = 0; ///< first line copied
  std::uint32_t count = 0;
  std::string text;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(from, count);
    wireText(aArchive, text);
  }
};

/// Operations that turn one revision of a document into another.
struct ConfigDelta
{
  DocumentKind kind = DocumentKind::Rules;
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::uint64_t hash = 0; ///< of the new text
  std::vector<LineOp> ops;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kind, from, to, hash);
    wireList(aArchive, ops);
  }
};

/// A whole document; the text is empty when nothing newer is held.
struct ConfigWhole
{
  DocumentKind kind = DocumentKind::Rules;
  std::uint64_t revision = 0;
  std::uint64_t hash = 0;
  std::string text;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kind, revision, hash);
    wireText(aArchive, text);
  }
};

} // namespace toucanridge

#endif // TOUCANRIDGE_GOSSIP_WIRE_P_H
