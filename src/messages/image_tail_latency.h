#ifndef QUETZALLINE_MESSAGES_IMAGE_TAIL_LATENCY_H_
#define QUETZALLINE_MESSAGES_IMAGE_TAIL_LATENCY_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Highest tail latency among the tasks of one image of a long-running service.
class ImageTailLatency {
 public:
  class Builder;

  static constexpr std::string_view kName = "image-tail";

  const std::string& image() const { return image_; }
  /// In percent of the target tail latency.
  std::int32_t percent() const { return percent_; }

  friend auto operator<=>(const ImageTailLatency&,
                          const ImageTailLatency&) = default;

 private:
  QUETZALLINE_VALUE(ImageTailLatency, image_, percent_)

  std::string image_;
  std::int32_t percent_ = 0;
};

/// Builds an ImageTailLatency; fields that are not set keep their defaults.
class ImageTailLatency::Builder
    : public ValueBuilder<ImageTailLatency, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& image(std::string value) {
    return Set(value_.image_, std::move(value));
  }
  Builder& percent(std::int32_t value) { return Set(value_.percent_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_IMAGE_TAIL_LATENCY_H_
