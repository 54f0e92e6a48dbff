#ifndef TOUCANRIDGE_PEER_LINK_P_H
#define TOUCANRIDGE_PEER_LINK_P_H

/// TCP links between nodes. A node connects to each peer it sends sub-requests
/// to; replies return on the same connection.

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include "buffer_budget_p.h"
#include "clock_p.h"
#include "wire_p.h"

namespace toucanridge {

/// A framed TCP connection: u32 little-endian payload length, u8 type, payload.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// Called on the stream's strand for each frame.
  using OnFrame = std::function<void(MessageType, std::string)>;
  /// Called when the stream closes, with the tags of the frames that were still
  /// queued: no byte of them was passed to the socket. Called again for each
  /// tagged frame that is sent after that.
  using OnClose =
    std::function<void(const char* aReason, std::vector<std::uint64_t>)>;

  using BudgetPtr = std::shared_ptr<BufferBudget>;

  /// @param[in] aBudget counts unfinished and unsent frames; null: no limit
  FrameStream(boost::asio::io_context& aContext, BudgetPtr aBudget);
  FrameStream(Socket aSocket, BudgetPtr aBudget);

  /// Connects, then reads frames until the stream closes.
  /// @param[in] aLocal address to connect from
  void connect(const boost::asio::ip::address& aLocal,
               const Endpoint& aEndpoint,
               std::chrono::milliseconds aTimeout,
               OnFrame aOnFrame,
               OnClose aOnClose);
  /// Reads frames of an accepted socket until the stream closes.
  void accept(OnFrame aOnFrame, OnClose aOnClose);

  /// Queues a frame; any thread may call.
  /// @param[in] aTag reported to OnClose if the frame was never written
  void send(MessageType aType, std::string aPayload, std::uint64_t aTag = 0);
  void close(const char* aReason);

  /// @returns number of frames that are not written to the socket yet
  std::uint32_t pendingFrames() const { return m_pending; }
  /// Call it from OnClose.
  /// @returns number of bytes received since the last frame was written
  std::size_t bytesSinceWrite() const { return m_bytesSinceWrite; }
  /// Sets the largest payload to accept. Call it on the stream's strand or
  /// before the stream starts.
  void setFrameLimit(std::size_t aBytes) { m_frameLimit = aBytes; }

private:
  struct Frame
  {
    std::array<unsigned char, 5> header;
    std::string payload;
    std::uint64_t tag = 0;
  };

  void open();
  void read(boost::asio::mutable_buffer aBuffer, std::function<void()> aOnRead);
  void readHeader();
  void readPayload(std::size_t aRemaining, MessageType aType);
  void handleFrame(MessageType aType, std::string aPayload);
  void writeNext();
  void scheduleSilenceCheck();
  bool countHeld();
  void onEvicted();
  void closeNow(const char* aReason);

  Socket m_socket;
  boost::asio::steady_timer m_timer;
  OnFrame m_onFrame;
  OnClose m_onClose;
  std::array<unsigned char, 5> m_header{};
  std::string m_payload;
  std::size_t m_frameLimit = kMaxFrameBytes;
  std::deque<Frame> m_queue;
  std::atomic<std::uint32_t> m_pending{ 0 };
  std::size_t m_queuedBytes = 0;  ///< payload bytes in m_queue
  std::size_t m_writtenBytes = 0; ///< payload bytes of the frame being written
  BufferShare m_held;
  bool m_connected = false;
  bool m_writing = false;
  bool m_closed = false;
  bool m_silenceCheckPending = false;
  bool m_receivedSinceWrite = true; ///< a frame arrived since the last write
  std::size_t m_bytesSinceWrite = 0;
  /// When the peer's last byte arrived or, if later, the wait for it began.
  std::chrono::steady_clock::time_point m_waitingSince;
};

/// What peers may make this node hold.
struct PeerLinkLimits
{
  /// Counts unfinished and unsent frames; null: no limit.
  std::shared_ptr<BufferBudget> budget;
  /// Accepted connections. Each peer has one, or two while it replaces one.
  std::size_t accepted = 2048;
};

/// All TCP links between this node and its peers.
class PeerLinks
{
public:
  /// Sends a frame back on the connection that a request came from.
  using Reply = std::function<void(MessageType, std::string)>;
  struct Handlers
  {
    /// A request from a peer that connected to this node.
    std::function<void(const std::string& aHost,
                       MessageType aType,
                       const std::string& aPayload,
                       const Reply& aReply)>
      onRequest;
    /// A reply on a connection that this node made.
    std::function<void(const std::string& aHost,
                       MessageType aType,
                       const std::string& aPayload)>
      onReply;
    /// The connection to a peer ended. Frames with the tags in aUnsent were
    /// never written; any other frame may have been received.
    std::function<void(const std::string& aHost,
                       const std::vector<std::uint64_t>& aUnsent)>
      onLost;
  };

  /// @param[in] aSelf sent to peers in Hello
  PeerLinks(boost::asio::io_context& aContext,
            Hello aSelf,
            PeerLinkLimits aLimits = {});

  /// Listens on an address.
  /// @returns an error when the address can't be bound
  std::error_code init(const std::string& aAddress,
                       std::uint16_t aPort,
                       Handlers aHandlers);
  void shutdown();

  /// Queues a frame to a host, connecting when there is no connection.
  void send(const std::string& aHost,
            const std::string& aAddress,
            std::uint16_t aPort,
            MessageType aType,
            std::string aPayload,
            std::uint64_t aTag);

  /// Closes the connection to a host, if there is one, without a call of
  /// onLost: nothing is expected from it.
  void disconnect(const std::string& aHost);

  /// @returns number of outgoing connections
  std::size_t size() const;

  /// @returns number of replies that are not written to the socket yet
  std::uint32_t pendingReplies() const;

private:
  using StreamPtr = std::shared_ptr<FrameStream>;

  /// An accepted connection.
  struct Accepted
  {
    StreamPtr stream;
    bool helloReceived = false; ///< the peer sent a valid Hello
    std::chrono::steady_clock::time_point lastFrameAt;
  };

  void acceptNext();
  void serve(const StreamPtr& aStream);
  bool addAccepted(const StreamPtr& aStream);
  void onFrame(const StreamPtr& aStream);
  void onHello(const StreamPtr& aStream);
  void closeIfNoHello(const StreamPtr& aStream);
  StreamPtr connectTo(const std::string& aHost,
                      const std::string& aAddress,
                      std::uint16_t aPort);

  boost::asio::io_context& m_context;
  Hello m_self;
  const PeerLinkLimits m_limits;
  boost::asio::ip::address m_address;
  Handlers m_handlers;
  boost::asio::ip::tcp::acceptor m_acceptor;
  /// Guards m_links, m_accepted, m_awaitingHello and m_stopping.
  mutable std::mutex m_mutex;
  std::map<std::string, StreamPtr> m_links;
  std::map<FrameStream*, Accepted> m_accepted;
  std::size_t m_awaitingHello = 0; ///< entries of m_accepted without Hello
  boost::asio::steady_timer m_acceptTimer;
  bool m_stopping = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PEER_LINK_P_H
