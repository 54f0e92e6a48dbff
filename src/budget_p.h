#ifndef TOUCANRIDGE_BUDGET_P_H
#define TOUCANRIDGE_BUDGET_P_H

/// Token buckets that bound extra load to a share of first attempts.

#include <cstddef>

namespace toucanridge {

/// A token bucket: each first attempt adds a share of a token, each extra
/// attempt (a retry or a hedge) takes one. Not thread-safe.
class TokenBudget
{
public:
  /// Capacity and initial number of tokens. The loss of a holder fails about an
  /// eighth of a fan-out of 30 at once, which is under five parts of each
  /// running query; ten tokens cover two such queries.
  static constexpr double kBurst = 10.0;

  /// @param[in] aBurst capacity and initial number of tokens
  explicit TokenBudget(double aBurst = kBurst);

  /// Adds tokens for first attempts, up to the capacity.
  /// @param[in] aCount first attempts sent
  /// @param[in] aShare extra attempts allowed for each of them, 0 to 1
  void deposit(std::size_t aCount, double aShare);

  /// Takes a token for one extra attempt.
  /// @returns false when less than one token is left
  bool tryTake();

private:
  double m_burst;
  double m_tokens;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_BUDGET_P_H
