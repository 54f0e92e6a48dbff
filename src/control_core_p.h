#ifndef TOUCANRIDGE_CONTROL_CORE_P_H
#define TOUCANRIDGE_CONTROL_CORE_P_H

/// Connects membership, broadcast and configuration sync of one node. Does no
/// I/O, so that tests can run many nodes on one virtual clock.

#include <functional>
#include <string>

#include "broadcaster_p.h"
#include "config_sync_p.h"
#include "membership_p.h"

namespace toucanridge {

/// Identifies a node and one run of its process.
struct NodeIdentity
{
  std::string host;
  std::string dataCentre;
  std::uint64_t incarnation = 0; ///< rises with each start of the process
};

class ControlCore final : public LocalNodeI
{
public:
  struct Dependencies
  {
    DatagramSenderI& datagrams;
    ConfigSenderI& fetches;
    PlatformI& platform; ///< calls back on this object's thread
    ProbeAckListenerI& probeAckListener;
    /// @returns the view that is settled at this node: no request under an
    ///          older one runs; see PeerState
    std::function<ViewId()> settled;
    /// @returns the view under which this node holds a lease; see PeerState
    std::function<ViewId()> leased;
    /// @returns the number of running queries
    std::function<std::uint32_t()> load;
    /// Called with each new view. New work may use it only when aReady is set.
    std::function<void(const ViewPtr&, bool aReady)> onView;
  };

  ControlCore(const ClockI& aClock,
              std::uint64_t aSeed,
              NodeIdentity aIdentity,
              Dependencies aDependencies,
              MembershipSettings aMembership = {},
              ConfigSyncSettings aConfig = {});

  /// Runs the periodic work of configuration sync and membership; call it every
  /// 50 ms or more often.
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
  void publishView();

  const NodeIdentity m_identity;
  Dependencies m_dependencies;
  ViewId m_adopted;
  Broadcaster m_broadcaster;
  Membership m_membership;
  ConfigSync m_config;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CONTROL_CORE_P_H
