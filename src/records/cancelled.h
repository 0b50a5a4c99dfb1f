#ifndef QUETZALLINE_RECORDS_CANCELLED_H_
#define QUETZALLINE_RECORDS_CANCELLED_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// An operator cancelled the task.
class Cancelled {
 public:
  class Builder;

  static constexpr std::string_view kName = "cancelled";

  Instant at() const { return at_; }
  /// Whether an attempt had been started.
  bool ran() const { return ran_; }

  friend auto operator<=>(const Cancelled&, const Cancelled&) = default;

 private:
  QUETZALLINE_VALUE(Cancelled, at_, ran_)

  Instant at_ = Instant{};
  bool ran_ = false;
};

/// Builds one Cancelled; what is not set keeps its default.
class Cancelled::Builder : public ValueBuilder<Cancelled, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& at(Instant value) { return Set(value_.at_, value); }
  Builder& ran(bool value) { return Set(value_.ran_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_CANCELLED_H_
