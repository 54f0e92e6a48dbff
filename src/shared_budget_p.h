#ifndef TOUCANRIDGE_SHARED_BUDGET_P_H
#define TOUCANRIDGE_SHARED_BUDGET_P_H

/// This host's share of the extra attempts (hedges and retries) that all hosts
/// together may send to a service.

#include <chrono>
#include <cstddef>

#include "clock_p.h"

namespace toucanridge {

/// The limit on extra attempts at a service, over all hosts.
struct BudgetLimit
{
  double ratio = 0.1; ///< extra attempts for each request
  double slack = 10;  ///< further extra attempts in each window
  std::chrono::milliseconds window{ 10'000 };
};

/// A token bucket, refilled by requests and by time. A full bucket plus the
/// refill of a window stays within the limit, and so does every sliding window.
/// The bucket starts empty because a restarted host doesn't know what it spent
/// before.
class SharedBudget
{
public:
  /// @param[in] aSince when this host started; the refill by time begins here
  SharedBudget(const ClockI& aClock,
               const BudgetLimit& aLimit,
               TimePoint aSince);

  /// @param[in] aSharingHosts number of hosts that share the slack equally, 0
  ///            when this host has no share of it and only requests add tokens
  void setSharingHosts(std::size_t aSharingHosts);
  /// Adds tokens for a request for the service that arrived at this host.
  void onRequest();
  /// Spends a token for an extra attempt.
  /// @returns false when there is none
  bool trySpend();

private:
  void refill();
  double capacity() const;

  const ClockI& m_clock;
  BudgetLimit m_limit;
  double m_slackShare = 0.0; ///< of m_limit.slack, in tokens
  double m_tokens = 0.0;
  TimePoint m_refilled;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SHARED_BUDGET_P_H
