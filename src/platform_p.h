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

/// A published rules file.
struct PublishedRules
{
  std::uint64_t revision = 0;
  std::string text; ///< empty when nothing newer than asked for exists
};

/// Reads the platform. Each call counts against the platform's read limit.
class PlatformI
{
public:
  using OnRules =
    std::function<void(tl::expected<PublishedRules, std::error_code>)>;
  using OnHosts = std::function<void(tl::expected<HostList, std::error_code>)>;
  virtual ~PlatformI() = default;

  /// Reads the rules file, waiting for one newer than a revision.
  /// @param[in] aAfter revision already held, 0 for none
  /// @param[in] aWait how long the service may wait for a change
  virtual void readRules(std::uint64_t aAfter,
                         std::chrono::milliseconds aWait,
                         OnRules aDone) = 0;
  virtual void readHosts(OnHosts aDone) = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PLATFORM_P_H
