#ifndef TOUCANRIDGE_CALLER_API_P_H
#define TOUCANRIDGE_CALLER_API_P_H

/// What the caller adapter needs from the node.

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "toucanridge/toucanridge.h"

namespace toucanridge {

/// One address that callers may use.
struct CallerAddress
{
  std::string host;
  std::string dataCentre;
  std::string address;
  std::uint16_t port = 0;
};

/// The answer to "which addresses should I use?", best first.
struct AddressAnswer
{
  std::uint64_t revision = 0;
  std::chrono::milliseconds validFor{ 0 };
  std::vector<CallerAddress> addresses;
};

class CallerApiI
{
public:
  using Done = std::function<void(QueryAnswer)>;
  virtual ~CallerApiI() = default;

  /// @param[in] aDataCentre the caller's nearest data centre, may be empty
  virtual AddressAnswer addresses(const std::string& aDataCentre) = 0;
  virtual void query(QueryRequest aRequest, Done aDone) = 0;
  /// @returns false while the node is starting, leaving or out of service;
  ///          its refusals then name other addresses
  virtual bool takesWork() = 0;
  /// @returns new tickets issued by this node, fewer than asked for at most
  virtual std::vector<std::string> tickets(std::uint32_t aCount) = 0;
  /// @returns the node's status as JSON text
  virtual std::string statusJson() = 0;
  /// @returns metrics in the text exposition format
  virtual std::string metricsText() = 0;
  /// @returns a recent answer of this node as JSON text with its governing
  ///          rules, without its parts; empty when it isn't remembered
  virtual std::string explainJson(const std::string& aRequestId) = 0;
  /// @returns the rules that govern a class as JSON text; empty when there is
  ///          no such class
  virtual std::string classJson(const std::string& aClass) = 0;
  /// @returns the rules in force and their revision as JSON text
  virtual std::string rulesJson() = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CALLER_API_P_H
