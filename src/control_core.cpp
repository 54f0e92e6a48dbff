#include "control_core_p.h"

namespace toucanridge {

ControlCore::ControlCore(const ClockI& aClock,
                         std::uint64_t aSeed,
                         NodeIdentity aIdentity,
                         Ports aPorts,
                         MembershipSettings aMembership,
                         ConfigSyncSettings aConfig)
  : m_identity(std::move(aIdentity))
  , m_ports(std::move(aPorts))
  , m_broadcaster(m_identity.host, m_identity.incarnation)
  , m_membership(aClock,
                 aSeed,
                 aMembership,
                 m_ports.datagrams,
                 *this,
                 m_ports.evidence,
                 m_broadcaster,
                 m_identity.dataCentre)
  , m_config(
      aClock,
      aSeed + 1,
      aConfig,
      m_ports.platform,
      m_ports.fetches,
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
    publish();
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
  publish();
}

void
ControlCore::publish()
{
  const ViewId held = m_config.held();
  if (held.rules == 0 || held.hosts == 0) {
    return;
  }
  const bool ready = m_config.isReady();
  if (ready) {
    m_adopted = held;
  }
  m_ports.onView(makeView(held.rules, m_config.rules(), m_config.hosts()),
                 ready);
}

PeerState
ControlCore::state() const
{
  return { m_identity.host,
           m_identity.incarnation,
           m_adopted,
           m_ports.settled(),
           m_ports.leased() };
}

ConfigDigest
ControlCore::digest() const
{
  return m_config.digest();
}

std::uint32_t
ControlCore::load() const
{
  return m_ports.load();
}

void
ControlCore::onDigest(const std::string& aHost,
                      const PeerAddress& aAddress,
                      const ConfigDigest& aDigest)
{
  m_config.onDigest(aHost, aAddress, aDigest);
}

} // namespace toucanridge
