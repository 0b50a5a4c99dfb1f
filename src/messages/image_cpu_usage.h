#ifndef QUETZALLINE_MESSAGES_IMAGE_CPU_USAGE_H_
#define QUETZALLINE_MESSAGES_IMAGE_CPU_USAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// CPU use of the best-effort tasks of one image.
class ImageCpuUsage {
 public:
  class Builder;

  static constexpr std::string_view kName = "image-cores";

  const std::string& image() const { return image_; }
  /// Thousandths of a core that the tasks request, scaled by their CPU rate
  /// limits.
  std::int64_t millicores() const { return millicores_; }

  friend auto operator<=>(const ImageCpuUsage&, const ImageCpuUsage&) = default;

 private:
  QUETZALLINE_VALUE(ImageCpuUsage, image_, millicores_)

  std::string image_;
  std::int64_t millicores_ = 0;
};

/// Builds an ImageCpuUsage; fields that are not set keep their defaults.
class ImageCpuUsage::Builder : public ValueBuilder<ImageCpuUsage, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& image(std::string value) {
    return Set(value_.image_, std::move(value));
  }
  Builder& millicores(std::int64_t value) {
    return Set(value_.millicores_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_IMAGE_CPU_USAGE_H_
