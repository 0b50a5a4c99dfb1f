#ifndef QUETZALLINE_TABLES_TAIL_KEY_H_
#define QUETZALLINE_TABLES_TAIL_KEY_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// A service image on a worker.
class TailKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "tail-key";

  const MemberName& worker() const { return worker_; }
  const std::string& image() const { return image_; }

  friend auto operator<=>(const TailKey&, const TailKey&) = default;

 private:
  QUETZALLINE_VALUE(TailKey, worker_, image_)

  MemberName worker_;
  std::string image_;
};

/// Builds a TailKey; fields that are not set keep their defaults.
class TailKey::Builder : public ValueBuilder<TailKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& worker(MemberName value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& image(std::string value) {
    return Set(value_.image_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TAIL_KEY_H_
