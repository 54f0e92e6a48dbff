#ifndef TOUCANRIDGE_BACKEND_HTTP_P_H
#define TOUCANRIDGE_BACKEND_HTTP_P_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "backend_p.h"

namespace toucanridge {

/// Sends requests to backend servers over HTTP, on threads of its own and with
/// one connection per slot. All slots of a server are served by the same
/// thread. No request is sent twice, and NotRun is reported only when nothing
/// was written or when the server's response says so.
class BackendHttp final : public BackendI
{
public:
  /// @param[in] aThreads threads that serve connections, at least one
  explicit BackendHttp(std::uint32_t aThreads);
  ~BackendHttp() override;

  std::uint64_t send(BackendCall aCall, Done aDone) override;
  void cancel(std::uint64_t aHandle) override;

private:
  class Worker;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::atomic<std::uint64_t> m_sendCount{ 0 };
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BACKEND_HTTP_P_H
