#ifndef QUETZALLINE_CORE_UNKNOWN_H_
#define QUETZALLINE_CORE_UNKNOWN_H_

#include <compare>
#include <string_view>

#include "core/reason.h"
#include "core/value.h"

namespace quetzalline {

/// The outcome is indeterminate: the request may have run or not.
class Unknown {
 public:
  class Builder;

  static constexpr std::string_view kName = "unknown";

  Reason reason() const { return reason_; }

  friend auto operator<=>(const Unknown&, const Unknown&) = default;

 private:
  QUETZALLINE_VALUE(Unknown, reason_)

  Reason reason_ = Reason{};
};

/// Builds an Unknown; fields that are not set keep their defaults.
class Unknown::Builder : public ValueBuilder<Unknown, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_UNKNOWN_H_
