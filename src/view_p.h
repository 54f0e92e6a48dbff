#ifndef TOUCANRIDGE_VIEW_P_H
#define TOUCANRIDGE_VIEW_P_H

/// The control state that query processing reads: rules, hosts and slot
/// placement.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "rules_p.h"

namespace toucanridge {

enum class HostState : std::uint8_t
{
  Live,
  Leaving,
};

/// A host of the published list.
struct Host
{
  std::string name;
  std::string dataCentre;
  std::string address; ///< IPv4
  std::uint16_t httpPort = 0;
  std::uint16_t peerPort = 0; ///< TCP and UDP
  HostState state = HostState::Live;
  std::uint32_t capacity = 1000; ///< thousandths of a core
};

/// The published host list.
struct HostList
{
  std::uint64_t revision = 0;
  std::vector<Host> hosts;
};

/// The revisions of the rules and of the host list, which together identify a
/// view.
struct ViewId
{
  std::uint64_t rules = 0;
  std::uint64_t hosts = 0;

  /// @returns true when neither revision is older than the one in `aOther`
  bool isAtLeast(const ViewId& aOther) const
  {
    return rules >= aOther.rules && hosts >= aOther.hosts;
  }
  bool operator==(const ViewId& aOther) const
  {
    return rules == aOther.rules && hosts == aOther.hosts;
  }
  bool operator!=(const ViewId& aOther) const { return !(*this == aOther); }
};

/// One slot of one server and the host that may use it.
struct SlotPlace
{
  static constexpr std::int32_t kNoHost = -1;

  std::uint32_t server = 0; ///< index into ServiceRule::servers
  std::uint32_t slot = 0;
  std::int32_t host = kNoHost; ///< index into HostList::hosts
};

/// The placement of all slots of one service.
struct ServicePlacement
{
  std::vector<SlotPlace> slots;
};

/// A consistent state of rules, hosts and placement. Immutable; published to
/// traffic threads as a shared pointer.
struct View
{
  ViewId id;
  std::shared_ptr<const RuleSet> rules;
  HostList hosts;
  std::vector<ServicePlacement> placement; ///< parallel to RuleSet::services

  /// @returns the host with that name, or nullptr when the list has none
  const Host* findHost(const std::string& aName) const;
  /// @returns true when neither the rules nor the host list take the host or
  ///          its data centre out of service
  bool inService(const Host& aHost) const;
};

using ViewPtr = std::shared_ptr<const View>;

/// Builds a view and places every slot.
/// @param[in] aRules rules in force, not null
ViewPtr
makeView(std::uint64_t aRulesRevision,
         std::shared_ptr<const RuleSet> aRules,
         HostList aHosts);

/// Holds the current view; the control thread sets it, any thread reads it.
class ViewHolder
{
public:
  ViewPtr get() const { return std::atomic_load(&m_view); }
  void set(ViewPtr aView) { std::atomic_store(&m_view, std::move(aView)); }

private:
  ViewPtr m_view;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_VIEW_P_H
