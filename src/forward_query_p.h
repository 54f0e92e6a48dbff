#ifndef TOUCANRIDGE_FORWARD_QUERY_P_H
#define TOUCANRIDGE_FORWARD_QUERY_P_H

/// A query that a peer answers in this host's place.

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "query_context_p.h"

namespace toucanridge {

/// One query sent to a peer; keeps itself alive until it is answered. A peer
/// that can't answer it is replaced by another one, as long as the request has
/// certainly not run or may run again.
class ForwardQuery : public std::enable_shared_from_this<ForwardQuery>
{
public:
  ForwardQuery(const QueryDependencies& aDeps, QueryContext aQuery);

  void start();

private:
  void send();
  void onResult(ExchangeResult aResult);
  void finish(HttpResponse aResponse, const char* aReason);

  QueryDependencies m_deps;
  QueryContext m_query;
  boost::asio::steady_timer m_timer;
  HttpPendingCallPtr m_pendingCall;
  std::string m_peer;            ///< that has the request now
  std::set<std::string> m_tried; ///< names of peers
  bool m_mayHaveRun = false;
  bool m_ended = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_FORWARD_QUERY_P_H
