#ifndef QUETZALLINE_ADAPTERS_METRICS_TEXT_H_
#define QUETZALLINE_ADAPTERS_METRICS_TEXT_H_

#include <string>

#include "core/counters.h"

namespace quetzalline {

/// Returns the counters in the Prometheus text format.
std::string MetricsText(const Counters& counters);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_METRICS_TEXT_H_
