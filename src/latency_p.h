#ifndef TOUCANRIDGE_LATENCY_P_H
#define TOUCANRIDGE_LATENCY_P_H

/// Learnt latency percentiles.

#include <cstddef>
#include <memory>
#include <optional>

#include "clock_p.h"

namespace toucanridge {

/// Estimates one percentile of recent latencies with two accumulators that
/// rotate, so that old samples lose their weight. Not thread-safe.
class LatencyTracker
{
public:
  /// Samples needed before the estimate is used; below this the estimate of
  /// p95 rests on fewer than five samples above it.
  static constexpr std::size_t kMinSamples = 100;
  /// Samples after which the accumulators rotate.
  static constexpr std::size_t kWindow = 2000;
  /// Age at which they rotate even with fewer samples.
  static constexpr std::chrono::seconds kMaxAge{ 30 };

  /// @param[in] aPercentile 0 to 1, exclusive
  LatencyTracker(const ClockI& aClock, double aPercentile);
  ~LatencyTracker();
  LatencyTracker(LatencyTracker&&) noexcept;
  LatencyTracker& operator=(LatencyTracker&&) noexcept;

  double percentile() const { return m_percentile; }

  /// Records a latency. A request that was cancelled is recorded with the time
  /// it had waited: leaving it out would hide the slowest ones and pull the
  /// estimate down with each hedge.
  void add(Duration aLatency);

  /// @returns nothing until enough samples are known
  std::optional<Duration> value() const;

private:
  struct Window;

  const ClockI* m_clock;
  double m_percentile;
  TimePoint m_rotated;
  std::unique_ptr<Window> m_current;
  std::unique_ptr<Window> m_previous;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_LATENCY_P_H
