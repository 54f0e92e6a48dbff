#include "peer_link_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kProgressTick{ 250 };
/// A peer that answers nothing, not even a ping, for this long is taken for
/// silent. TCP itself would take minutes to notice.
constexpr milliseconds kSilenceLimit{ 1000 };

/// Most bytes that a read waits for at once.
constexpr std::size_t kReadStep = 64U << 10U;
/// A peer that doesn't read what it is sent is dropped at this many bytes.
constexpr std::size_t kMaxQueuedBytes = 64U << 20U;
/// Longest payload of a ping; it is sent back.
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
sizeOf(const std::array<unsigned char, 5>& aHeader)
{
  return static_cast<std::uint32_t>(aHeader[0]) |
         static_cast<std::uint32_t>(aHeader[1]) << 8U |
         static_cast<std::uint32_t>(aHeader[2]) << 16U |
         static_cast<std::uint32_t>(aHeader[3]) << 24U;
}

} // namespace

FrameStream::FrameStream(asio::io_context& aContext)
  : m_socket(asio::make_strand(aContext))
  , m_timer(m_socket.get_executor())
{
}

FrameStream::FrameStream(Socket aSocket)
  : m_socket(std::move(aSocket))
  , m_timer(m_socket.get_executor())
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
      // Peers and firewalls know a host by the address in its settings.
      boost::system::error_code bindError;
      m_socket.open(aEndpoint.protocol(), bindError);
      if (!bindError) {
        m_socket.bind({ aLocal, 0 }, bindError);
      }
      if (bindError) {
        end("bind-failed");
        return;
      }
      m_timer.expires_after(aTimeout);
      m_timer.async_wait([this, self](const boost::system::error_code& aError) {
        if (!aError && !m_open) {
          end("connect-timeout");
        }
      });
      m_socket.async_connect(
        aEndpoint, [this, self](const boost::system::error_code& aError) {
          if (aError) {
            end("connect-failed");
          } else if (!m_ended) {
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
  m_open = true;
  boost::system::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  readHeader();
  write();
}

void
FrameStream::send(MessageType aType, std::string aPayload, std::uint64_t aTag)
{
  ++m_pending;
  auto self = shared_from_this();
  asio::post(
    m_socket.get_executor(),
    [this, self, aType, payload = std::move(aPayload), aTag]() mutable {
      if (m_ended) {
        --m_pending;
        if (aTag != 0) {
          m_onClose("closed", { aTag });
        }
        return;
      }
      const auto size = static_cast<std::uint32_t>(payload.size());
      m_queued += size;
      m_queue.push_back({ makeHeader(size, aType), std::move(payload), aTag });
      write();
      if (m_queued > kMaxQueuedBytes) {
        end("queue-full");
      }
    });
}

void
FrameStream::close(const char* aReason)
{
  auto self = shared_from_this();
  asio::post(m_socket.get_executor(), [this, self, aReason] { end(aReason); });
}

void
FrameStream::readHeader()
{
  auto self = shared_from_this();
  asio::async_read(
    m_socket,
    asio::buffer(m_header),
    [this, self](const boost::system::error_code& aError, std::size_t) {
      if (aError) {
        end("read-failed");
        return;
      }
      const std::uint32_t size = sizeOf(m_header);
      if (size > m_frameLimit) {
        logWrite(LogLevel::Warn,
                 LogLine("frame-refused")
                   .add("bytes", size)
                   .add("limit", m_frameLimit));
        end("frame-too-large");
        return;
      }
      m_payload.clear();
      readPayload(size, static_cast<MessageType>(m_header[4]));
    });
}

/// Reads the rest of a payload. Memory grows with what arrives, not with the
/// length that a header claims.
void
FrameStream::readPayload(std::size_t aLeft, MessageType aType)
{
  if (aLeft == 0) {
    onFrame(aType, std::move(m_payload));
    if (!m_ended) {
      readHeader();
    }
    return;
  }
  const std::size_t have = m_payload.size();
  const std::size_t part = std::min(aLeft, kReadStep);
  m_payload.resize(have + part);
  auto self = shared_from_this();
  asio::async_read(m_socket,
                   asio::buffer(&m_payload[have], part),
                   [this, self, aType, left = aLeft - part](
                     const boost::system::error_code& aError, std::size_t) {
                     if (aError) {
                       end("read-failed");
                       return;
                     }
                     readPayload(left, aType);
                   });
}

void
FrameStream::onFrame(MessageType aType, std::string aPayload)
{
  m_answered = true;
  if (aType == MessageType::Ping && aPayload.size() > kMaxPingBytes) {
    end("ping-too-large");
  } else if (aType == MessageType::Ping) {
    send(MessageType::Pong, std::move(aPayload));
  } else if (aType != MessageType::Pong) {
    m_onFrame(aType, std::move(aPayload));
  }
}

void
FrameStream::write()
{
  if (!m_open || m_writing || m_queue.empty() || m_ended) {
    return;
  }
  m_writing = true;
  // The frame leaves the queue here: from now on the peer may receive it.
  auto frame = std::make_shared<Frame>(std::move(m_queue.front()));
  m_queue.pop_front();
  m_queued -= frame->payload.size();
  const auto type = static_cast<MessageType>(frame->header[4]);
  if (type != MessageType::Pong) {
    watchProgress();
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
      if (aError) {
        end("write-failed");
        return;
      }
      write();
    });
}

/// Watches for an answer while something sent is unanswered. A ping makes the
/// peer answer when it has no reply to give yet.
void
FrameStream::watchProgress()
{
  if (m_answered) {
    m_answered = false;
    m_silentSince = steady_clock::now();
  }
  if (m_watching) {
    return;
  }
  m_watching = true;
  m_timer.expires_after(kProgressTick);
  auto self = shared_from_this();
  m_timer.async_wait([this, self](const boost::system::error_code& aError) {
    m_watching = false;
    if (aError || m_ended || m_answered) {
      return;
    }
    if (steady_clock::now() - m_silentSince >= kSilenceLimit) {
      end("silent");
      return;
    }
    send(MessageType::Ping, encode(Ping{}));
    watchProgress();
  });
}

void
FrameStream::end(const char* aReason)
{
  if (m_ended) {
    return;
  }
  m_ended = true;
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
  m_onClose(aReason, std::move(unsent));
}

} // namespace toucanridge
