#ifndef QUETZALLINE_CORE_NOT_RUN_H_
#define QUETZALLINE_CORE_NOT_RUN_H_

#include <compare>
#include <string_view>

#include "core/reason.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The request provably did not run and will not run.
class NotRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "not-run";

  Reason reason() const { return reason_; }
  /// Minimum delay before a retry; zero if none is known.
  Duration retry_after() const { return retry_after_; }

  friend auto operator<=>(const NotRun&, const NotRun&) = default;

 private:
  QUETZALLINE_VALUE(NotRun, reason_, retry_after_)

  Reason reason_ = Reason{};
  Duration retry_after_ = Duration{};
};

/// Builds a NotRun; fields that are not set keep their defaults.
class NotRun::Builder : public ValueBuilder<NotRun, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& reason(Reason value) { return Set(value_.reason_, value); }
  Builder& retry_after(Duration value) {
    return Set(value_.retry_after_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_NOT_RUN_H_
