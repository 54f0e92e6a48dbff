#ifndef TOUCANRIDGE_GATHER_QUERY_P_H
#define TOUCANRIDGE_GATHER_QUERY_P_H

/// A query over all shards of a route. Shards with a server in this host's data
/// centre are queried directly, the others through peers (relays). Merges the
/// parts and decides when to answer with those received so far.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "query_context_p.h"
#include "relay_client_p.h"
#include "shard_fan_out_p.h"

namespace toucanridge {

/// One scatter-gather query; keeps itself alive until it is answered.
class GatherQuery
  : public RelayListenerI
  , public std::enable_shared_from_this<GatherQuery>
{
public:
  GatherQuery(const QueryDependencies& aDeps, QueryContext aQuery);

  void start();

  void onRelayReply(std::uint64_t aRelay, const RelayReply& aReply) override;
  void onRelayLost(std::uint64_t aRelay) override;

private:
  /// A request to a peer to query some of the shards, and its reply.
  struct Relay
  {
    std::string dataCentre;              ///< of the peer
    std::vector<std::size_t> asked;      ///< shards that the peer queries
    std::vector<std::size_t> received;   ///< shards whose parts the reply has
    std::vector<std::string> signatures; ///< parallel to received
    std::string records;                 ///< merged from the received parts
    Duration medianLatency{ 0 };         ///< median latency of the parts
    /// Replied, or found silent and its shards reassigned.
    bool replyCheckDone = false;
    bool ended = false; ///< refused, final or lost
  };

  void plan();
  bool sendRelay(const std::string& aDataCentre,
                 const std::vector<std::size_t>& aShards);
  void reassignMissing(Relay& aRelay);
  void checkRelays(TimePoint aNow);
  std::vector<std::size_t> receivedDirectly() const;
  std::size_t countReceived() const;
  bool isWaiting() const;
  bool isOverloaded() const;
  void advance();
  void scheduleTimer(TimePoint aNow);
  void answer();
  void fail(TimePoint aNow);
  void finish(HttpResponse aResponse, const char* aReason);
  std::string details() const;
  void cancelAll();

  QueryDependencies m_deps;
  QueryContext m_query;
  boost::asio::steady_timer m_timer;
  TimePoint m_timerAt; ///< when the timer expires
  std::shared_ptr<ShardFanOut> m_fanOut;
  std::map<std::uint64_t, Relay> m_relays;
  /// When a peer has not responded by this time, its shards are queried
  /// directly.
  TimePoint m_relayAckDeadline;
  std::size_t m_partsNeeded;
  std::size_t m_reassigned = 0; ///< shards queried directly after a peer failed
  bool m_targetMissed = false;  ///< too few parts were received by targetAt
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_GATHER_QUERY_P_H
