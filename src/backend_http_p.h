#ifndef TOUCANRIDGE_BACKEND_HTTP_P_H
#define TOUCANRIDGE_BACKEND_HTTP_P_H

#include <memory>

#include <boost/asio/io_context.hpp>

#include "backend_p.h"

namespace toucanridge {

/// The adapter to backend servers: HTTP by cpprestsdk, one client object a
/// slot. A slot has at most two connections: one in use, and one that is being
/// closed. No request is sent twice by the library, and NotRun is reported only
/// when no connection could be made or when the server said so.
class BackendHttp final : public BackendI
{
public:
  explicit BackendHttp(boost::asio::io_context& aContext);
  ~BackendHttp() override;

  std::uint64_t send(BackendCall aCall, Done aDone) override;
  void cancel(std::uint64_t aHandle) override;

private:
  struct State;
  std::shared_ptr<State> m_state;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BACKEND_HTTP_P_H
