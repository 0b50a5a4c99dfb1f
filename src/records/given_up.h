#ifndef QUETZALLINE_RECORDS_GIVEN_UP_H_
#define QUETZALLINE_RECORDS_GIVEN_UP_H_

#include <compare>
#include <string_view>

#include "core/reason.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The task failed on the maximum number of workers and is not retried.
class GivenUp {
 public:
  class Builder;

  static constexpr std::string_view kName = "given-up";

  Instant at() const { return at_; }
  /// Reason of the last failure.
  Reason reason() const { return reason_; }

  friend auto operator<=>(const GivenUp&, const GivenUp&) = default;

 private:
  QUETZALLINE_VALUE(GivenUp, at_, reason_)

  Instant at_ = Instant{};
  Reason reason_ = Reason{};
};

/// Builds a GivenUp; fields that are not set keep their defaults.
class GivenUp::Builder : public ValueBuilder<GivenUp, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& at(Instant value) { return Set(value_.at_, value); }
  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_GIVEN_UP_H_
