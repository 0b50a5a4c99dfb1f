#ifndef QUETZALLINE_MESSAGES_READ_WALL_CLOCK_H_
#define QUETZALLINE_MESSAGES_READ_WALL_CLOCK_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Requests the wall-clock time.
class ReadWallClock {
 public:
  class Builder;

  static constexpr std::string_view kName = "read-wall-clock";

  friend auto operator<=>(const ReadWallClock&, const ReadWallClock&) = default;

 private:
  QUETZALLINE_VALUE(ReadWallClock)
};

/// Builds a ReadWallClock; fields that are not set keep their defaults.
class ReadWallClock::Builder : public ValueBuilder<ReadWallClock, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_READ_WALL_CLOCK_H_
