#ifndef QUETZALLINE_MESSAGES_NEIGHBOUR_SAMPLE_H_
#define QUETZALLINE_MESSAGES_NEIGHBOUR_SAMPLE_H_

#include <compare>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/image_cores.h"
#include "messages/image_tail.h"

namespace quetzalline {

/// Tail latencies on a worker and the best-effort tasks that ran there at the
/// same time.
class NeighbourSample {
 public:
  class Builder;

  static constexpr std::string_view kName = "neighbour-sample";

  /// Highest tail latency for each image of a long-running service.
  const std::vector<ImageTail>& tails() const { return tails_; }
  /// CPU use for each image of best-effort tasks.
  const std::vector<ImageCores>& fills() const { return fills_; }

  friend auto operator<=>(const NeighbourSample&,
                          const NeighbourSample&) = default;

 private:
  QUETZALLINE_VALUE(NeighbourSample, tails_, fills_)

  std::vector<ImageTail> tails_;
  std::vector<ImageCores> fills_;
};

/// Builds a NeighbourSample; fields that are not set keep their defaults.
class NeighbourSample::Builder : public ValueBuilder<NeighbourSample, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& tails(std::vector<ImageTail> value) {
    return Set(value_.tails_, std::move(value));
  }
  Builder& fills(std::vector<ImageCores> value) {
    return Set(value_.fills_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_NEIGHBOUR_SAMPLE_H_
