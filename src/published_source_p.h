#ifndef TOUCANRIDGE_PUBLISHED_SOURCE_P_H
#define TOUCANRIDGE_PUBLISHED_SOURCE_P_H

/// Interfaces to the platform's published items and to those requests of
/// callers that aren't queries: for addresses and for readiness. The adapter of
/// a platform implements them.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock_p.h"
#include "http_message_p.h"
#include "published_items_p.h"
#include "reader_choice_p.h"
#include "routing_p.h"

namespace toucanridge {

/// Receives what a source reads; called on the control thread.
class PublishedListenerI
{
public:
  virtual ~PublishedListenerI() = default;
  virtual void onItems(const ItemChanges& aChanges) = 0;
};

/// Reads the platform's items and then their changes until it is stopped.
class PublishedSourceI
{
public:
  virtual ~PublishedSourceI() = default;
  virtual void start(PublishedListenerI& aListener) = 0;
  virtual void stop() = 0;
  /// Sets whether this host reads the platform itself. A substitute repeats
  /// calls without an answer less often.
  virtual void setRole(ReadRole aRole) = 0;
  /// Skips the changes up to a revision that this host has got from a peer.
  virtual void skipTo(std::uint64_t aRevision) = 0;
  /// @returns true when the last call to the platform got no answer or was
  ///          refused
  virtual bool lastCallFailed() const = 0;
};

/// What a published item describes.
enum class ItemKind : std::uint8_t
{
  Routing,    ///< all routes and services
  Server,     ///< one backend server
  Evacuation, ///< no new requests for a data centre while the item exists
  Other,
};

/// Decodes published items.
class PublishedDecoderI : public ItemOrderI
{
public:
  virtual ItemKind kindOf(const std::string& aKey) const = 0;
  /// @returns null when the value can't be read; the reason is logged
  virtual std::shared_ptr<const RoutingTable> decodeRouting(
    const PublishedItem& aItem) const = 0;
  /// @returns nothing when the entry names no usable server
  virtual std::optional<BackendServer> decodeServer(
    const PublishedItem& aItem) const = 0;
  /// @returns the data centre that the key of an Evacuation item names
  virtual std::string evacuatedDataCentre(const std::string& aKey) const = 0;
};

/// The protocol in which callers ask for addresses and for readiness.
class DirectoryProtocolI
{
public:
  virtual ~DirectoryProtocolI() = default;
  /// @returns true when the request asks for addresses
  virtual bool asksForAddresses(const HttpRequest& aRequest) const = 0;
  /// @returns true when the request asks whether this host is ready
  virtual bool asksForReadiness(const HttpRequest& aRequest) const = 0;
  /// @param[in] aAddresses "address:port"
  virtual HttpResponse makeAddresses(
    const std::vector<std::string>& aAddresses,
    std::chrono::milliseconds aValidFor) const = 0;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PUBLISHED_SOURCE_P_H
