#ifndef QUETZALLINE_MESSAGES_INTERFERENCE_SAMPLE_H_
#define QUETZALLINE_MESSAGES_INTERFERENCE_SAMPLE_H_

#include <compare>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/image_cpu_usage.h"
#include "messages/image_tail_latency.h"

namespace quetzalline {

/// Tail latencies on a worker and the best-effort tasks that ran there at the
/// same time.
class InterferenceSample {
 public:
  class Builder;

  static constexpr std::string_view kName = "neighbour-sample";

  /// Highest tail latency for each image of a long-running service.
  const std::vector<ImageTailLatency>& tails() const { return tails_; }
  /// CPU use for each image of best-effort tasks.
  const std::vector<ImageCpuUsage>& fills() const { return fills_; }

  friend auto operator<=>(const InterferenceSample&,
                          const InterferenceSample&) = default;

 private:
  QUETZALLINE_VALUE(InterferenceSample, tails_, fills_)

  std::vector<ImageTailLatency> tails_;
  std::vector<ImageCpuUsage> fills_;
};

/// Builds an InterferenceSample; fields that are not set keep their defaults.
class InterferenceSample::Builder
    : public ValueBuilder<InterferenceSample, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& tails(std::vector<ImageTailLatency> value) {
    return Set(value_.tails_, std::move(value));
  }
  Builder& fills(std::vector<ImageCpuUsage> value) {
    return Set(value_.fills_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_INTERFERENCE_SAMPLE_H_
