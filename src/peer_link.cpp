#include "peer_link_p.h"

#include <algorithm>

#include "log_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
/// Time in which an accepted connection must send Hello.
constexpr std::chrono::seconds kHelloTimeout{ 2 };
/// Largest frame before Hello; a host name is far shorter.
constexpr std::size_t kMaxHelloBytes = 512;
/// Limit of the accepted connections that have not sent Hello yet. After a
/// restart all 559 peers connect at once.
constexpr std::size_t kMaxAwaitingHello = 1024;
/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };
/// Reason of a close that this node wanted.
constexpr const char* kDisconnected = "disconnected";

} // namespace

PeerLinks::PeerLinks(asio::io_context& aContext,
                     Hello aSelf,
                     PeerLinkLimits aLimits)
  : m_context(aContext)
  , m_self(std::move(aSelf))
  , m_limits(std::move(aLimits))
  , m_acceptor(aContext)
  , m_acceptTimer(aContext)
{
}

std::error_code
PeerLinks::init(const std::string& aAddress,
                std::uint16_t aPort,
                Handlers aHandlers)
{
  m_handlers = std::move(aHandlers);
  boost::system::error_code error;
  m_address = asio::ip::make_address(aAddress, error);
  const tcp::endpoint endpoint(m_address, aPort);
  if (!error) {
    m_acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(endpoint, error);
  }
  if (!error) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return { error.value(), std::system_category() };
  }
  acceptNext();
  return {};
}

void
PeerLinks::shutdown()
{
  std::vector<StreamPtr> streams;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
    for (auto& entry : m_links) {
      streams.push_back(entry.second);
    }
    for (auto& entry : m_accepted) {
      streams.push_back(entry.second.stream);
    }
  }
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  for (const StreamPtr& stream : streams) {
    stream->close("shutdown");
  }
}

void
PeerLinks::acceptNext()
{
  m_acceptor.async_accept(
    asio::make_strand(m_context),
    [this](const boost::system::error_code& aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        serve(
          std::make_shared<FrameStream>(std::move(aSocket), m_limits.budget));
        acceptNext();
        return;
      }
      logWrite(LogLevel::Warn,
               LogLine("accept-failed").addText("reason", aError.message()));
      m_acceptTimer.expires_after(kAcceptRetryDelay);
      m_acceptTimer.async_wait(
        [this](const boost::system::error_code& aTimerError) {
          if (!aTimerError) {
            acceptNext();
          }
        });
    });
}

void
PeerLinks::serve(const StreamPtr& aStream)
{
  if (!addAccepted(aStream)) {
    return;
  }
  aStream->setFrameLimit(kMaxHelloBytes);
  auto peer = std::make_shared<Hello>();
  const std::weak_ptr<FrameStream> weak = aStream;
  FrameStream* const key = aStream.get();
  const Reply reply = [weak](MessageType aType, std::string aPayload) {
    if (const StreamPtr stream = weak.lock()) {
      stream->send(aType, std::move(aPayload));
    }
  };
  aStream->accept(
    [this, peer, weak, reply](MessageType aType, const std::string& aPayload) {
      if (aType == MessageType::Hello) {
        const StreamPtr stream = weak.lock();
        auto hello = decode<Hello>(aPayload);
        if (stream && hello && !hello->host.empty()) {
          *peer = std::move(*hello);
          stream->setFrameLimit(kMaxFrameBytes);
          onHello(stream);
          return;
        }
      } else if (!peer->host.empty()) {
        if (const StreamPtr stream = weak.lock()) {
          onFrame(stream);
        }
        m_handlers.onRequest(peer->host, aType, aPayload, reply);
        return;
      }
      logWrite(LogLevel::Warn,
               LogLine("peer-refused")
                 .add("reason", "no-hello")
                 .add("type", static_cast<int>(aType)));
      if (const StreamPtr stream = weak.lock()) {
        stream->close("no-hello");
      }
    },
    [this, key](const char*, const std::vector<std::uint64_t>&) {
      const std::lock_guard<std::mutex> lock(m_mutex);
      const auto found = m_accepted.find(key);
      if (found != m_accepted.end()) {
        m_awaitingHello -= found->second.helloReceived ? 0 : 1;
        m_accepted.erase(found);
      }
    });
  auto timer = std::make_shared<asio::steady_timer>(m_context, kHelloTimeout);
  timer->async_wait([this, weak, timer](const boost::system::error_code&) {
    if (const StreamPtr stream = weak.lock()) {
      closeIfNoHello(stream);
    }
  });
}

/// Registers an accepted connection. At the limit it takes the place of the one
/// from which no frame has come for longest.
/// @returns false when too many haven't sent Hello or the node is stopping; the
/// connection is then dropped
bool
PeerLinks::addAccepted(const StreamPtr& aStream)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_stopping) {
    return false;
  }
  if (m_awaitingHello >= std::min(kMaxAwaitingHello, m_limits.accepted)) {
    logWrite(LogLevel::Warn,
             LogLine("peer-refused")
               .add("reason", "too-many")
               .add("awaiting_hello", m_awaitingHello)
               .add("accepted", m_accepted.size()));
    return false;
  }
  if (m_accepted.size() >= m_limits.accepted) {
    const auto longest = std::min_element(
      m_accepted.begin(),
      m_accepted.end(),
      [](const auto& aOne, const auto& aOther) {
        return aOne.second.lastFrameAt < aOther.second.lastFrameAt;
      });
    longest->second.stream->close("too-many");
    m_awaitingHello -= longest->second.helloReceived ? 0 : 1;
    m_accepted.erase(longest);
  }
  m_accepted[aStream.get()] = { aStream,
                                false,
                                std::chrono::steady_clock::now() };
  ++m_awaitingHello;
  return true;
}

void
PeerLinks::onFrame(const StreamPtr& aStream)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_accepted.find(aStream.get());
  if (found != m_accepted.end()) {
    found->second.lastFrameAt = std::chrono::steady_clock::now();
  }
}

void
PeerLinks::onHello(const StreamPtr& aStream)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_accepted.find(aStream.get());
  if (found != m_accepted.end() && !found->second.helloReceived) {
    found->second.helloReceived = true;
    --m_awaitingHello;
  }
}

void
PeerLinks::closeIfNoHello(const StreamPtr& aStream)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_accepted.find(aStream.get());
    if (found == m_accepted.end() || found->second.helloReceived) {
      return;
    }
  }
  logWrite(LogLevel::Warn,
           LogLine("peer-refused").add("reason", "hello-timeout"));
  aStream->close("hello-timeout");
}

PeerLinks::StreamPtr
PeerLinks::connectTo(const std::string& aHost,
                     const std::string& aAddress,
                     std::uint16_t aPort)
{
  auto stream = std::make_shared<FrameStream>(m_context, m_limits.budget);
  FrameStream* const key = stream.get();
  boost::system::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress, error), aPort);
  stream->connect(
    m_address,
    endpoint,
    kConnectTimeout,
    [this, aHost](MessageType aType, const std::string& aPayload) {
      m_handlers.onReply(aHost, aType, aPayload);
    },
    [this, aHost, key](const char* aReason,
                       const std::vector<std::uint64_t>& aUnsent) {
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_links.find(aHost);
        if (found != m_links.end() && found->second.get() == key) {
          m_links.erase(found);
        }
      }
      if (aReason == kDisconnected) {
        return;
      }
      logWrite(LogLevel::Info,
               LogLine("link-lost")
                 .add("peer", aHost)
                 .add("reason", aReason)
                 .add("received", key->bytesSinceWrite()));
      m_handlers.onLost(aHost, aUnsent);
    });
  stream->send(MessageType::Hello, encode(m_self));
  return stream;
}

void
PeerLinks::send(const std::string& aHost,
                const std::string& aAddress,
                std::uint16_t aPort,
                MessageType aType,
                std::string aPayload,
                std::uint64_t aTag)
{
  StreamPtr stream;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    StreamPtr& link = m_links[aHost];
    if (!link) {
      link = connectTo(aHost, aAddress, aPort);
    }
    stream = link;
  }
  stream->send(aType, std::move(aPayload), aTag);
}

void
PeerLinks::disconnect(const std::string& aHost)
{
  StreamPtr stream;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_links.find(aHost);
    if (found == m_links.end()) {
      return;
    }
    stream = std::move(found->second);
    m_links.erase(found);
  }
  stream->close(kDisconnected);
}

std::size_t
PeerLinks::size() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_links.size();
}

std::uint32_t
PeerLinks::pendingReplies() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::uint32_t frames = 0;
  for (const auto& entry : m_accepted) {
    frames += entry.second.stream->pendingFrames();
  }
  return frames;
}

} // namespace toucanridge
