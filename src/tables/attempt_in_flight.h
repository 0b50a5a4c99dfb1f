#ifndef QUETZALLINE_TABLES_ATTEMPT_IN_FLIGHT_H_
#define QUETZALLINE_TABLES_ATTEMPT_IN_FLIGHT_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// One attempt is in flight.
class AttemptInFlight {
 public:
  class Builder;

  static constexpr std::string_view kName = "trying";

  /// Number of that attempt.
  std::int32_t attempt() const { return attempt_; }

  friend auto operator<=>(const AttemptInFlight&,
                          const AttemptInFlight&) = default;

 private:
  QUETZALLINE_VALUE(AttemptInFlight, attempt_)

  std::int32_t attempt_ = 0;
};

/// Builds an AttemptInFlight; fields that are not set keep their defaults.
class AttemptInFlight::Builder : public ValueBuilder<AttemptInFlight, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(std::int32_t value) { return Set(value_.attempt_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ATTEMPT_IN_FLIGHT_H_
