#ifndef QUETZALLINE_ADAPTERS_METRICS_TEXT_H_
#define QUETZALLINE_ADAPTERS_METRICS_TEXT_H_

#include <string>
#include <vector>

#include "core/counters.h"
#include "core/gauge.h"

namespace quetzalline {

/// Returns the counters and gauges in the Prometheus text format.
std::string MetricsText(const Counters& counters,
                        const std::vector<Gauge>& gauges = {});

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_METRICS_TEXT_H_
