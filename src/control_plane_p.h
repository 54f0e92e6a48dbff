#ifndef TOUCANRIDGE_CONTROL_PLANE_P_H
#define TOUCANRIDGE_CONTROL_PLANE_P_H

/// Runs a node's control core on the control thread and connects it to sockets
/// and to the platform.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio.hpp>

#include "caller_api_p.h"
#include "control_core_p.h"
#include "gossip_socket_p.h"
#include "peer_link_p.h"
#include "settings_p.h"
#include "view_p.h"

namespace toucanridge {

/// A copy of control state for status and metrics, at most a second old.
struct ControlStatus
{
  MembershipCounters membership;
  ConfigSyncCounters config;
  ReaderRole role = ReaderRole::Starting;
  bool ready = false;
  ViewId held;
  std::uint64_t refusedRules = 0;
  std::uint64_t refusedHosts = 0;
  std::uint64_t unsentDatagrams = 0;
  std::map<std::string, MemberState> members;
};

class ControlPlane final
  : public ConfigSenderI
  , public ProbeAckListenerI
{
public:
  /// @param[in] aContext I/O context of the control thread
  /// @param[in] aPlatform may call back on any thread
  /// @param[in] aLinks carries configuration between nodes
  /// @param[in] aViews receives each view that new work may use
  ControlPlane(boost::asio::io_context& aContext,
               const ClockI& aClock,
               const NodeSettings& aSettings,
               std::uint64_t aIncarnation,
               PlatformI& aPlatform,
               PeerLinks& aLinks,
               ViewHolder& aViews,
               std::function<std::uint32_t()> aLoad);
  ~ControlPlane() override;

  /// Sets the receiver of acknowledged probes, which is called on the control
  /// thread. Call it before init().
  void setProbeAckListener(ProbeAckListenerI* aProbeAckListener)
  {
    m_probeAckListener = aProbeAckListener;
  }
  /// Sets the function that returns the settled view; see PeerState. It is
  /// called on the control thread. Call setSettledViewSource() before init().
  void setSettledViewSource(std::function<ViewId()> aSource)
  {
    m_settledViewSource = std::move(aSource);
  }
  /// Sets the function that returns the view under which this node holds a
  /// lease; see PeerState. It is called on the control thread. Call
  /// setLeasedViewSource() before init().
  void setLeasedViewSource(std::function<ViewId()> aSource)
  {
    m_leasedViewSource = std::move(aSource);
  }
  /// Sets whether to probe faster, which is needed while the sending rights
  /// wait for acknowledgements from other data centres. Call it on the control
  /// thread.
  void setFastProbing(bool aFastProbing)
  {
    m_core.membership().setFastProbing(aFastProbing);
  }
  /// Sets the function that is called on the control thread with each view that
  /// new work may use, before the view is published to traffic. Call
  /// setOnView() before init().
  void setOnView(std::function<void(const ViewPtr&)> aOnView)
  {
    m_onView = std::move(aOnView);
  }
  /// Sets the function that is called on the control thread, at least once a
  /// second, with the hosts believed alive and whether recent messages have
  /// reached this one. Call setOnMembers() before init().
  using OnMembers = std::function<void(std::vector<std::string>, bool)>;
  void setOnMembers(OnMembers aOnMembers)
  {
    m_onMembers = std::move(aOnMembers);
  }
  BroadcastI& broadcast() { return m_core.broadcaster(); }

  /// Binds the UDP socket and starts the periodic work.
  /// @returns an error when the address can't be bound
  std::error_code init();
  /// Announces that this host leaves; any thread.
  void leave();
  /// @returns time in which the announcement reaches nearly all nodes and the
  ///          addresses that callers hold expire
  std::chrono::milliseconds leaveTime() const;
  /// Closes the socket, stops the timer and ignores results of platform reads
  /// from then on. Call it after the control thread has ended.
  void shutdown();

  // Any thread.
  bool isAlive(const std::string& aHost) const;
  /// Reports that traffic failed to reach a host; the host is probed at once.
  void onLinkLost(const std::string& aHost);
  /// @param[in] aDataCentre the caller's
  /// @returns addresses for callers: hosts in service and believed alive, those
  ///          of the caller's data centre first. Within both groups the order
  ///          is random, weighted in favour of less loaded hosts.
  AddressAnswer addresses(const std::string& aDataCentre) const;
  std::shared_ptr<const ControlStatus> status() const;
  /// Answers a peer's ConfigFetch.
  void onConfigRequest(const std::string& aPayload,
                       const PeerLinks::Reply& aReply);
  /// Handles a peer's reply to a ConfigFetch.
  void onConfigReply(const std::string& aHost,
                     MessageType aType,
                     const std::string& aPayload);

private:
  class PlatformOnControl;

  void sendFetch(const std::string& aHost,
                 const PeerAddress& aAddress,
                 const ConfigFetch& aFetch) override;
  void onProbeAcked(const PeerState& aPeer, TimePoint aSentAt) override;
  void tickPeriodically();
  void publishMembers();
  void publishStatus();

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  const NodeSettings m_settings;
  const std::uint64_t m_incarnation;
  PeerLinks& m_links;
  ViewHolder& m_views;
  ViewHolder m_newestView; ///< newest view, also before the node is ready
  ProbeAckListenerI* m_probeAckListener = nullptr;
  std::function<ViewId()> m_settledViewSource;
  std::function<ViewId()> m_leasedViewSource;
  std::function<void(const ViewPtr&)> m_onView;
  OnMembers m_onMembers;
  std::unique_ptr<PlatformOnControl> m_platform;
  GossipSocket m_socket;
  ControlCore m_core;
  boost::asio::steady_timer m_timer;
  TimePoint m_nextStatus;
  std::atomic<bool> m_leaving{ false };
  std::atomic<std::chrono::milliseconds> m_spreadTime{
    std::chrono::milliseconds(0)
  };
  std::shared_ptr<const MemberSnapshot> m_members;
  std::shared_ptr<const ControlStatus> m_status;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CONTROL_PLANE_P_H
