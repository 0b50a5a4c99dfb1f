#ifndef QUETZALLINE_MESSAGES_ACKNOWLEDGE_CRASH_H_
#define QUETZALLINE_MESSAGES_ACKNOWLEDGE_CRASH_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Acknowledges a crash of a worker: what follows from it is stored, and the
/// runner may forget it.
class AcknowledgeCrash {
 public:
  class Builder;

  static constexpr std::string_view kName = "acknowledge-crash";

  /// Start time of the lost incarnation in Unix milliseconds.
  std::int64_t born_ms() const { return born_ms_; }

  friend auto operator<=>(const AcknowledgeCrash&,
                          const AcknowledgeCrash&) = default;

 private:
  QUETZALLINE_VALUE(AcknowledgeCrash, born_ms_)

  std::int64_t born_ms_ = 0;
};

/// Builds a AcknowledgeCrash; fields that are not set keep their defaults.
class AcknowledgeCrash::Builder
    : public ValueBuilder<AcknowledgeCrash, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ACKNOWLEDGE_CRASH_H_
