#ifndef QUETZALLINE_TABLES_IMAGE_INTERFERENCE_H_
#define QUETZALLINE_TABLES_IMAGE_INTERFERENCE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Estimated interference of a best-effort image with a service image.
class ImageInterference {
 public:
  class Builder;

  static constexpr std::string_view kName = "image-press";

  /// Increase of the tail latency for each core of best-effort work at full
  /// speed, in percent of the target.
  double percent_per_core() const { return percent_per_core_; }
  /// Number of samples that the estimate is based on.
  std::int32_t samples() const { return samples_; }

  friend auto operator<=>(const ImageInterference&,
                          const ImageInterference&) = default;

 private:
  QUETZALLINE_VALUE(ImageInterference, percent_per_core_, samples_)

  double percent_per_core_ = 0.0;
  std::int32_t samples_ = 0;
};

/// Builds an ImageInterference; fields that are not set keep their defaults.
class ImageInterference::Builder
    : public ValueBuilder<ImageInterference, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& percent_per_core(double value) {
    return Set(value_.percent_per_core_, value);
  }
  Builder& samples(std::int32_t value) { return Set(value_.samples_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_IMAGE_INTERFERENCE_H_
