#ifndef TOUCANRIDGE_ADMISSION_P_H
#define TOUCANRIDGE_ADMISSION_P_H

/// Which share of the queries a host takes while the shards are overloaded.

#include "clock_p.h"

namespace toucanridge {

/// A query that is refused at once can come back; one that waits in the
/// servers' queues past its aim makes the others late as well. A level falls
/// with each query that load makes late and rises with each other one, so it
/// settles where a fifth of them is late. Its part above 1 is a reserve that a
/// few late queries don't use up.
class Admission
{
public:
  explicit Admission(const ClockI& aClock);

  /// A query reached its aim, or was answered before.
  /// @param[in] aLate load kept its parts from arriving in time
  void onQuery(bool aLate);
  /// @param[in] aUniform 0 to 1, random
  /// @returns true when a query is to be taken
  bool takes(double aUniform) const { return aUniform < level(); }
  /// @returns the share of queries that are taken when below 1
  double level() const;

private:
  const ClockI& m_clock;
  double m_level;
  TimePoint m_learnt;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ADMISSION_P_H
