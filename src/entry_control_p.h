#ifndef TOUCANRIDGE_ENTRY_CONTROL_P_H
#define TOUCANRIDGE_ENTRY_CONTROL_P_H

/// The control thread's part of a host that serves published routes: tracks the
/// other hosts, keeps the published items and serves the directory from which
/// callers get the addresses to connect to.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "broadcaster_p.h"
#include "catalogue_keeper_p.h"
#include "entry_settings_p.h"
#include "fetch_schedule_p.h"
#include "gossip_socket_p.h"
#include "http_server_p.h"
#include "membership_p.h"
#include "peer_link_p.h"
#include "published_items_p.h"
#include "published_source_p.h"
#include "quarantine_p.h"
#include "roster_p.h"
#include "traffic_p.h"

namespace toucanridge {

class EntryControl final
  : public LocalNodeI
  , public ProbeAckListenerI
  , public PublishedListenerI
{
public:
  /// The platform's adapter; must outlive this object.
  struct Adapter
  {
    PublishedSourceI& source;
    const PublishedDecoderI& decoder;
    const DirectoryProtocolI& directory;
  };

  /// @param[in] aBroadcaster its items travel with this host's gossip
  /// @param[in] aQuarantine is told which hosts are alive
  /// @param[in] aClientBudget counts what clients and peers make it hold
  /// @param[in] aOnView called with each new view, on the control thread
  /// @param[in] aLoad returns the number of running queries; must be
  ///            thread-safe
  EntryControl(boost::asio::io_context& aContext,
               const ClockI& aClock,
               const EntrySettings& aSettings,
               std::uint64_t aIncarnation,
               Broadcaster& aBroadcaster,
               Quarantine& aQuarantine,
               const std::shared_ptr<BufferBudget>& aClientBudget,
               Adapter aAdapter,
               std::function<void(const TrafficView&)> aOnView,
               std::function<std::uint32_t()> aLoad);

  /// Binds the sockets, then starts reading items and exchanging gossip.
  /// @returns an error when an address can't be bound
  std::error_code init();
  /// Applies changed settings; only the seeds may differ.
  void reload(const EntrySettings& aSettings);
  /// Announces to peers and callers that this host leaves.
  void leave();
  void shutdown();

  // LocalNodeI
  PeerState state() const override;
  ConfigDigest digest() const override;
  std::uint32_t load() const override;
  void onDigest(const std::string& aHost,
                const PeerAddress& aAddress,
                const ConfigDigest& aDigest) override;
  // ProbeAckListenerI
  void onProbeAcked(const PeerState& aPeer, TimePoint aSentAt) override;
  // PublishedListenerI
  void onItems(const ItemChanges& aChanges) override;

private:
  void runPeriodicTasks();
  void updateReaderRole();
  void onHttp(const HttpExchangePtr& aExchange);
  bool isReady() const;
  bool isInformed() const;
  void applyItems(const ItemChanges& aChanges, const char* aSource);
  void applyRouting(const PublishedItem& aItem);
  void publish();
  std::shared_ptr<const ControlReport> makeReport(
    const std::vector<Host>& aEntryHosts) const;
  bool isServing(const std::string& aHost) const;
  std::vector<Host> servingHosts() const;
  std::vector<Host> entryHosts() const;
  HttpResponse makeAddressesResponse() const;
  ItemsState itemsState() const;
  void fetchIfDue();
  void closeIdleLinks();
  void onPeerRequest(const std::string& aPayload,
                     const PeerLinks::Reply& aReply);

  boost::asio::io_context& m_context;
  const ClockI& m_clock;
  EntrySettings m_settings;
  const std::uint64_t m_incarnation;
  Quarantine& m_quarantine;
  Adapter m_adapter;
  std::function<void(const TrafficView&)> m_onView;
  std::function<std::uint32_t()> m_load;
  GossipSocket m_socket;
  Roster m_roster;
  Membership m_membership;
  PeerLinks m_links;
  HttpServer m_directory;
  HttpServer m_readiness;
  boost::asio::steady_timer m_timer;
  const TimePoint m_started;
  bool m_heardServingPeer = false;
  bool m_heardStartingPeer = false;
  bool m_wasInformed = false; ///< as of the last published view
  bool m_isReader = false;    ///< this host reads the platform
  /// Whether its reads fail, as announced to its substitutes.
  bool m_announcedReadsFail = false;
  /// Whether a peer's reads of the platform fail, by host.
  std::map<std::string, bool> m_peerReadsFail;

  PublishedItems m_items;
  FetchSchedule m_fetchSchedule; ///< of fetches from peers
  /// When the latest reply came over each connection without a fetch, by host.
  std::map<std::string, TimePoint> m_repliedAt;
  CatalogueKeeper m_catalogueKeeper;
  std::shared_ptr<const RoutingTable> m_routing;
  std::shared_ptr<const ServerCatalogue> m_catalogue;
  TimePoint m_nextPublishAt;
  TimePoint m_itemsChangedAt;
  bool m_servingPeersChanged = false; ///< a peer started or stopped serving
  /// Servers of sharded services, by data centre.
  std::map<std::string, std::size_t> m_shardServerCounts;
  /// Revisions of the peers' items, by host; 0 for one that doesn't serve.
  std::map<std::string, std::uint64_t> m_peerRevisions;
  bool m_leaving = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ENTRY_CONTROL_P_H
