#include "traffic_metrics_p.h"

#include <sstream>

namespace toucanridge {
namespace {

namespace histogram = boost::histogram;

/// Upper bounds in seconds; the users' aims (60 to 800 ms) are among them.
const std::vector<double>&
bounds()
{
  static const std::vector<double> sBounds{
    0.0, 0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15,
    0.2, 0.3,   0.4,  0.6,  0.8,  1.0,  2.0,  5.0, 10.0
  };
  return sBounds;
}

void
writeHead(std::ostream& aOut,
          const char* aName,
          const char* aHelp,
          const char* aType)
{
  aOut << "# HELP " << aName << ' ' << aHelp << "\n# TYPE " << aName << ' '
       << aType << '\n';
}

} // namespace

std::string
TrafficMetrics::nameOf(const std::string& aRoute) const
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
  const std::string route = nameOf(aRoute);
  ++m_answers[{ route, aStatus, aReason }];
  auto found = m_latencies.find(route);
  if (found == m_latencies.end()) {
    found = m_latencies
              .emplace(route,
                       Latency{ histogram::make_histogram(
                                  histogram::axis::variable<>(bounds())),
                                0.0 })
              .first;
  }
  const double seconds = std::chrono::duration<double>(aLatency).count();
  found->second.histogram(seconds);
  found->second.sum += seconds;
}

void
TrafficMetrics::set(const std::string& aName, const char* aHelp, double aValue)
{
  m_values[aName] = { aHelp, aValue };
}

std::string
TrafficMetrics::text() const
{
  std::ostringstream out;
  constexpr const char* kAnswers = "toucanridge_answers_total";
  writeHead(out, kAnswers, "answers to callers", "counter");
  for (const auto& [answer, count] : m_answers) {
    out << kAnswers << "{route=\"" << std::get<0>(answer) << "\",status=\""
        << std::get<1>(answer) << "\",reason=\"" << std::get<2>(answer)
        << "\"} " << count << '\n';
  }
  constexpr const char* kLatency = "toucanridge_answer_seconds";
  writeHead(out, kLatency, "time from request to answer", "histogram");
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
  for (const auto& [name, value] : m_values) {
    writeHead(out, name.c_str(), value.help, "gauge");
    out << name << ' ' << value.value << '\n';
  }
  return out.str();
}

} // namespace toucanridge
