#ifndef TOUCANRIDGE_TRAFFIC_METRICS_P_H
#define TOUCANRIDGE_TRAFFIC_METRICS_P_H

/// Counters and latency histograms of callers' queries, as text in the common
/// exposition format. Belongs to the traffic thread.

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
  /// Routes with series of their own; further ones share the name "other", so
  /// that a configuration with many routes keeps the page small.
  static constexpr std::size_t kMaxRoutes = 64;

  /// A query was answered.
  /// @param[in] aStatus of the answer, 0 when the caller left
  void onAnswer(const std::string& aRoute,
                unsigned aStatus,
                const char* aReason,
                Duration aLatency);
  /// Adds a value that is counted elsewhere.
  void set(const std::string& aName, const char* aHelp, double aValue);

  std::string text() const;

private:
  using Histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::variable<>(std::vector<double>{ 0.0, 1.0 })));
  struct Latency
  {
    Histogram histogram;
    double sum = 0.0; ///< seconds
  };
  struct Value
  {
    const char* help = "";
    double value = 0.0;
  };
  using Answer = std::tuple<std::string, unsigned, std::string>;

  std::string nameOf(const std::string& aRoute) const;

  std::map<Answer, std::uint64_t> m_answers;
  std::map<std::string, Latency> m_latencies; ///< by route
  std::map<std::string, Value> m_values;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TRAFFIC_METRICS_P_H
