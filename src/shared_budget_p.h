#ifndef TOUCANRIDGE_SHARED_BUDGET_P_H
#define TOUCANRIDGE_SHARED_BUDGET_P_H

/// This host's share of the extra attempts that all hosts together may send to
/// a service.

#include <chrono>
#include <cstddef>

#include "clock_p.h"

namespace toucanridge {

/// The limit on extra attempts at a service, over all hosts.
struct BudgetLimit
{
  double ratio = 0.1; ///< extra attempts for each request
  double slack = 10;  ///< and these on top in each window
  std::chrono::milliseconds window{ 10'000 };
};

/// Tokens are earned by requests and by time. A full bucket and a window's
/// earnings together stay within the limit, so any window does. The bucket
/// starts empty: a host that restarts has forgotten what it spent.
class SharedBudget
{
public:
  /// @param[in] aSince when this host started
  SharedBudget(const ClockI& aClock,
               const BudgetLimit& aLimit,
               TimePoint aSince);

  /// @param[in] aSharers hosts that divide the slack, 0 when this host has no
  ///            share of it and lives on its requests alone
  void setSharers(std::size_t aSharers);
  /// A request for the service arrived at this host.
  void onRequest();
  /// Spends a token for an extra attempt.
  /// @returns false when there is none
  bool take();

private:
  void refill();
  double most() const;

  const ClockI& m_clock;
  BudgetLimit m_limit;
  double m_share = 0.0; ///< of the slack
  double m_tokens = 0.0;
  TimePoint m_refilled;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SHARED_BUDGET_P_H
