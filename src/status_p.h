#ifndef TOUCANRIDGE_STATUS_P_H
#define TOUCANRIDGE_STATUS_P_H

/// Renders a node's state for operators.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control_plane_p.h"
#include "query_engine_p.h"
#include "slot_table_p.h"
#include "view_p.h"

namespace toucanridge {

/// Facts about a node that are in no other module.
struct NodeFacts
{
  std::string host;
  std::string dataCentre;
  std::uint64_t incarnation = 0;
  std::shared_ptr<const ControlStatus> control;
  std::vector<QuarantineStatus> quarantine;
};

/// @returns JSON text
std::string
renderStatus(const NodeFacts& aFacts,
             const ViewPtr& aView,
             const std::vector<GateStatus>& aGates,
             const EngineCounters& aCounters);

/// @returns metrics in the text exposition format
std::string
renderMetrics(const NodeFacts& aFacts,
              const ViewPtr& aView,
              const std::vector<GateStatus>& aGates,
              const EngineCounters& aCounters);

} // namespace toucanridge

#endif // TOUCANRIDGE_STATUS_P_H
