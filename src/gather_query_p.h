#ifndef TOUCANRIDGE_GATHER_QUERY_P_H
#define TOUCANRIDGE_GATHER_QUERY_P_H

/// A query that every shard answers: asks near shards itself and others through
/// peers, merges, and decides when to answer with the parts that are in.

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

class GatherQuery
  : public RelayListenerI
  , public std::enable_shared_from_this<GatherQuery>
{
public:
  GatherQuery(const QueryServices& aServices, QueryContext aQuery);

  void start();

  void onRelayReply(std::uint64_t aRelay, const RelayReply& aReply) override;
  void onRelayLost(std::uint64_t aRelay) override;

private:
  /// Shards that a peer asks.
  struct Relay
  {
    std::string dataCentre; ///< of the peer
    std::vector<std::size_t> asked;
    std::vector<std::size_t> in;
    std::vector<std::string> signatures; ///< parallel to in
    std::string records;                 ///< merged from the parts that are in
    Duration usual{ 0 };                 ///< median latency of the parts
    bool signOfLife = false;
    bool ended = false;
  };

  void plan();
  bool sendRelay(const std::string& aDataCentre,
                 const std::vector<std::size_t>& aShards);
  void takeOver(Relay& aRelay);
  void checkRelays(TimePoint aNow);
  std::vector<std::size_t> directShards() const;
  std::size_t countIn() const;
  bool isWaiting() const;
  bool isLoaded() const;
  void advance();
  void wakeLater(TimePoint aNow);
  void answer();
  void fail(TimePoint aNow);
  void finish(HttpResponse aResponse, const char* aReason);
  std::string details() const;
  void cancelAll();

  QueryServices m_services;
  QueryContext m_query;
  boost::asio::steady_timer m_timer;
  TimePoint m_wakeAt; ///< when the timer fires
  std::shared_ptr<ShardFanOut> m_fanOut;
  std::map<std::uint64_t, Relay> m_relays;
  TimePoint m_relayLateAt; ///< a peer without a sign of life counts as lost
  std::size_t m_needed;
  std::size_t m_taken = 0;  ///< shards taken over from peers
  bool m_aimPassed = false; ///< too few parts were in at the aim
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_GATHER_QUERY_P_H
