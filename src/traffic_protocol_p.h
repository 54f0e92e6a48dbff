#ifndef TOUCANRIDGE_TRAFFIC_PROTOCOL_P_H
#define TOUCANRIDGE_TRAFFIC_PROTOCOL_P_H

/// Interface that reads and writes the HTTP headers which callers and backend
/// servers use. Implemented by the adapter of a platform.

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

/// What the headers of a caller's request state.
struct CallerHeaders
{
  std::string requestId;
  std::optional<std::chrono::milliseconds> deadline; ///< counted from arrival
};

/// What the headers and status of a backend server's response state.
struct ServerAnswer
{
  /// Why the response is no answer of the server to the request; null when it
  /// is one. The server may have run the request.
  const char* fault = nullptr;
  bool good = false;        ///< success, complete and signed by the server
  bool notRun = false;      ///< the server states that it ran nothing
  bool otherServer = false; ///< the address belongs to another server now
  std::string signature;    ///< passed on to callers, who verify it
  /// Requests a second that the server accepts from all hosts together; nothing
  /// when the answer states no limit.
  std::optional<double> requestsPerSecond;
  bool leaving = false; ///< the server leaves; it wants no new requests
  /// After a refusal: time for which the server wants no request of this host.
  std::optional<std::chrono::milliseconds> retryAfter;
};

class TrafficProtocolI
{
public:
  virtual ~TrafficProtocolI() = default;

  /// Reads the headers of a caller's request.
  virtual CallerHeaders readCallerHeaders(
    const HttpRequest& aRequest) const = 0;
  /// Makes the request to a server from a caller's request.
  /// @param[in] aDeadline after which the server's answer is of no use
  virtual HttpCall makeCall(const HttpRequestPtr& aRequest,
                            const CallerHeaders& aCallerHeaders,
                            const BackendServer& aServer,
                            TimePoint aDeadline) const = 0;
  /// Reads a server's response.
  virtual ServerAnswer readAnswer(const HttpResponse& aResponse) const = 0;
  /// Checks the response of a peer that a request was forwarded to.
  /// @param[in] aMerged true when the route's answers are merged from parts
  /// @returns true when it may be passed on to the caller
  virtual bool isPeerAnswer(const HttpResponse& aResponse,
                            bool aMerged) const = 0;
  /// Makes the answer to a caller from a server's response.
  virtual HttpResponse makeForwarded(HttpResponse aResponse) const = 0;
  /// Makes the answer to a caller from merged parts.
  /// @param[in] aSignatures of the parts that are included
  /// @param[in] aMissing number of shards whose part is missing
  virtual HttpResponse makeMerged(const std::vector<std::string>& aSignatures,
                                  std::size_t aMissing,
                                  std::string aBody) const = 0;
  /// Makes a refusal, for a request that no server has run or will run.
  /// @param[in] aRetryAfter delay after which the caller should retry
  virtual HttpResponse makeRefusal(Duration aRetryAfter,
                                   const char* aReason) const = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TRAFFIC_PROTOCOL_P_H
