#include "adapters/metrics_text.h"

#include <algorithm>

#include "core/reflect.h"

namespace quetzalline {
namespace {

std::string MetricName(Counter counter) {
  std::string name = "quetzalline_" + ToString(counter) + "_total";
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

// Omits reasons with a zero count, except for the one without a label.
void AppendCounter(Counter counter, const Counters& counters,
                   std::string& text) {
  const std::string name = MetricName(counter);
  text += "# TYPE " + name + " counter\n";
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<Reason>>(
      [&](auto reason) {
        const std::int64_t count = counters.Count(counter, reason.value);
        const bool unlabeled = reason.value == Reason::kNone;
        if (count == 0 && !unlabeled) return;
        text += name;
        if (!unlabeled) text += "{reason=\"" + ToString(reason.value) + "\"}";
        text += " " + std::to_string(count) + "\n";
      });
}

void AppendGauge(const Gauge& gauge, std::string& text) {
  const std::string name = "quetzalline_" + gauge.name();
  text += "# TYPE " + name + " gauge\n";
  text += name + " " + std::to_string(gauge.value()) + "\n";
}

}  // namespace

std::string MetricsText(const Counters& counters,
                        const std::vector<Gauge>& gauges) {
  std::string text;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<Counter>>(
      [&](auto counter) { AppendCounter(counter.value, counters, text); });
  for (const Gauge& gauge : gauges) AppendGauge(gauge, text);
  return text;
}

}  // namespace quetzalline
