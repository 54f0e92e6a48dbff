#include "traffic_metrics_p.h"

#include <sstream>

namespace toucanridge {
namespace {

namespace histogram = boost::histogram;

/// Bucket bounds in seconds. They include the target latencies that users set
/// (60 to 800 ms).
const std::vector<double>&
bucketBounds()
{
  static const std::vector<double> sBounds{
    0.0, 0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15,
    0.2, 0.3,   0.4,  0.6,  0.8,  1.0,  2.0,  5.0, 10.0
  };
  return sBounds;
}

void
writeHeader(std::ostream& aOut,
            const char* aName,
            const char* aHelp,
            const char* aType)
{
  aOut << "# HELP " << aName << ' ' << aHelp << "\n# TYPE " << aName << ' '
       << aType << '\n';
}

} // namespace

std::string
TrafficMetrics::labelOf(const std::string& aRoute) const
{
  return m_latencies.count(aRoute) != 0 || m_latencies.size() < kMaxRoutes
           ? aRoute
           : "other";
}

void
TrafficMetrics::onAnswer(const std::string& aRoute,
                         unsigned aStatus,
                         const char* aReason,
                         Duration aLatency)
{
  const std::string route = labelOf(aRoute);
  ++m_answers[{ route, aStatus, aReason }];
  auto found = m_latencies.find(route);
  if (found == m_latencies.end()) {
    found = m_latencies
              .emplace(route,
                       Latency{ histogram::make_histogram(
                                  histogram::axis::variable<>(bucketBounds())),
                                0.0 })
              .first;
  }
  const double seconds = std::chrono::duration<double>(aLatency).count();
  found->second.histogram(seconds);
  found->second.sum += seconds;
}

void
TrafficMetrics::setGauge(const std::string& aName,
                         const char* aHelp,
                         double aValue)
{
  m_gauges[aName] = { aHelp, aValue };
}

std::string
TrafficMetrics::text() const
{
  std::ostringstream out;
  constexpr const char* kAnswers = "toucanridge_answers_total";
  writeHeader(out, kAnswers, "answers to callers", "counter");
  for (const auto& [answer, count] : m_answers) {
    out << kAnswers << "{route=\"" << std::get<0>(answer) << "\",status=\""
        << std::get<1>(answer) << "\",reason=\"" << std::get<2>(answer)
        << "\"} " << count << '\n';
  }
  constexpr const char* kLatency = "toucanridge_answer_seconds";
  writeHeader(out, kLatency, "time from request to answer", "histogram");
  for (const auto& [route, latency] : m_latencies) {
    double total = 0.0;
    const int last = latency.histogram.axis().size();
    for (int bin = 0; bin < last; ++bin) {
      total += latency.histogram.at(bin);
      out << kLatency << "_bucket{route=\"" << route << "\",le=\""
          << latency.histogram.axis().value(bin + 1) << "\"} " << total << '\n';
    }
    total += latency.histogram.at(last);
    out << kLatency << "_bucket{route=\"" << route << "\",le=\"+Inf\"} "
        << total << '\n'
        << kLatency << "_sum{route=\"" << route << "\"} " << latency.sum << '\n'
        << kLatency << "_count{route=\"" << route << "\"} " << total << '\n';
  }
  for (const auto& [name, gauge] : m_gauges) {
    writeHeader(out, name.c_str(), gauge.help, "gauge");
    out << name << ' ' << gauge.value << '\n';
  }
  return out.str();
}

} // namespace toucanridge
