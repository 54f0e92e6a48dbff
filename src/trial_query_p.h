#ifndef TOUCANRIDGE_TRIAL_QUERY_P_H
#define TOUCANRIDGE_TRIAL_QUERY_P_H

/// Tries a request that is suspected of crashing servers on one server, before
/// a query over shards sends it to a server of each of them.

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "query_context_p.h"

namespace toucanridge {

/// One trial; keeps itself alive until it ends.
class TrialQuery : public std::enable_shared_from_this<TrialQuery>
{
public:
  /// Called when a server has answered, with the query that is to run.
  using OnAnswered = std::function<void(QueryContext)>;

  TrialQuery(const QueryDependencies& aDeps,
             QueryContext aQuery,
             OnAnswered aOnAnswered);

  void start();

private:
  void onResult(const AttemptResult& aResult);
  void finish(HttpResponse aResponse, const char* aReason);

  QueryDependencies m_deps;
  QueryContext m_query;
  OnAnswered m_onAnswered;
  boost::asio::steady_timer m_timer;
  AttemptPtr m_attempt; ///< null while none runs
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TRIAL_QUERY_P_H
