#ifndef TOUCANRIDGE_SHARD_FAN_OUT_P_H
#define TOUCANRIDGE_SHARD_FAN_OUT_P_H

/// Asks shards of a route for their parts of a query, with hedges and retries.
/// Whoever owns it decides when the parts that are in are enough.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "query_context_p.h"

namespace toucanridge {

class ShardFanOut : public std::enable_shared_from_this<ShardFanOut>
{
public:
  /// @param[in] aOrder its references must outlive this object
  /// @param[in] aOnChange called when a part came in or was given up
  ShardFanOut(const QueryServices& aServices,
              const AttemptOrder& aOrder,
              std::function<void()> aOnChange);

  /// Asks shards.
  /// @param[in] aKind Extra when servers may have had the request already
  /// @param[in] aScope the same at all hosts that may ask these shards
  void add(const std::vector<std::size_t>& aShards,
           AttemptKind aKind,
           const ServerScope& aScope);
  /// Gives up what runs; nothing is called any more.
  void cancel();
  /// Learns how fast the servers are, compared with each other on this query.
  void learn();

  std::size_t in() const { return m_latencies.size(); }
  bool isIn(std::size_t aShard) const;
  /// @returns true when the shard was asked and may still answer
  bool isPending(std::size_t aShard) const;
  /// @returns true when no shard that was asked may still answer
  bool isDone() const;
  /// @returns true when a server may have run a part
  bool anyRan() const { return m_anyRan; }
  std::string_view body(std::size_t aShard) const;
  const std::string& signature(std::size_t aShard) const;
  /// @returns the shard and the servers that were asked, for the log
  std::string trace(std::size_t aShard) const;
  /// @returns the median latency of the parts that are in, zero when too few
  ///          are
  Duration usualLatency() const;
  /// @returns shards that were asked
  std::size_t asked() const { return m_parts.size(); }
  std::size_t hedges() const { return m_hedges; }
  std::size_t retries() const { return m_retries; }

private:
  struct Part
  {
    std::vector<AttemptPtr> attempts;      ///< that run
    std::vector<std::string> tried;        ///< servers
    AttemptKind kind = AttemptKind::First; ///< of the next send
    ServerScope scope;
    std::uint32_t ran = 0;   ///< servers that may have run it
    std::uint32_t sends = 0; ///< attempts made
    AttemptPtr winner;       ///< that brought the part
    TimePoint sentAt;        ///< of the newest attempt
    TimePoint retryAt;       ///< when nothing runs and another try is due
    bool in = false;
    bool given = false; ///< given up
    std::string body;
    std::string signature;

    bool isPending() const { return !in && !given; }
  };

  bool mayRunOnce(const Part& aPart) const;
  bool send(std::size_t aShard, Part& aPart);
  void onResult(std::size_t aShard, AttemptResult aResult);
  void takePart(Part& aPart, AttemptPtr aWinner, AttemptResult aResult);
  void tryAgain(std::size_t aShard, Part& aPart);
  void onDue();
  void wakeLater();
  Duration hedgeDelay() const;

  QueryServices m_services;
  AttemptOrder m_order;
  std::function<void()> m_onChange;
  boost::asio::steady_timer m_timer;
  TimePoint m_wakeAt;                  ///< when the timer fires
  std::map<std::size_t, Part> m_parts; ///< by shard
  std::vector<Duration> m_latencies;   ///< of the parts that are in, sorted
  std::size_t m_hedges = 0;
  std::size_t m_retries = 0;
  bool m_anyRan = false;
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SHARD_FAN_OUT_P_H
