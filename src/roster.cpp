#include "roster_p.h"

#include <algorithm>
#include <limits>

#include "log_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// A starting host sends introductions often, so that it can route traffic
/// soon, and continues while it discovers hosts that it didn't know.
constexpr milliseconds kStartingInterval{ 150 };
/// Interval while no other host is known: the seeds may be starting as well.
constexpr milliseconds kAloneInterval{ 50 };
constexpr std::chrono::seconds kStartingPeriod{ 3 };
constexpr milliseconds kSteadyInterval{ 3000 };
/// One introduction in this many goes to a seed, the others to known hosts.
/// Seeds may be outdated, but may also be the only way to hosts that the known
/// ones don't know.
constexpr std::size_t kIntroductionsPerSeed = 3;
/// Limit of hosts in one datagram; each takes about 60 of its 1,200 bytes.
constexpr std::size_t kMaxHostsPerDatagram = 14;
/// Limit of hosts in an introduction that requests a reply, once
/// kStartingPeriod has passed since the last discovery. Such introductions only
/// make up for lost ones, since gossip detects which hosts are alive.
constexpr std::size_t kSteadyHostsPerDatagram = 4;
/// A host that was last heard from longer ago is not included in introductions.
constexpr std::chrono::seconds kMaxForwardedAge{ 15 };

/// One host in an introduction.
struct IntroducedHost
{
  Host host;
  std::uint8_t ageSeconds = 0; ///< seconds since the host was last heard from
};

/// Datagram that contains the sender's details and those of hosts it knows.
struct Introduction
{
  std::uint8_t kind = kIntroductionKind;
  std::uint8_t wantsReply = 0;       ///< the sender wants an introduction back
  std::uint16_t knownCount = 0;      ///< number of hosts that the sender knows
  std::vector<IntroducedHost> hosts; ///< the sender first

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kind, wantsReply, knownCount);
    auto size = static_cast<std::uint8_t>(hosts.size());
    aArchive(size);
    hosts.resize(size);
    for (IntroducedHost& entry : hosts) {
      Host& host = entry.host;
      wireShortText(aArchive, host.name);
      wireShortText(aArchive, host.dataCentre);
      wireShortText(aArchive, host.address);
      aArchive(host.httpPort, host.peerPort, host.capacity, entry.ageSeconds);
    }
  }
};

bool
hasSameDetails(const Host& aOne, const Host& aOther)
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
  , m_lastDiscovery(aClock.now())
  , m_nextIntroduction(aClock.now())
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
    const bool expired = now - i->second.lastHeard >= kForgetAfter;
    m_changed |= expired;
    i = expired ? m_hosts.erase(i) : std::next(i);
  }
  if (now < m_nextIntroduction) {
    return;
  }
  const bool starting = now - m_lastDiscovery < kStartingPeriod;
  m_nextIntroduction = now + (!starting         ? kSteadyInterval
                              : m_hosts.empty() ? kAloneInterval
                                                : kStartingInterval);
  if (m_introductionCount == 0) {
    ++m_introductionCount;
    for (const PeerAddress& seed : m_seeds) {
      sendIntroduction(seed, true);
    }
    return;
  }
  const bool toSeed =
    m_hosts.empty() || m_introductionCount++ % kIntroductionsPerSeed == 0;
  if (toSeed && !m_seeds.empty()) {
    auto pick =
      std::uniform_int_distribution<std::size_t>(0, m_seeds.size() - 1);
    sendIntroduction(m_seeds[pick(m_random)], true);
  } else if (!m_hosts.empty()) {
    auto pick =
      std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1);
    const Host& host =
      std::next(m_hosts.begin(), static_cast<std::ptrdiff_t>(pick(m_random)))
        ->second.host;
    sendIntroduction({ host.address, host.peerPort }, true);
  }
}

void
Roster::sendIntroduction(const PeerAddress& aTo, bool aWantsReply)
{
  Introduction message;
  message.wantsReply = aWantsReply ? 1 : 0;
  message.knownCount = static_cast<std::uint16_t>(
    std::min<std::size_t>(size(), std::numeric_limits<std::uint16_t>::max()));
  message.hosts.push_back({ m_self, 0 });
  // Includes only hosts heard from recently: forwarding older entries would
  // keep a stopped host in every roster forever.
  const TimePoint now = m_clock.now();
  std::vector<IntroducedHost> others;
  for (const auto& entry : m_hosts) {
    const Duration age = now - entry.second.lastHeard;
    if (age < kMaxForwardedAge) {
      const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(age).count() + 1;
      others.push_back(
        { entry.second.host, static_cast<std::uint8_t>(seconds) });
    }
  }
  std::shuffle(others.begin(), others.end(), m_random);
  const bool starting = now - m_lastDiscovery < kStartingPeriod;
  const std::size_t maxHosts =
    starting || !aWantsReply ? kMaxHostsPerDatagram : kSteadyHostsPerDatagram;
  for (const IntroducedHost& other : others) {
    if (message.hosts.size() >= maxHosts) {
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
      message->hosts.size() > kMaxHostsPerDatagram) {
    logWrite(LogLevel::Warn,
             LogLine("introduction-malformed").add("from", aFrom.address));
    return;
  }
  const TimePoint now = m_clock.now();
  for (const IntroducedHost& entry : message->hosts) {
    addOrUpdate(entry.host, now - std::chrono::seconds(entry.ageSeconds));
  }
  if (message->knownCount > size()) {
    m_lastDiscovery = now; // the sender knows hosts that this one doesn't
  }
  if (message->wantsReply != 0) {
    sendIntroduction(aFrom, false);
  }
}

void
Roster::addOrUpdate(const Host& aHost, TimePoint aLastHeard)
{
  if (aHost.name == m_self.name || aHost.name.empty()) {
    return;
  }
  const auto found = m_hosts.find(aHost.name);
  if (found == m_hosts.end()) {
    m_hosts[aHost.name] = { aHost, aLastHeard, m_clock.now() };
    m_changed = true;
    m_lastDiscovery = m_clock.now();
    logWrite(LogLevel::Info,
             LogLine("host-found")
               .add("host", aHost.name)
               .add("address", aHost.address)
               .add("data_centre", aHost.dataCentre));
    return;
  }
  KnownHost& known = found->second;
  if (aLastHeard > known.lastHeard) {
    if (!hasSameDetails(known.host, aHost)) {
      known.host = aHost;
      m_changed = true;
    }
    known.lastHeard = aLastHeard;
  }
}

void
Roster::onProbeAnswered(const std::string& aHost)
{
  const auto found = m_hosts.find(aHost);
  if (found != m_hosts.end()) {
    found->second.lastHeard = m_clock.now();
  }
}

bool
Roster::isInSameDataCentre(const std::string& aHost) const
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
                                : m_clock.now() - found->second.discoveredAt;
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
