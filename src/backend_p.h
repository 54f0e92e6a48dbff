#ifndef TOUCANRIDGE_BACKEND_P_H
#define TOUCANRIDGE_BACKEND_P_H

/// Interface between the slot table and the adapter to backend servers.

#include <cstdint>
#include <functional>
#include <string>

#include "clock_p.h"
#include "http_message_p.h"
#include "wire_p.h"

namespace toucanridge {

/// Identifies one slot of one server.
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
  SharedBody body; ///< null: none
};

/// Outcome of a BackendCall.
struct BackendReply
{
  SubStatus status = SubStatus::Lost;
  Errc error = Errc::Ok;
  bool draining = false; ///< the server announced its shutdown
  std::string body;
  std::uint64_t snapshot = 0;
  std::uint64_t incarnation = 0; ///< 0 when the server sent none
  Duration latency{ 0 };
  bool cancelled = false; ///< this node closed the connection
};

/// Sends requests to backend servers. Thread-safe.
class BackendI
{
public:
  using Done = std::function<void(BackendReply)>;
  virtual ~BackendI() = default;

  /// Sends one request on the slot's own connection. At most one request may
  /// be in flight per slot; the caller ensures that.
  /// @param[in] aDone called once, from another thread, at the latest when
  ///            BackendCall::timeLeft has passed
  /// @returns a handle for cancel()
  virtual std::uint64_t send(BackendCall aCall, Done aDone) = 0;

  /// Closes the connection of a running request. Its completion callback is
  /// still called.
  /// @param[in] aHandle returned by send()
  virtual void cancel(std::uint64_t aHandle) = 0;
};

/// Sending rights to slots. Traffic threads check them right before each send.
class RightsI
{
public:
  virtual ~RightsI() = default;
  /// @returns true while this node may send requests to the slot
  virtual bool mayUse(const SlotKey& aKey) const = 0;
};

/// Limits concurrent requests to servers that are not known to be warm.
class WarmthI
{
public:
  virtual ~WarmthI() = default;
  /// @param[in] aInUse requests that this node has in flight to that server;
  ///            Warmth ignores it and decides by server and slot alone
  /// @returns true when the server's warmth allows another request in the slot
  virtual bool mayUse(const SlotKey& aKey, std::uint32_t aInUse) const = 0;
  /// @returns true when the connection of a running request may be closed. A
  /// server detects the close late and runs the next request concurrently with
  /// the cancelled one.
  virtual bool mayCancel(const std::string& aServer) const = 0;
  /// Called for each request sent, before its onReply().
  virtual void onSent(const SlotKey& aKey) = 0;
  virtual void onReply(const SlotKey& aKey, const BackendReply& aReply) = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BACKEND_P_H
