#include "control_core_p.h"

namespace toucanridge {

ControlCore::ControlCore(const ClockI& aClock,
                         std::uint64_t aSeed,
                         NodeIdentity aIdentity,
                         Dependencies aDependencies,
                         MembershipSettings aMembership,
                         ConfigSyncSettings aConfig)
  : m_identity(std::move(aIdentity))
  , m_dependencies(std::move(aDependencies))
  , m_broadcaster(m_identity.host, m_identity.incarnation)
  , m_membership(aClock,
                 aSeed,
                 aMembership,
                 m_dependencies.datagrams,
                 *this,
                 m_dependencies.probeAckListener,
                 m_broadcaster,
                 m_identity.dataCentre)
  , m_config(
      aClock,
      aSeed + 1,
      aConfig,
      m_dependencies.platform,
      m_dependencies.fetches,
      m_identity.host,
      m_identity.dataCentre,
      [this](const std::string& aHost) { return m_membership.isAlive(aHost); },
      [this](DocumentKind aKind) { onChange(aKind); })
{
}

void
ControlCore::tick()
{
  const bool wasReady = m_config.isReady();
  m_config.tick();
  if (!wasReady && m_config.isReady()) {
    m_membership.setJoining(false);
    publishView();
  }
  m_membership.tick();
}

void
ControlCore::onChange(DocumentKind aKind)
{
  if (aKind == DocumentKind::Hosts) {
    m_membership.setHosts(m_config.hosts());
  } else {
    m_membership.setLease(m_config.rules()->rights.lease);
  }
  publishView();
}

void
ControlCore::publishView()
{
  const ViewId held = m_config.heldRevisions();
  if (held.rules == 0 || held.hosts == 0) {
    return;
  }
  const bool ready = m_config.isReady();
  if (ready) {
    m_adopted = held;
  }
  m_dependencies.onView(
    makeView(held.rules, m_config.rules(), m_config.hosts()), ready);
}

PeerState
ControlCore::state() const
{
  return { m_identity.host,
           m_identity.incarnation,
           m_adopted,
           m_dependencies.settled(),
           m_dependencies.leased() };
}

ConfigDigest
ControlCore::digest() const
{
  return m_config.digest();
}

std::uint32_t
ControlCore::load() const
{
  return m_dependencies.load();
}

void
ControlCore::onDigest(const std::string& aHost,
                      const PeerAddress& aAddress,
                      const ConfigDigest& aDigest)
{
  m_config.onDigest(aHost, aAddress, aDigest);
}

} // namespace toucanridge
