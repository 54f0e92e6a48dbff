#ifndef TOUCANRIDGE_BUDGET_P_H
#define TOUCANRIDGE_BUDGET_P_H

/// Token budgets that bound extra load by a share of first attempts.

#include <cstddef>

namespace toucanridge {

/// A budget earns a share of a token with each first attempt and spends one
/// with each extra attempt. Not thread-safe.
class TokenBudget
{
public:
  /// Tokens a budget holds at most and starts with. A lost holder fails about
  /// an eighth of a fan-out of 30 at once, which is under five parts for each
  /// running query; ten cover two such queries.
  static constexpr double kBurst = 10.0;

  explicit TokenBudget(double aBurst = kBurst);

  /// @param[in] aCount first attempts sent
  /// @param[in] aShare extra attempts allowed for each of them, 0 to 1
  void earn(std::size_t aCount, double aShare);

  /// Spends a token for one extra attempt.
  /// @returns false when the budget is used up
  bool take();

private:
  double m_burst;
  double m_tokens;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BUDGET_P_H
