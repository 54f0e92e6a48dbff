#ifndef TOUCANRIDGE_TRAFFIC_PROTOCOL_P_H
#define TOUCANRIDGE_TRAFFIC_PROTOCOL_P_H

/// Interface to the header names that callers and backend servers use.

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "clock_p.h"
#include "http_client_p.h"
#include "http_message_p.h"
#include "routing_p.h"

namespace toucanridge {

/// What a caller tells of its request.
struct CallerTerms
{
  std::string requestId;
  std::optional<std::chrono::milliseconds> deadline; ///< from its arrival
};

/// What a backend server's response says.
struct ServerAnswer
{
  bool good = false;        ///< success, complete and signed by the server
  bool notRun = false;      ///< the server states that it ran nothing
  bool otherServer = false; ///< the address belongs to another server now
  std::string signature;    ///< by which callers check the answer
};

class TrafficProtocolI
{
public:
  virtual ~TrafficProtocolI() = default;

  virtual CallerTerms readTerms(const HttpRequest& aRequest) const = 0;
  /// Builds the request to a server from a caller's.
  /// @param[in] aDeadline when the server need not answer any more
  virtual HttpCall makeCall(const HttpRequest& aRequest,
                            const CallerTerms& aTerms,
                            const BackendServer& aServer,
                            TimePoint aDeadline) const = 0;
  virtual ServerAnswer readAnswer(const HttpResponse& aResponse) const = 0;
  /// Makes the answer to a caller from a server's response.
  virtual HttpResponse passOn(HttpResponse aResponse) const = 0;
  /// Makes the answer to a caller from merged parts.
  /// @param[in] aSignatures of the parts that are in
  /// @param[in] aMissing services whose part isn't
  virtual HttpResponse makeMerged(const std::vector<std::string>& aSignatures,
                                  std::size_t aMissing,
                                  std::string aBody) const = 0;
  /// Makes a refusal; the request has not run and will not.
  virtual HttpResponse makeRefusal(Duration aRetryAfter,
                                   const char* aReason) const = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TRAFFIC_PROTOCOL_P_H
