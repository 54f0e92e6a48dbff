/// Membership: sending and handling of datagrams and their attachments.

#include "membership_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

/// Bytes of updates and items in one datagram. Eight datagrams a second, four
/// sent and four received, of at most about 800 bytes each stay below 9 KB/s.
constexpr std::size_t kMaxAttachedBytes = 600;
/// Part of kMaxAttachedBytes for member updates, so that there is always room
/// for broadcast items.
constexpr std::size_t kMaxUpdateBytes = 400;

} // namespace

const char*
toString(MemberState aState) noexcept
{
  constexpr const char* kNames[] = { "alive", "suspect", "dead", "leaving" };
  return kNames[static_cast<std::size_t>(aState)];
}

Gossip
Membership::makeMessage(GossipKind aKind,
                        std::uint32_t aSequence,
                        const std::string& aTo) const
{
  const PeerState state = m_local.state();
  Gossip message;
  message.kind = aKind;
  message.sequence = aSequence;
  message.from = m_self;
  message.to = aTo;
  message.incarnation = m_incarnation;
  message.refutation = m_refutation;
  message.leaving = m_leaving ? 1 : 0;
  message.load = m_local.load();
  message.view = state.view;
  message.settled = state.settled;
  message.leased = state.leased;
  message.digest = m_local.digest();
  return message;
}

void
Membership::send(const PeerAddress& aTo, Gossip aMessage, bool aAttach)
{
  // A receiver that this node doesn't consider alive is sent the state recorded
  // for it, so that it can refute it at once.
  const auto receiver = m_members.find(aMessage.to);
  if (receiver != m_members.end() &&
      receiver->second.state != MemberState::Alive) {
    aMessage.updates.push_back(updateOf(receiver->second));
  }
  if (aAttach) {
    attach(aMessage);
  }
  m_broadcaster.takeState(aMessage.items);
  std::string bytes = encode(std::move(aMessage));
  if (bytes.size() > kMaxDatagramBytes) {
    logWrite(LogLevel::Error,
             LogLine("datagram-too-large").add("bytes", bytes.size()));
    return;
  }
  ++m_counters.sentDatagrams;
  m_counters.sentBytes += bytes.size();
  m_sender.sendDatagram(aTo, std::move(bytes));
}

/// Attaches the updates that were sent least often, then broadcast items.
void
Membership::attach(Gossip& aMessage)
{
  std::vector<Queued*> queue;
  for (auto& entry : m_queuedUpdates) {
    queue.push_back(&entry.second);
  }
  constexpr std::size_t kMaxUpdates =
    kMaxUpdateBytes / MemberUpdate::kWireBytes;
  if (queue.size() > kMaxUpdates) {
    // Without the shuffle, nodes with the same queue would all send the same
    // part of it first.
    std::shuffle(queue.begin(), queue.end(), m_random);
    std::nth_element(queue.begin(),
                     queue.begin() + kMaxUpdates,
                     queue.end(),
                     [](const Queued* aOne, const Queued* aOther) {
                       return aOne->sendCount < aOther->sendCount;
                     });
    queue.resize(kMaxUpdates);
  }
  const std::uint32_t limit = transmitLimit();
  for (Queued* queued : queue) {
    const MemberUpdate update = queued->update;
    aMessage.updates.push_back(update);
    if (++queued->sendCount >= limit) {
      m_queuedUpdates.erase(update.id);
    }
  }
  const std::size_t used = queue.size() * MemberUpdate::kWireBytes;
  m_broadcaster.takeItems(kMaxAttachedBytes - used, limit, aMessage.items);
}

/// Attaches the state of each member that isn't alive, for a starting node: the
/// updates about them were spread before it could receive them.
void
Membership::attachUnavailable(Gossip& aMessage) const
{
  std::size_t used = 0;
  for (const auto& [name, member] : m_members) {
    const MemberUpdate update = updateOf(member);
    if (member.state != MemberState::Alive && name != aMessage.to &&
        used + MemberUpdate::kWireBytes <= kMaxAttachedBytes) {
      used += MemberUpdate::kWireBytes;
      aMessage.updates.push_back(update);
    }
  }
}

/// @returns where the sender of a message accepts connections, port 0 when that
///          is unknown: the source of a ping may be translated on the way
PeerAddress
Membership::listeningAddress(const Gossip& aMessage,
                             const PeerAddress& aFrom) const
{
  const auto member = m_members.find(aMessage.from);
  if (member != m_members.end()) {
    return { member->second.host.address, member->second.host.peerPort };
  }
  // An answer comes from the address that was pinged.
  return aMessage.kind == GossipKind::Ack ? aFrom : PeerAddress();
}

void
Membership::onDatagram(const PeerAddress& aFrom, std::string_view aBytes)
{
  ++m_counters.receivedDatagrams;
  m_counters.receivedBytes += aBytes.size();
  const auto message =
    aBytes.size() > kMaxDatagramBytes ? std::nullopt : decode<Gossip>(aBytes);
  if (!message || message->from.empty() || message->kind < GossipKind::Ping ||
      message->kind > GossipKind::RelayedAck) {
    ++m_counters.malformed;
    return;
  }
  // An address may have been reassigned to another host.
  if (message->from == m_self ||
      (!message->to.empty() && message->to != m_self)) {
    ++m_counters.misaddressed;
    return;
  }
  const bool relayed = message->kind == GossipKind::RelayedAck;
  const std::string& subject = relayed ? message->target : message->from;
  apply({ memberId(subject),
          message->incarnation,
          message->refutation,
          message->leaving != 0 ? MemberState::Leaving : MemberState::Alive });
  const auto member = m_members.find(subject);
  if (member != m_members.end()) {
    member->second.load = message->load;
  }
  for (const MemberUpdate& update : message->updates) {
    if (update.state <= MemberState::Leaving) {
      apply(update);
    }
  }
  for (const BroadcastItem& item : message->items) {
    m_broadcaster.onReceived(item);
  }
  if (!relayed) {
    m_local.onDigest(
      message->from, listeningAddress(*message, aFrom), message->digest);
  }
  if (message->kind == GossipKind::Ping) {
    Gossip ack = makeMessage(GossipKind::Ack, message->sequence, message->from);
    const bool starting = message->digest.rules == 0;
    if (starting) {
      attachUnavailable(ack);
    }
    send(aFrom, std::move(ack), !starting);
  } else if (message->kind == GossipKind::PingRequest) {
    onPingRequest(aFrom, *message);
  } else {
    finishProbe(*message, relayed);
  }
}

} // namespace toucanridge
