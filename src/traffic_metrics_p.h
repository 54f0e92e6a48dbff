#ifndef TOUCANRIDGE_TRAFFIC_METRICS_P_H
#define TOUCANRIDGE_TRAFFIC_METRICS_P_H

/// Counters and latency histograms of callers' queries, as text in the
/// Prometheus exposition format. Used on the traffic thread only.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <boost/histogram.hpp>

#include "clock_p.h"

namespace toucanridge {

class TrafficMetrics
{
public:
  /// Number of routes with time series of their own. Further routes share the
  /// label "other", which bounds the page for configurations with many routes.
  static constexpr std::size_t kMaxRoutes = 64;

  /// Records the answer to a query.
  /// @param[in] aStatus HTTP status of the answer, 0 when the caller left
  void onAnswer(const std::string& aRoute,
                unsigned aStatus,
                const char* aReason,
                Duration aLatency);
  /// Sets a gauge to a value that is counted elsewhere.
  void setGauge(const std::string& aName, const char* aHelp, double aValue);

  /// @returns all metrics in the exposition format
  std::string text() const;

private:
  using Histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::variable<>(std::vector<double>{ 0.0, 1.0 })));
  struct Latency
  {
    Histogram histogram;
    double sum = 0.0; ///< seconds
  };
  struct Gauge
  {
    const char* help = "";
    double value = 0.0;
  };
  /// Route, status and reason.
  using Answer = std::tuple<std::string, unsigned, std::string>;

  /// @returns the label of a route, its name or "other"
  std::string labelOf(const std::string& aRoute) const;

  std::map<Answer, std::uint64_t> m_answers;
  std::map<std::string, Latency> m_latencies; ///< by route
  std::map<std::string, Gauge> m_gauges;      ///< by name
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TRAFFIC_METRICS_P_H
