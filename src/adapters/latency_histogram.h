#ifndef QUETZALLINE_ADAPTERS_LATENCY_HISTOGRAM_H_
#define QUETZALLINE_ADAPTERS_LATENCY_HISTOGRAM_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <string>

#include "core/time.h"

namespace quetzalline {

/// A histogram of durations with buckets whose bounds grow by a constant
/// factor, from 0.1 ms to 100 s.
class LatencyHistogram {
 public:
  void Add(Duration latency);
  std::int64_t count() const { return count_; }

  /// Appends the histogram to text in the Prometheus text format, in seconds.
  void AppendText(const std::string& name, std::string& text) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  static constexpr unsigned kBuckets = 30;
  static constexpr double kMinSeconds = 0.0001;
  static constexpr double kMaxSeconds = 100.0;

  Histogram histogram_ = boost::histogram::make_histogram(
      Axis(kBuckets, kMinSeconds, kMaxSeconds));
  std::int64_t count_ = 0;
  double sum_seconds_ = 0.0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_LATENCY_HISTOGRAM_H_
