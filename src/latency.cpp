#include "latency_p.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace toucanridge {

namespace acc = boost::accumulators;

struct LatencyTracker::Window
{
  explicit Window(double aPercentile)
    : samples(acc::quantile_probability = aPercentile)
  {
  }

  std::size_t count() const { return acc::count(samples); }

  acc::accumulator_set<double,
                       acc::stats<acc::tag::count, acc::tag::p_square_quantile>>
    samples;
};

LatencyTracker::LatencyTracker(const ClockI& aClock, double aPercentile)
  : m_clock(&aClock)
  , m_percentile(aPercentile)
  , m_rotatedAt(aClock.now())
  , m_current(std::make_unique<Window>(aPercentile))
{
}

LatencyTracker::~LatencyTracker() = default;
LatencyTracker::LatencyTracker(LatencyTracker&&) noexcept = default;
LatencyTracker&
LatencyTracker::operator=(LatencyTracker&&) noexcept = default;

void
LatencyTracker::add(Duration aLatency)
{
  const TimePoint now = m_clock->now();
  // A window with too few samples for an estimate is kept whatever its age.
  if (m_current->count() >= kWindowSamples ||
      (m_current->count() >= kMinSamples &&
       now - m_rotatedAt >= kMaxWindowAge)) {
    m_previous = std::move(m_current);
    m_current = std::make_unique<Window>(m_percentile);
    m_rotatedAt = now;
  }
  m_current->samples(static_cast<double>(aLatency.count()));
}

std::optional<Duration>
LatencyTracker::value() const
{
  const Window* window =
    m_current->count() >= kMinSamples ? m_current.get() : m_previous.get();
  if (window == nullptr) {
    return std::nullopt;
  }
  return Duration(
    static_cast<Duration::rep>(acc::p_square_quantile(window->samples)));
}

} // namespace toucanridge
