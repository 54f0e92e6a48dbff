#ifndef TOUCANRIDGE_CLIENT_HTTP_P_H
#define TOUCANRIDGE_CLIENT_HTTP_P_H

/// The caller's side: asks for addresses, keeps them, sends queries.

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "caller_api_p.h"
#include "json_p.h"

namespace toucanridge {

/// A caller of the system. Not thread-safe.
class Client
{
public:
  /// @param[in] aEntries "address:port" of hosts to ask for addresses first
  /// @param[in] aDataCentre the caller's nearest data centre, may be empty
  Client(std::vector<std::string> aEntries, std::string aDataCentre);

  /// Sends a query to one of the addresses that the system named, and sends it
  /// again elsewhere when a connection fails. A class that needs a ticket is
  /// learnt from the first refusal; its queries get tickets by themselves, and
  /// resends carry the same one.
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
  enum class Sent
  {
    Never, ///< no connection was made
    Broken,
    Answered,
  };

  bool refreshAddresses();
  bool takeAddresses(const Json& aBody);
  bool takeTicket(QueryRequest& aRequest);
  void keepTickets(const Json& aBody, const std::string& aIssuer);
  Sent sendOnce(const std::string& aAddress,
                const QueryRequest& aRequest,
                std::chrono::milliseconds aTimeout,
                QueryAnswer& aAnswer);
  QueryAnswer sendAnywhere(QueryRequest aRequest,
                           std::chrono::steady_clock::time_point aLimit);

  std::vector<std::string> m_entries;
  std::string m_dataCentre;
  std::vector<std::string> m_addresses;
  std::chrono::steady_clock::time_point m_validUntil{};
  std::set<std::string> m_ticketClasses; ///< classes that need a ticket
  std::vector<std::string> m_tickets;
  std::string m_ticketIssuer; ///< address that issued m_tickets
  std::chrono::steady_clock::time_point m_ticketsUntil{};
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CLIENT_HTTP_P_H
