#ifndef QUETZALLINE_RECORDS_GIVEN_UP_H_
#define QUETZALLINE_RECORDS_GIVEN_UP_H_

#include <compare>
#include <string_view>

#include "core/reason.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The task will not be tried again.
class GivenUp {
 public:
  class Builder;

  static constexpr std::string_view kName = "given-up";

  Instant at() const { return at_; }
  Reason reason() const { return reason_; }

  friend auto operator<=>(const GivenUp&, const GivenUp&) = default;

 private:
  QUETZALLINE_VALUE(GivenUp, at_, reason_)

  Instant at_ = Instant{};
  Reason reason_ = Reason{};
};

/// Builds one GivenUp; what is not set keeps its default.
class GivenUp::Builder : public ValueBuilder<GivenUp, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& at(Instant value) { return Set(value_.at_, value); }
  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_GIVEN_UP_H_
