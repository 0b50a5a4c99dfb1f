#ifndef QUETZALLINE_RECORDS_CANCELLED_H_
#define QUETZALLINE_RECORDS_CANCELLED_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The task was cancelled by an operator.
class Cancelled {
 public:
  class Builder;

  static constexpr std::string_view kName = "cancelled";

  Instant at() const { return at_; }
  /// True if an attempt had been started.
  bool ran() const { return ran_; }

  friend auto operator<=>(const Cancelled&, const Cancelled&) = default;

 private:
  QUETZALLINE_VALUE(Cancelled, at_, ran_)

  Instant at_ = Instant{};
  bool ran_ = false;
};

/// Builds a Cancelled; fields that are not set keep their defaults.
class Cancelled::Builder : public ValueBuilder<Cancelled, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& at(Instant value) { return Set(value_.at_, value); }
  Builder& ran(bool value) { return Set(value_.ran_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_CANCELLED_H_
