#ifndef TOUCANRIDGE_CLIENT_HTTP_P_H
#define TOUCANRIDGE_CLIENT_HTTP_P_H

/// The caller's side: asks for addresses, keeps them, sends queries.

#include <chrono>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "caller_api_p.h"

namespace toucanridge {

/// A caller of the system. Not thread-safe.
class Client
{
public:
  /// @param[in] aEntries "address:port" of hosts to ask for addresses first
  /// @param[in] aDataCentre the caller's nearest data centre, may be empty
  Client(std::vector<std::string> aEntries, std::string aDataCentre);

  /// Sends a query to one of the addresses that the system named. An
  /// idempotent query is sent again elsewhere when a connection fails.
  /// @returns the answer; Outcome::Unknown when a connection broke after the
  ///          query may have been received
  QueryAnswer query(const QueryRequest& aRequest);

  /// Reads one of the operators' endpoints.
  /// @param[in] aEntry "address:port" of the host to ask
  /// @param[in] aPath path and query, encoded
  /// @returns the body of a 200 answer, or the error
  static tl::expected<std::string, std::string> get(const std::string& aEntry,
                                                    const std::string& aPath);

private:
  bool refreshAddresses();

  std::vector<std::string> m_entries;
  std::string m_dataCentre;
  std::vector<std::string> m_addresses;
  std::chrono::steady_clock::time_point m_validUntil{};
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CLIENT_HTTP_P_H
