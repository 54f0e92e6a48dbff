#ifndef TOUCANRIDGE_SINGLE_QUERY_P_H
#define TOUCANRIDGE_SINGLE_QUERY_P_H

/// A query that one server answers. It is retried and hedged if it is
/// idempotent, else at most one server runs it.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "query_context_p.h"

namespace toucanridge {

/// One query to a single service; keeps itself alive until it is answered.
class SingleQuery : public std::enable_shared_from_this<SingleQuery>
{
public:
  /// @param[in] aService the service chosen from the route's targets
  SingleQuery(const QueryDependencies& aDeps,
              QueryContext aQuery,
              std::string aService);

  void start();

private:
  bool send();
  bool maySend() const;
  void onResult(AttemptResult aResult);
  void onTimer();
  void scheduleTimer();
  void finishFailed(AttemptResult aResult);
  void finish(HttpResponse aResponse, const char* aReason);
  void cancelAll();

  QueryDependencies m_deps;
  QueryContext m_query;
  std::string m_service;
  boost::asio::steady_timer m_timer;
  std::vector<AttemptPtr> m_attempts; ///< running
  std::vector<std::string> m_tried;   ///< ids of servers
  std::uint32_t m_possibleRuns = 0;   ///< servers that may run or have run it
  std::uint32_t m_sends = 0;          ///< attempts made
  TimePoint m_hedgeAt;                ///< when the next hedge is due
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SINGLE_QUERY_P_H
