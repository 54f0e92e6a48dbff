#ifndef TOUCANRIDGE_PLATFORM_P_H
#define TOUCANRIDGE_PLATFORM_P_H

/// Interface to the platform's configuration service and host list.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include <tl/expected.hpp>

#include "view_p.h"

namespace toucanridge {

/// The answer to a read of the rules file.
struct PublishedRules
{
  std::uint64_t revision = 0;
  std::string text; ///< empty when nothing newer was published
};

/// Reads the platform. Each call counts towards the platform's read limit.
class PlatformI
{
public:
  using OnRules =
    std::function<void(tl::expected<PublishedRules, std::error_code>)>;
  using OnHosts = std::function<void(tl::expected<HostList, std::error_code>)>;
  virtual ~PlatformI() = default;

  /// Reads the rules file, waiting for one newer than a revision.
  /// @param[in] aAfter revision already held, 0 for none
  /// @param[in] aWait how long the platform may wait for a change; 0 for an
  ///            answer at once
  /// @param[in] aDone gets the result
  virtual void readRules(std::uint64_t aAfter,
                         std::chrono::milliseconds aWait,
                         OnRules aDone) = 0;
  /// Reads the host list.
  /// @param[in] aDone gets the result
  virtual void readHosts(OnHosts aDone) = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PLATFORM_P_H
