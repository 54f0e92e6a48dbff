#ifndef TOUCANRIDGE_PLATFORM_HTTP_P_H
#define TOUCANRIDGE_PLATFORM_HTTP_P_H

#include <memory>
#include <string>

#include "platform_p.h"

namespace toucanridge {

/// Reads the platform as JSON over HTTP, on a thread of its own.
class PlatformHttp final : public PlatformI
{
public:
  /// @param[in] aUrl base address of the platform, "http://address:port"
  explicit PlatformHttp(const std::string& aUrl);
  ~PlatformHttp() override;

  void readRules(std::uint64_t aAfter,
                 std::chrono::milliseconds aWait,
                 OnRules aDone) override;
  void readHosts(OnHosts aDone) override;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PLATFORM_HTTP_P_H
