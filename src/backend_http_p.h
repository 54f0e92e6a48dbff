#ifndef TOUCANRIDGE_BACKEND_HTTP_P_H
#define TOUCANRIDGE_BACKEND_HTTP_P_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "backend_p.h"

namespace toucanridge {

/// The adapter to backend servers: HTTP on threads of its own, one connection a
/// slot. A server's slots are served by one thread. No request is sent twice,
/// and NotRun is reported only when nothing was written or when the server said
/// so.
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
  std::atomic<std::uint64_t> m_next{ 0 };
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BACKEND_HTTP_P_H
