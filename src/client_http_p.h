#ifndef TOUCANRIDGE_CLIENT_HTTP_P_H
#define TOUCANRIDGE_CLIENT_HTTP_P_H

/// Client library for callers: fetches and caches addresses and sends queries.

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "caller_api_p.h"
#include "json_p.h"

namespace toucanridge {

/// Sends queries and reads operators' endpoints. Not thread-safe.
class QueryClient
{
public:
  /// @param[in] aEntries "address:port" of hosts to ask for addresses when none
  ///            is known or the known ones return none
  /// @param[in] aDataCentre the caller's nearest data centre, may be empty
  QueryClient(std::vector<std::string> aEntries, std::string aDataCentre);

  /// Sends a query to one of the addresses that the system lists, and resends
  /// it to others when a connection fails. The client learns from the first
  /// refusal that a class needs tickets. It then requests them itself, and
  /// resends of a query carry the same ticket.
  /// @returns the answer; Outcome::Unknown when no node answered and one may
  ///          have received the query
  QueryAnswer query(const QueryRequest& aRequest);

  /// Reads one of the operators' endpoints.
  /// @param[in] aEntry "address:port" of the host to ask
  /// @param[in] aPath path and query, encoded
  /// @returns the body of a 200 answer, or the error
  static tl::expected<std::string, std::string> get(const std::string& aEntry,
                                                    const std::string& aPath);

private:
  enum class SendResult
  {
    NotRun,   ///< nothing was sent, or the host refused and named others
    Broken,   ///< no valid response; the query may have run
    Answered, ///< the response holds an answer
  };

  bool refreshAddresses();
  bool storeAddresses(const Json& aBody);
  bool assignTicket(QueryRequest& aRequest);
  void storeTickets(const Json& aBody, const std::string& aIssuer);
  SendResult sendOnce(const std::string& aAddress,
                      const QueryRequest& aRequest,
                      std::chrono::milliseconds aTimeout,
                      QueryAnswer& aAnswer);
  QueryAnswer sendWithFailover(QueryRequest aRequest,
                               std::chrono::steady_clock::time_point aLimit);

  std::vector<std::string> m_entries;
  std::string m_dataCentre;
  std::vector<std::string> m_addresses;
  std::chrono::steady_clock::time_point m_addressesValidUntil{};
  std::set<std::string> m_ticketClasses; ///< classes that need a ticket
  std::vector<std::string> m_tickets;
  std::string m_ticketIssuer; ///< address that issued m_tickets
  std::chrono::steady_clock::time_point m_ticketsValidUntil{};
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CLIENT_HTTP_P_H
