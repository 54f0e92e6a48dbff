#ifndef TOUCANRIDGE_LATENCY_P_H
#define TOUCANRIDGE_LATENCY_P_H

/// Latency percentiles estimated from recent samples.

#include <cstddef>
#include <memory>
#include <optional>

#include "clock_p.h"

namespace toucanridge {

/// Estimates one percentile of recent latencies. Samples go into the current
/// window; a full or old window is replaced, so that old samples lose their
/// weight, and provides the estimate until the new one has enough samples.
/// Not thread-safe.
class LatencyTracker
{
public:
  /// Samples that a window needs before its estimate is used. With fewer, an
  /// estimate of p95 rests on fewer than five samples above it.
  static constexpr std::size_t kMinSamples = 100;
  /// Samples after which a new window starts.
  static constexpr std::size_t kWindowSamples = 2000;
  /// Age at which a new window starts once the current one has kMinSamples.
  static constexpr std::chrono::seconds kMaxWindowAge{ 30 };

  /// @param[in] aPercentile 0 to 1, exclusive
  LatencyTracker(const ClockI& aClock, double aPercentile);
  ~LatencyTracker();
  LatencyTracker(LatencyTracker&&) noexcept;
  LatencyTracker& operator=(LatencyTracker&&) noexcept;

  double percentile() const { return m_percentile; }

  /// Records a latency. Record a cancelled request with the time it had waited:
  /// without such samples the slowest requests would be missing, and each hedge
  /// would lower the estimate.
  void add(Duration aLatency);

  /// @returns the estimate; nothing until kMinSamples have been recorded
  std::optional<Duration> value() const;

private:
  struct Window;

  const ClockI* m_clock;
  double m_percentile;
  TimePoint m_rotatedAt; ///< start of the current window
  std::unique_ptr<Window> m_current;
  std::unique_ptr<Window> m_previous;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_LATENCY_P_H
