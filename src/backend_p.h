#ifndef TOUCANRIDGE_BACKEND_P_H
#define TOUCANRIDGE_BACKEND_P_H

/// Interface between the slot table and the adapter to backend servers.

#include <cstdint>
#include <functional>
#include <string>

#include "clock_p.h"
#include "wire_p.h"

namespace toucanridge {

/// One slot of one server.
struct SlotKey
{
  std::string server; ///< "address:port"
  std::uint32_t slot = 0;

  bool operator<(const SlotKey& aOther) const
  {
    return server != aOther.server ? server < aOther.server
                                   : slot < aOther.slot;
  }
};

/// One request to a backend server.
struct BackendCall
{
  SlotKey key;
  std::string service;
  std::string requestId;
  std::uint32_t attempt = 0;
  std::uint64_t snapshot = 0;
  bool idempotent = true;
  Duration timeLeft{ 0 };
  std::string body;
};

/// How it ended.
struct BackendReply
{
  SubStatus status = SubStatus::Lost;
  Errc error = Errc::Ok;
  bool draining = false; ///< the server said that it is leaving
  std::string body;
  std::uint64_t snapshot = 0;
  std::uint64_t incarnation = 0; ///< 0 when the server sent none
  Duration latency{ 0 };
  bool cancelled = false; ///< this node closed the connection
};

/// Sends requests to backend servers. Safe from any thread.
class BackendI
{
public:
  using Done = std::function<void(BackendReply)>;
  virtual ~BackendI() = default;

  /// Sends one request on the slot's own connection. The caller keeps at most
  /// one request in flight a slot.
  /// @param[in] aDone called once, from another thread, at the latest when
  ///            BackendCall::timeLeft has passed
  /// @returns a handle for cancel()
  virtual std::uint64_t send(BackendCall aCall, Done aDone) = 0;

  /// Closes the connection of a running request; its Done still follows.
  virtual void cancel(std::uint64_t aHandle) = 0;
};

/// Sending rights to slots; read by traffic threads right before each send.
class RightsI
{
public:
  virtual ~RightsI() = default;
  virtual bool mayUse(const SlotKey& aKey) const = 0;
};

/// Allowed concurrency of servers by warmth.
class WarmthI
{
public:
  virtual ~WarmthI() = default;
  /// @param[in] aInUse requests this node has in flight to that server
  virtual bool mayUse(const SlotKey& aKey, std::uint32_t aInUse) const = 0;
  /// @returns true when closing the connection of a running request is safe. A
  /// server notices that late, and would run the next request beside it.
  virtual bool mayCancel(const std::string& aServer) const = 0;
  /// Called for each request sent, before its onReply().
  virtual void onSent(const SlotKey& aKey) = 0;
  virtual void onReply(const SlotKey& aKey, const BackendReply& aReply) = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BACKEND_P_H
