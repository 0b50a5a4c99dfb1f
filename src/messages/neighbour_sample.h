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

/// The tails that were seen beside the tasks that filled at that time.
class NeighbourSample {
 public:
  class Builder;

  static constexpr std::string_view kName = "neighbour-sample";

  const std::vector<ImageTail>& tails() const { return tails_; }
  const std::vector<ImageCores>& fills() const { return fills_; }

  friend auto operator<=>(const NeighbourSample&,
                          const NeighbourSample&) = default;

 private:
  QUETZALLINE_VALUE(NeighbourSample, tails_, fills_)

  std::vector<ImageTail> tails_;
  std::vector<ImageCores> fills_;
};

/// Builds one NeighbourSample; what is not set keeps its default.
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
