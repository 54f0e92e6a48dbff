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

/// State of a node for renderStatus() and renderMetrics(), besides the view and
/// the counters of queries and slots.
struct NodeStatus
{
  std::string host;       ///< name of this host
  std::string dataCentre; ///< of this host
  std::uint64_t incarnation = 0;
  std::shared_ptr<const ControlStatus> control;
  std::vector<QuarantineStatus> quarantine;
};

/// @param[in] aView may be null before the first view is published
/// @returns the status as JSON text
std::string
renderStatus(const NodeStatus& aNode,
             const ViewPtr& aView,
             const std::vector<ServerQueueStatus>& aQueues,
             const EngineCounters& aCounters);

/// @param[in] aView may be null before the first view is published
/// @returns metrics in the text exposition format of Prometheus
std::string
renderMetrics(const NodeStatus& aNode,
              const ViewPtr& aView,
              const std::vector<ServerQueueStatus>& aQueues,
              const EngineCounters& aCounters,
              const std::vector<ClassSummary>& aClasses,
              const ProcessUsage& aUsage);

/// @returns JSON text with the outcome of an answer and the rules that applied
///          to it
std::string
renderExplanation(const RecentAnswer& aAnswer);

/// @param[in] aClass a class that the view's rules define
/// @returns JSON text with the rules that apply to the class now
std::string
renderClassRules(const View& aView, const std::string& aClass);

/// @param[in] aView may be null before the first view is published
/// @returns JSON text with every rule in force
std::string
renderRules(const ViewPtr& aView);

} // namespace toucanridge

#endif // TOUCANRIDGE_STATUS_P_H
