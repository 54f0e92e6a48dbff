#ifndef TOUCANRIDGE_ADMISSION_P_H
#define TOUCANRIDGE_ADMISSION_P_H

/// Admission control: the share of the queries that a host accepts while the
/// shards are overloaded. Answers the load of callers that come in crowds, when
/// the queues of all servers grow.

#include "clock_p.h"

namespace toucanridge {

/// Decides which share of the queries (the level) to accept. The level
/// decreases with each query that overload makes late and increases with every
/// other query, so that it settles where a fifth of the queries are late. A
/// query that is refused at once can be retried by its caller; one that waits
/// in the servers' queues past its target latency delays the others as well.
/// The range above 1 is a reserve: a few late queries don't lead to refusals.
class Admission
{
public:
  explicit Admission(const ClockI& aClock);

  /// Updates the level when a query is answered or passes its target latency,
  /// whichever is first.
  /// @param[in] aLate true when overload kept the parts from arriving in time
  void onQuery(bool aLate);
  /// @param[in] aUniform random number, uniform in [0, 1)
  /// @returns true when a query is to be accepted
  bool admits(double aUniform) const { return aUniform < level(); }
  /// @returns the share of queries to accept; all of them from 1 upwards
  double level() const;

private:
  const ClockI& m_clock;
  double m_level;
  TimePoint m_updatedAt; ///< when m_level was last set
};

/// @param[in] aMedian median latency of a query's parts, zero while too few are
///            received
/// @returns true when it shows that parts wait in the servers' queues
bool
isOverloadedMedian(Duration aMedian, Duration aTargetLatency);

} // namespace toucanridge

#endif // TOUCANRIDGE_ADMISSION_P_H
