#ifndef TOUCANRIDGE_SINGLE_QUERY_P_H
#define TOUCANRIDGE_SINGLE_QUERY_P_H

/// A query that one server answers: retried and hedged when it is idempotent,
/// else run at most once.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "query_context_p.h"

namespace toucanridge {

class SingleQuery : public std::enable_shared_from_this<SingleQuery>
{
public:
  /// @param[in] aService the service among the route's targets
  SingleQuery(const QueryServices& aServices,
              QueryContext aQuery,
              std::string aService);

  void start();

private:
  bool send();
  bool maySend() const;
  void onResult(AttemptResult aResult);
  void onDue();
  void wakeLater();
  void concludeWith(AttemptResult aResult);
  void finish(HttpResponse aResponse, const char* aReason);
  void cancelAll();

  QueryServices m_services;
  QueryContext m_query;
  std::string m_service;
  boost::asio::steady_timer m_timer;
  std::vector<AttemptPtr> m_attempts; ///< that run
  std::vector<std::string> m_tried;   ///< servers
  std::uint32_t m_ran = 0;            ///< servers that may have run it
  std::uint32_t m_sends = 0;
  TimePoint m_hedgeAt;
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SINGLE_QUERY_P_H
