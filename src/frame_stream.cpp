#include "peer_link_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kSilenceCheckInterval{ 250 };
/// A peer of which no byte arrives, not even of the reply to a ping, for this
/// long is considered unresponsive. TCP itself would take minutes to detect it.
constexpr milliseconds kSilenceTimeout{ 1000 };

/// Most bytes that a single read waits for.
constexpr std::size_t kReadChunkBytes = 64U << 10U;
/// The connection is closed when more than this many bytes are queued for a
/// peer that doesn't read them.
constexpr std::size_t kMaxQueuedBytes = 64U << 20U;
/// Longest payload of a ping; the pong echoes it.
constexpr std::size_t kMaxPingBytes = 64;

std::array<unsigned char, 5>
makeHeader(std::uint32_t aSize, MessageType aType)
{
  return { static_cast<unsigned char>(aSize),
           static_cast<unsigned char>(aSize >> 8U),
           static_cast<unsigned char>(aSize >> 16U),
           static_cast<unsigned char>(aSize >> 24U),
           static_cast<unsigned char>(aType) };
}

std::uint32_t
payloadSize(const std::array<unsigned char, 5>& aHeader)
{
  return static_cast<std::uint32_t>(aHeader[0]) |
         static_cast<std::uint32_t>(aHeader[1]) << 8U |
         static_cast<std::uint32_t>(aHeader[2]) << 16U |
         static_cast<std::uint32_t>(aHeader[3]) << 24U;
}

} // namespace

FrameStream::FrameStream(asio::io_context& aContext, BudgetPtr aBudget)
  : m_socket(asio::make_strand(aContext))
  , m_timer(m_socket.get_executor())
  , m_held(std::move(aBudget), [this] { onEvicted(); })
{
}

FrameStream::FrameStream(Socket aSocket, BudgetPtr aBudget)
  : m_socket(std::move(aSocket))
  , m_timer(m_socket.get_executor())
  , m_held(std::move(aBudget), [this] { onEvicted(); })
{
}

void
FrameStream::connect(const asio::ip::address& aLocal,
                     const Endpoint& aEndpoint,
                     milliseconds aTimeout,
                     OnFrame aOnFrame,
                     OnClose aOnClose)
{
  m_onFrame = std::move(aOnFrame);
  m_onClose = std::move(aOnClose);
  auto self = shared_from_this();
  asio::post(
    m_socket.get_executor(), [this, self, aLocal, aEndpoint, aTimeout] {
      // Peers and firewalls identify a host by the address in its settings.
      boost::system::error_code bindError;
      m_socket.open(aEndpoint.protocol(), bindError);
      if (!bindError) {
        m_socket.bind({ aLocal, 0 }, bindError);
      }
      if (bindError) {
        closeNow("bind-failed");
        return;
      }
      m_timer.expires_after(aTimeout);
      m_timer.async_wait([this, self](const boost::system::error_code& aError) {
        if (!aError && !m_connected) {
          closeNow("connect-timeout");
        }
      });
      m_socket.async_connect(
        aEndpoint,
        [this, self, aEndpoint](const boost::system::error_code& aError) {
          if (aError) {
            if (!m_closed) {
              logWrite(LogLevel::Info,
                       LogLine("connect-failed")
                         .add("address", aEndpoint)
                         .addText("error", aError.message()));
            }
            closeNow("connect-failed");
          } else if (!m_closed) {
            m_timer.cancel();
            open();
          }
        });
    });
}

void
FrameStream::accept(OnFrame aOnFrame, OnClose aOnClose)
{
  m_onFrame = std::move(aOnFrame);
  m_onClose = std::move(aOnClose);
  auto self = shared_from_this();
  asio::post(m_socket.get_executor(), [this, self] { open(); });
}

void
FrameStream::open()
{
  m_connected = true;
  boost::system::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  readHeader();
  writeNext();
}

void
FrameStream::send(MessageType aType, std::string aPayload, std::uint64_t aTag)
{
  ++m_pending;
  auto self = shared_from_this();
  asio::post(
    m_socket.get_executor(),
    [this, self, aType, payload = std::move(aPayload), aTag]() mutable {
      if (m_closed) {
        --m_pending;
        if (aTag != 0) {
          m_onClose("closed", { aTag });
        }
        return;
      }
      const auto size = static_cast<std::uint32_t>(payload.size());
      m_queuedBytes += size;
      m_queue.push_back({ makeHeader(size, aType), std::move(payload), aTag });
      writeNext();
      if (m_queuedBytes > kMaxQueuedBytes) {
        closeNow("queue-full");
      } else if (!countHeld()) {
        closeNow("evicted");
      }
    });
}

void
FrameStream::close(const char* aReason)
{
  auto self = shared_from_this();
  asio::post(m_socket.get_executor(),
             [this, self, aReason] { closeNow(aReason); });
}

/// Fills a buffer, and counts the bytes as they arrive.
void
FrameStream::read(asio::mutable_buffer aBuffer, std::function<void()> aOnRead)
{
  auto self = shared_from_this();
  asio::async_read(
    m_socket,
    aBuffer,
    [this, self, size = aBuffer.size(), counted = std::size_t(0)](
      const boost::system::error_code& aError, std::size_t aBytes) mutable {
      if (aBytes > counted) {
        m_bytesSinceWrite += aBytes - counted;
        m_waitingSince = steady_clock::now();
        counted = aBytes;
      }
      return aError ? 0 : size - aBytes;
    },
    [this, self, onRead = std::move(aOnRead)](
      const boost::system::error_code& aError, std::size_t) {
      if (aError) {
        closeNow("read-failed");
      } else {
        onRead();
      }
    });
}

void
FrameStream::readHeader()
{
  read(asio::buffer(m_header), [this] {
    const std::uint32_t size = payloadSize(m_header);
    if (size > m_frameLimit) {
      logWrite(
        LogLevel::Warn,
        LogLine("frame-refused").add("bytes", size).add("limit", m_frameLimit));
      closeNow("frame-too-large");
      return;
    }
    m_payload.clear();
    readPayload(size, static_cast<MessageType>(m_header[4]));
  });
}

/// Reads the rest of a payload in chunks: memory grows with the bytes received,
/// not with the length that the header claims.
void
FrameStream::readPayload(std::size_t aRemaining, MessageType aType)
{
  if (aRemaining == 0) {
    handleFrame(aType, std::move(m_payload));
    m_payload = {};
    countHeld();
    if (!m_closed) {
      readHeader();
    }
    return;
  }
  const std::size_t offset = m_payload.size();
  const std::size_t chunk = std::min(aRemaining, kReadChunkBytes);
  m_payload.resize(offset + chunk);
  if (!countHeld()) {
    closeNow("evicted");
    return;
  }
  read(asio::buffer(&m_payload[offset], chunk),
       [this, aType, remaining = aRemaining - chunk] {
         if (remaining > 0) {
           // The sender's pings wait behind the rest of the frame.
           send(MessageType::Pong, encode(Ping{}));
         }
         readPayload(remaining, aType);
       });
}

void
FrameStream::handleFrame(MessageType aType, std::string aPayload)
{
  m_receivedSinceWrite |= !m_writing;
  if (aType == MessageType::Ping && aPayload.size() > kMaxPingBytes) {
    closeNow("ping-too-large");
  } else if (aType == MessageType::Ping) {
    send(MessageType::Pong, std::move(aPayload));
  } else if (aType != MessageType::Pong) {
    m_onFrame(aType, std::move(aPayload));
  }
}

void
FrameStream::writeNext()
{
  if (!m_connected || m_writing || m_queue.empty() || m_closed) {
    return;
  }
  m_writing = true;
  // A frame that is no longer queued may have been received by the peer, so
  // closeNow() doesn't report it as unsent.
  auto frame = std::make_shared<Frame>(std::move(m_queue.front()));
  m_queue.pop_front();
  m_queuedBytes -= frame->payload.size();
  m_writtenBytes = frame->payload.size();
  const auto type = static_cast<MessageType>(frame->header[4]);
  if (type != MessageType::Pong) {
    scheduleSilenceCheck();
  }
  const std::array<asio::const_buffer, 2> buffers = {
    asio::buffer(frame->header), asio::buffer(frame->payload)
  };
  auto self = shared_from_this();
  asio::async_write(
    m_socket,
    buffers,
    [this, self, frame](const boost::system::error_code& aError, std::size_t) {
      m_writing = false;
      --m_pending;
      m_writtenBytes = 0;
      countHeld();
      if (aError) {
        closeNow("write-failed");
        return;
      }
      writeNext();
    });
}

/// Schedules a check that closes the stream if no byte of the peer arrives for
/// kSilenceTimeout while its next frame is awaited. Pings make a peer respond
/// that has no reply ready yet.
void
FrameStream::scheduleSilenceCheck()
{
  if (m_receivedSinceWrite) {
    m_receivedSinceWrite = false;
    m_bytesSinceWrite = 0;
    m_waitingSince = steady_clock::now();
  }
  if (m_silenceCheckPending) {
    return;
  }
  m_silenceCheckPending = true;
  m_timer.expires_after(kSilenceCheckInterval);
  auto self = shared_from_this();
  m_timer.async_wait([this, self](const boost::system::error_code& aError) {
    m_silenceCheckPending = false;
    if (aError || m_closed || m_receivedSinceWrite) {
      return;
    }
    if (steady_clock::now() - m_waitingSince >= kSilenceTimeout) {
      closeNow("silent");
      return;
    }
    send(MessageType::Ping, encode(Ping{}));
    scheduleSilenceCheck();
  });
}

/// @returns false when the stream has to be closed
bool
FrameStream::countHeld()
{
  return m_held.set(BufferUse::Frames,
                    m_payload.capacity() + m_queuedBytes + m_writtenBytes);
}

/// Closes the stream later: what evicts it may be on another thread.
void
FrameStream::onEvicted()
{
  asio::post(m_socket.get_executor(), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->closeNow("evicted");
    }
  });
}

void
FrameStream::closeNow(const char* aReason)
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  boost::system::error_code ignored;
  m_socket.close(ignored);
  m_timer.cancel();
  std::vector<std::uint64_t> unsent;
  for (const Frame& frame : m_queue) {
    if (frame.tag != 0) {
      unsent.push_back(frame.tag);
    }
  }
  m_pending -= static_cast<std::uint32_t>(m_queue.size());
  m_queue.clear();
  m_queuedBytes = 0;
  m_held.set(BufferUse::Frames, 0);
  m_onClose(aReason, std::move(unsent));
}

} // namespace toucanridge
