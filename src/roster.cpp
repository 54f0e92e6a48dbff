#include "roster_p.h"

#include <algorithm>
#include <limits>

#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// A starting host introduces itself often, so that traffic finds the fleet,
/// and goes on for as long as it hears of others that it didn't know.
constexpr milliseconds kStartingEvery{ 150 };
constexpr std::chrono::seconds kStartingTime{ 3 };
constexpr milliseconds kEvery{ 3000 };
/// Each introduction goes to a seed in one of this many turns; the others go
/// to known hosts. Seeds may be stale, or the only way to another part.
constexpr std::size_t kSeedTurns = 3;
/// Hosts in one datagram; each takes about 60 of its 1,200 bytes.
constexpr std::size_t kHostsInDatagram = 14;
/// Later on, introductions only repair what was lost: gossip tells who lives.
constexpr std::size_t kHostsLater = 4;
/// Age up to which word of a host is passed on.
constexpr std::chrono::seconds kFresh{ 15 };

/// One host in an introduction.
struct Introduced
{
  Host host;
  std::uint8_t ageS = 0; ///< seconds since its own word
};

/// What hosts tell each other of themselves and others.
struct Introduction
{
  std::uint8_t kind = kIntroductionKind;
  std::uint8_t asks = 0;         ///< the sender wants an introduction back
  std::uint16_t known = 0;       ///< hosts that the sender knows
  std::vector<Introduced> hosts; ///< the sender first

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kind, asks, known);
    auto size = static_cast<std::uint8_t>(hosts.size());
    aArchive(size);
    hosts.resize(size);
    for (Introduced& entry : hosts) {
      Host& host = entry.host;
      wireShortText(aArchive, host.name);
      wireShortText(aArchive, host.dataCentre);
      wireShortText(aArchive, host.address);
      aArchive(host.httpPort, host.peerPort, host.capacity, entry.ageS);
    }
  }
};

bool
isSame(const Host& aOne, const Host& aOther)
{
  return aOne.dataCentre == aOther.dataCentre &&
         aOne.address == aOther.address && aOne.httpPort == aOther.httpPort &&
         aOne.peerPort == aOther.peerPort && aOne.capacity == aOther.capacity;
}

} // namespace

bool
isIntroduction(std::string_view aBytes)
{
  // The first byte is the archive's byte order.
  return aBytes.size() > 1 &&
         static_cast<std::uint8_t>(aBytes[1]) == kIntroductionKind;
}

Roster::Roster(const ClockI& aClock,
               std::uint64_t aSeed,
               DatagramSenderI& aSender,
               Host aSelf)
  : m_clock(aClock)
  , m_random(aSeed)
  , m_sender(aSender)
  , m_self(std::move(aSelf))
  , m_learnt(aClock.now())
  , m_next(aClock.now())
{
}

void
Roster::setSeeds(std::vector<PeerAddress> aSeeds)
{
  m_seeds = std::move(aSeeds);
  m_seeds.erase(std::remove_if(m_seeds.begin(),
                               m_seeds.end(),
                               [this](const PeerAddress& aSeed) {
                                 return aSeed.address == m_self.address;
                               }),
                m_seeds.end());
}

void
Roster::tick()
{
  const TimePoint now = m_clock.now();
  for (auto i = m_hosts.begin(); i != m_hosts.end();) {
    const bool forgotten = now - i->second.heard >= kForgetAfter;
    m_changed |= forgotten;
    i = forgotten ? m_hosts.erase(i) : std::next(i);
  }
  if (now < m_next) {
    return;
  }
  const bool starting = now - m_learnt < kStartingTime;
  m_next = now + (starting ? kStartingEvery : kEvery);
  if (m_turn == 0) {
    ++m_turn;
    for (const PeerAddress& seed : m_seeds) {
      introduce(seed, true);
    }
    return;
  }
  const bool toSeed = m_hosts.empty() || m_turn++ % kSeedTurns == 0;
  if (toSeed && !m_seeds.empty()) {
    auto pick =
      std::uniform_int_distribution<std::size_t>(0, m_seeds.size() - 1);
    introduce(m_seeds[pick(m_random)], true);
  } else if (!m_hosts.empty()) {
    auto pick =
      std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1);
    const Host& host =
      std::next(m_hosts.begin(), static_cast<std::ptrdiff_t>(pick(m_random)))
        ->second.host;
    introduce({ host.address, host.peerPort }, true);
  }
}

void
Roster::introduce(const PeerAddress& aTo, bool aAsk)
{
  Introduction message;
  message.asks = aAsk ? 1 : 0;
  message.known = static_cast<std::uint16_t>(
    std::min<std::size_t>(size(), std::numeric_limits<std::uint16_t>::max()));
  message.hosts.push_back({ m_self, 0 });
  // Only hosts heard of lately: passing on old word would keep a host that is
  // gone in every roster for ever.
  const TimePoint now = m_clock.now();
  std::vector<Introduced> others;
  for (const auto& entry : m_hosts) {
    const Duration age = now - entry.second.heard;
    if (age < kFresh) {
      const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(age).count() + 1;
      others.push_back(
        { entry.second.host, static_cast<std::uint8_t>(seconds) });
    }
  }
  std::shuffle(others.begin(), others.end(), m_random);
  const bool starting = now - m_learnt < kStartingTime;
  const std::size_t most = starting || !aAsk ? kHostsInDatagram : kHostsLater;
  for (const Introduced& other : others) {
    if (message.hosts.size() >= most) {
      break;
    }
    message.hosts.push_back(other);
  }
  m_sender.sendDatagram(aTo, encode(message));
}

void
Roster::onDatagram(const PeerAddress& aFrom, std::string_view aBytes)
{
  const auto message = aBytes.size() > kMaxDatagramBytes
                         ? std::nullopt
                         : decode<Introduction>(aBytes);
  if (!message || message->hosts.empty() ||
      message->hosts.size() > kHostsInDatagram) {
    logWrite(LogLevel::Warn,
             LogLine("introduction-malformed").add("from", aFrom.address));
    return;
  }
  const TimePoint now = m_clock.now();
  for (const Introduced& entry : message->hosts) {
    learn(entry.host, now - std::chrono::seconds(entry.ageS));
  }
  if (message->known > size()) {
    m_learnt = now; // there is more to hear of
  }
  if (message->asks != 0) {
    introduce(aFrom, false);
  }
}

void
Roster::learn(const Host& aHost, TimePoint aHeard)
{
  if (aHost.name == m_self.name || aHost.name.empty()) {
    return;
  }
  const auto found = m_hosts.find(aHost.name);
  if (found == m_hosts.end()) {
    m_hosts[aHost.name] = { aHost, aHeard, m_clock.now() };
    m_changed = true;
    m_learnt = m_clock.now();
    logWrite(LogLevel::Info,
             LogLine("host-found")
               .add("host", aHost.name)
               .add("address", aHost.address)
               .add("data_centre", aHost.dataCentre));
    return;
  }
  Known& known = found->second;
  if (aHeard > known.heard) {
    if (!isSame(known.host, aHost)) {
      known.host = aHost;
      m_changed = true;
    }
    known.heard = aHeard;
  }
}

void
Roster::onHeard(const std::string& aHost)
{
  const auto found = m_hosts.find(aHost);
  if (found != m_hosts.end()) {
    found->second.heard = m_clock.now();
  }
}

bool
Roster::isNear(const std::string& aHost) const
{
  const auto found = m_hosts.find(aHost);
  return found != m_hosts.end() &&
         found->second.host.dataCentre == m_self.dataCentre;
}

Duration
Roster::knownFor(const std::string& aHost) const
{
  const auto found = m_hosts.find(aHost);
  return found == m_hosts.end() ? Duration(0)
                                : m_clock.now() - found->second.since;
}

bool
Roster::takeChanged()
{
  const bool changed = m_changed;
  m_changed = false;
  m_revision += changed ? 1 : 0;
  return changed;
}

HostList
Roster::list() const
{
  HostList list;
  list.revision = m_revision;
  list.hosts.push_back(m_self);
  for (const auto& entry : m_hosts) {
    list.hosts.push_back(entry.second.host);
  }
  return list;
}

} // namespace toucanridge
