#ifndef QUETZALLINE_MESSAGES_WALL_CLOCK_READ_H_
#define QUETZALLINE_MESSAGES_WALL_CLOCK_READ_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Returns the wall-clock time. It is used only for due times and for the age
/// of stored records.
class WallClockRead {
 public:
  class Builder;

  static constexpr std::string_view kName = "wall-clock-read";

  /// Unix milliseconds.
  std::int64_t unix_ms() const { return unix_ms_; }

  friend auto operator<=>(const WallClockRead&, const WallClockRead&) = default;

 private:
  QUETZALLINE_VALUE(WallClockRead, unix_ms_)

  std::int64_t unix_ms_ = 0;
};

/// Builds a WallClockRead; fields that are not set keep their defaults.
class WallClockRead::Builder : public ValueBuilder<WallClockRead, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& unix_ms(std::int64_t value) { return Set(value_.unix_ms_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WALL_CLOCK_READ_H_
