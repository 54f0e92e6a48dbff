#ifndef TOUCANRIDGE_GATHER_QUERY_P_H
#define TOUCANRIDGE_GATHER_QUERY_P_H

/// A query that every shard answers: fans out, hedges, merges, and decides
/// when to answer with the parts that are in.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "query_context_p.h"

namespace toucanridge {

class GatherQuery : public std::enable_shared_from_this<GatherQuery>
{
public:
  GatherQuery(const QueryServices& aServices, QueryContext aQuery);

  void start();

private:
  struct Part
  {
    std::vector<AttemptPtr> attempts; ///< that run
    std::vector<std::string> tried;   ///< servers
    std::uint32_t ran = 0;            ///< servers that may have run it
    std::uint32_t sends = 0;          ///< attempts made
    AttemptPtr winner;                ///< that brought the part
    TimePoint sentAt;                 ///< of the newest attempt
    TimePoint retryAt; ///< when nothing runs and another try is due
    bool in = false;
    bool given = false; ///< given up
    std::string body;
    std::string signature;
  };

  bool send(std::size_t aPart);
  void onResult(std::size_t aPart, AttemptResult aResult);
  void takePart(Part& aPart, AttemptPtr aWinner, AttemptResult aResult);
  Duration usualLatency() const;
  Duration hedgeDelay() const;
  void learn();
  void tryAgain(std::size_t aPart);
  bool mayRunOnce(const Part& aPart) const;
  void onDue();
  void advance();
  void wakeLater();
  bool isEnough() const { return m_in >= m_needed; }
  void answer();
  void fail(TimePoint aNow);
  void finish(HttpResponse aResponse, const char* aReason);
  void cancelAll();

  QueryServices m_services;
  QueryContext m_query;
  boost::asio::steady_timer m_timer;
  std::vector<Part> m_parts;
  std::vector<Duration> m_latencies; ///< of the parts that are in, sorted
  std::size_t m_needed;
  std::size_t m_in = 0;
  std::size_t m_hedges = 0;
  std::size_t m_retries = 0;
  bool m_anyRan = false;    ///< a server may have run a part
  bool m_aimPassed = false; ///< too few parts were in at the aim
  TimePoint m_wakeAt;       ///< when the timer fires
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_GATHER_QUERY_P_H
