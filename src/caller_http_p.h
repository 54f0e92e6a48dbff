#ifndef TOUCANRIDGE_CALLER_HTTP_P_H
#define TOUCANRIDGE_CALLER_HTTP_P_H

#include <memory>
#include <string>
#include <system_error>

#include "caller_api_p.h"

namespace toucanridge {

/// Largest request body that a caller may send, in bytes.
constexpr std::size_t kMaxCallerBodyBytes = 1U << 20U;

/// The adapter to callers and operators: an HTTP server on a thread of its own.
class CallerHttp
{
public:
  explicit CallerHttp(CallerApiI& aApi);
  ~CallerHttp();

  /// Starts to listen.
  /// @returns an error when the address can't be bound
  std::error_code init(const std::string& aAddress, std::uint16_t aPort);
  /// Stops listening; requests in progress are answered first.
  void shutdown();

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl; ///< answers that are due may outlive this
};

/// @returns the answer as callers receive it, JSON text
std::string
renderAnswer(const QueryAnswer& aAnswer);

} // namespace toucanridge

#endif // TOUCANRIDGE_CALLER_HTTP_P_H
