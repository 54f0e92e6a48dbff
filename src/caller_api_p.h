#ifndef TOUCANRIDGE_CALLER_API_P_H
#define TOUCANRIDGE_CALLER_API_P_H

/// Interface between the node and its HTTP server for callers.

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "toucanridge/toucanridge.h"

namespace toucanridge {

/// An address that callers may send queries to.
struct CallerAddress
{
  std::string host;
  std::string dataCentre;
  std::string address;
  std::uint16_t port = 0;
};

/// The addresses that a caller should use, in order of preference.
struct AddressAnswer
{
  std::uint64_t revision = 0;
  std::chrono::milliseconds validFor{ 0 };
  std::vector<CallerAddress> addresses;
};

/// Operations of the node that callers and operators reach over HTTP.
class CallerApiI
{
public:
  using Done = std::function<void(QueryAnswer)>;
  virtual ~CallerApiI() = default;

  /// @param[in] aDataCentre the caller's nearest data centre, may be empty
  virtual AddressAnswer addresses(const std::string& aDataCentre) = 0;
  /// Runs a query.
  /// @param[in] aDone receives the answer, on any thread
  virtual void query(QueryRequest aRequest, Done aDone) = 0;
  /// @returns false while the node is starting, leaving or out of service; the
  ///          responses that refuse a query then contain other addresses
  virtual bool acceptsQueries() = 0;
  /// @returns new tickets issued by this node, at most aCount; there is a limit
  ///          per call
  virtual std::vector<std::string> tickets(std::uint32_t aCount) = 0;
  /// @returns the node's status as JSON text
  virtual std::string statusJson() = 0;
  /// @returns metrics in the text exposition format
  virtual std::string metricsText() = 0;
  /// @returns a recent answer of this node as JSON text, with the rules that
  ///          governed it and without its parts; empty when it isn't recorded
  virtual std::string explainJson(const std::string& aRequestId) = 0;
  /// @returns the rules that govern a class as JSON text; empty when there is
  ///          no such class
  virtual std::string classJson(const std::string& aClass) = 0;
  /// @returns the rules in force and their revision as JSON text
  virtual std::string rulesJson() = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CALLER_API_P_H
