#ifndef TOUCANRIDGE_STATUS_P_H
#define TOUCANRIDGE_STATUS_P_H

/// Renders a node's state for operators.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "answer_memory_p.h"
#include "control_plane_p.h"
#include "process_usage_p.h"
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
              const EngineCounters& aCounters,
              const std::vector<ClassSummary>& aClasses,
              const ProcessUsage& aUsage);

/// @returns JSON text with the rules that governed the answer
std::string
renderExplanation(const RememberedAnswer& aAnswer);

/// @param[in] aClass a class that the view's rules name
/// @returns JSON text with the rules that govern the class now
std::string
renderClassRules(const View& aView, const std::string& aClass);

/// @param[in] aView may be null before the first rules file arrived
/// @returns JSON text with every rule in force
std::string
renderRules(const ViewPtr& aView);

} // namespace toucanridge

#endif // TOUCANRIDGE_STATUS_P_H
