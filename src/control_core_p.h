#ifndef TOUCANRIDGE_CONTROL_CORE_P_H
#define TOUCANRIDGE_CONTROL_CORE_P_H

/// Membership, broadcast and configuration sync of one node, connected; does
/// no I/O, so that tests can run many on one virtual clock.

#include <functional>
#include <string>

#include "broadcaster_p.h"
#include "config_sync_p.h"
#include "membership_p.h"

namespace toucanridge {

/// Who the node is.
struct NodeIdentity
{
  std::string host;
  std::string dataCentre;
  std::uint64_t incarnation = 0;
};

class ControlCore final : public GossipLocalI
{
public:
  struct Ports
  {
    DatagramSenderI& datagrams;
    ConfigSenderI& fetches;
    PlatformI& platform; ///< calls back on this object's thread
    PeerEvidenceI& evidence;
    /// @returns the view since which no older request runs; see PeerState
    std::function<ViewId()> settled;
    /// @returns the view under which this node holds a lease; see PeerState
    std::function<ViewId()> leased;
    /// @returns queries that run
    std::function<std::uint32_t()> load;
    /// Takes a new view. It may be used for new work only when aReady is set.
    std::function<void(const ViewPtr&, bool aReady)> onView;
  };

  ControlCore(const ClockI& aClock,
              std::uint64_t aSeed,
              NodeIdentity aIdentity,
              Ports aPorts,
              MembershipSettings aMembership = {},
              ConfigSyncSettings aConfig = {});

  /// Does what is due; call it every 50 ms or more often.
  void tick();

  Broadcaster& broadcaster() { return m_broadcaster; }
  Membership& membership() { return m_membership; }
  ConfigSync& config() { return m_config; }
  /// @returns the view in force, zeros until the node is ready
  const ViewId& adopted() const { return m_adopted; }

  PeerState state() const override;
  ConfigDigest digest() const override;
  std::uint32_t load() const override;
  void onDigest(const std::string& aHost,
                const PeerAddress& aAddress,
                const ConfigDigest& aDigest) override;

private:
  void onChange(DocumentKind aKind);
  void publish();

  const NodeIdentity m_identity;
  Ports m_ports;
  ViewId m_adopted;
  Broadcaster m_broadcaster;
  Membership m_membership;
  ConfigSync m_config;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CONTROL_CORE_P_H
