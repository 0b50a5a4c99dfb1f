#ifndef QUETZALLINE_TABLES_IMAGE_PAIR_H_
#define QUETZALLINE_TABLES_IMAGE_PAIR_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// An image of a best-effort task next to an image of a long-running service.
class ImagePair {
 public:
  class Builder;

  static constexpr std::string_view kName = "image-pair";

  /// Image of the best-effort task.
  const std::string& filling() const { return filling_; }
  /// Image of the service with a tail target.
  const std::string& serving() const { return serving_; }

  friend auto operator<=>(const ImagePair&, const ImagePair&) = default;

 private:
  QUETZALLINE_VALUE(ImagePair, filling_, serving_)

  std::string filling_;
  std::string serving_;
};

/// Builds an ImagePair; fields that are not set keep their defaults.
class ImagePair::Builder : public ValueBuilder<ImagePair, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& filling(std::string value) {
    return Set(value_.filling_, std::move(value));
  }
  Builder& serving(std::string value) {
    return Set(value_.serving_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_IMAGE_PAIR_H_
