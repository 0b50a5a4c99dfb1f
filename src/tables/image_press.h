#ifndef QUETZALLINE_TABLES_IMAGE_PRESS_H_
#define QUETZALLINE_TABLES_IMAGE_PRESS_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// How much tasks of an image that fills raise the tail of one that serves.
class ImagePress {
 public:
  class Builder;

  static constexpr std::string_view kName = "image-press";

  /// Percent of the target for each core at full pace.
  double percent_per_core() const { return percent_per_core_; }
  std::int32_t samples() const { return samples_; }

  friend auto operator<=>(const ImagePress&, const ImagePress&) = default;

 private:
  QUETZALLINE_VALUE(ImagePress, percent_per_core_, samples_)

  double percent_per_core_ = 0.0;
  std::int32_t samples_ = 0;
};

/// Builds one ImagePress; what is not set keeps its default.
class ImagePress::Builder : public ValueBuilder<ImagePress, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& percent_per_core(double value) {
    return Set(value_.percent_per_core_, value);
  }
  Builder& samples(std::int32_t value) { return Set(value_.samples_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_IMAGE_PRESS_H_
