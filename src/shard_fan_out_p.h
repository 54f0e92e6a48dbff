#ifndef TOUCANRIDGE_SHARD_FAN_OUT_P_H
#define TOUCANRIDGE_SHARD_FAN_OUT_P_H

/// Queries shards of a route for their parts of a query, with hedges and
/// retries. The owner decides when enough parts are received.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "query_context_p.h"

namespace toucanridge {

/// The requests to shards of one query.
class ShardFanOut : public std::enable_shared_from_this<ShardFanOut>
{
public:
  /// @param[in] aParams its references must outlive this object
  /// @param[in] aOnChange called when a part was received or given up
  ShardFanOut(const QueryDependencies& aDeps,
              const AttemptParams& aParams,
              std::function<void()> aOnChange);

  /// Queries shards.
  /// @param[in] aKind Extra when servers may have received the request already
  /// @param[in] aScope the same at all hosts that may query these shards
  void add(const std::vector<std::size_t>& aShards,
           AttemptKind aKind,
           const ServerScope& aScope);
  /// Cancels the running attempts; aOnChange won't be called any more.
  void cancel();
  /// Records in the servers' health how fast they were, relative to the median
  /// of this query's parts.
  void recordLatencies();

  /// @returns the number of parts received
  std::size_t receivedCount() const { return m_latencies.size(); }
  /// @returns true when the shard was queried
  bool isAsked(std::size_t aShard) const { return m_parts[aShard].asked; }
  /// @returns true when the shard's part is received
  bool isReceived(std::size_t aShard) const;
  /// @returns true when the shard was queried and its part may still arrive
  bool isPending(std::size_t aShard) const;
  /// @returns true when no part may still arrive
  bool isDone() const;
  /// @returns true when a server may have run any of the parts
  bool anyMayHaveRun() const { return m_anyMayHaveRun; }
  /// @param[in] aShard a shard whose part is received
  std::string_view body(std::size_t aShard) const;
  /// @param[in] aShard a shard whose part is received
  const std::string& signature(std::size_t aShard) const;
  /// @returns the shard and the servers tried, for the log
  std::string trace(std::size_t aShard) const;
  /// @returns the median latency of the parts received, zero when they are too
  ///          few
  Duration medianLatency() const;
  /// @returns the number of shards queried
  std::size_t askedCount() const { return m_asked.size(); }
  std::size_t hedges() const { return m_hedges; }
  std::size_t retries() const { return m_retries; }

private:
  /// The state of one shard's part.
  struct Part
  {
    bool asked = false;
    std::vector<AttemptPtr> attempts;      ///< running
    std::vector<std::string> tried;        ///< ids of servers
    AttemptKind kind = AttemptKind::First; ///< of the next attempt
    ServerScope scope;
    std::uint32_t possibleRuns = 0; ///< servers that may run or have run it
    std::uint32_t sends = 0;        ///< attempts made
    AttemptPtr winner;              ///< attempt that delivered the part
    TimePoint sentAt;               ///< of the latest attempt or denied hedge
    TimePoint retryAt;              ///< when to retry if no attempt is running
    bool received = false;
    bool gaveUp = false;
    std::string body;
    std::string signature;

    bool isPending() const { return asked && !received && !gaveUp; }
  };

  bool mayAttempt(const Part& aPart) const;
  bool send(std::size_t aShard, Part& aPart);
  void onResult(std::size_t aShard, AttemptResult aResult);
  void acceptPart(Part& aPart, AttemptPtr aWinner, AttemptResult aResult);
  void retry(std::size_t aShard, Part& aPart);
  void onTimer();
  void scheduleTimer();

  QueryDependencies m_deps;
  AttemptParams m_params;
  std::function<void()> m_onChange;
  boost::asio::steady_timer m_timer;
  /// When the timer expires; it may expire before an attempt is due.
  TimePoint m_timerAt = TimePoint::max();
  std::vector<Part> m_parts;         ///< by shard
  std::vector<std::size_t> m_asked;  ///< shards queried
  std::size_t m_pending = 0;         ///< parts that may still arrive
  std::vector<Duration> m_latencies; ///< of the parts received, sorted
  std::size_t m_hedges = 0;
  std::size_t m_retries = 0;
  bool m_anyMayHaveRun = false;
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SHARD_FAN_OUT_P_H
