#ifndef TOUCANRIDGE_CALLER_HTTP_P_H
#define TOUCANRIDGE_CALLER_HTTP_P_H

#include <memory>
#include <string>
#include <system_error>

#include "buffer_budget_p.h"
#include "caller_api_p.h"

namespace toucanridge {

/// Largest request body that a caller may send, in bytes.
constexpr std::size_t kMaxCallerBodyBytes = 1U << 20U;

/// HTTP server for callers and operators, on a thread of its own.
class CallerHttp
{
public:
  /// @param[in] aBudget counts what callers make this node hold; null: no limit
  explicit CallerHttp(CallerApiI& aApi,
                      std::shared_ptr<BufferBudget> aBudget = nullptr);
  ~CallerHttp();

  /// Starts to accept connections.
  /// @returns an error when the address can't be bound
  std::error_code init(const std::string& aAddress, std::uint16_t aPort);
  /// Stops listening, waits a second at most for running requests to be
  /// answered, and closes all connections.
  void shutdown();

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl; ///< callbacks of running queries refer to it
};

/// @returns an answer as JSON text, in the form that callers receive
std::string
renderAnswer(const QueryAnswer& aAnswer);

} // namespace toucanridge

#endif // TOUCANRIDGE_CALLER_HTTP_P_H
