#ifndef QUETZALLINE_MESSAGES_RUN_REFUSED_H_
#define QUETZALLINE_MESSAGES_RUN_REFUSED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/reason.h"
#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// A run was refused and does not start.
class RunRefused {
 public:
  class Builder;

  static constexpr std::string_view kName = "run-refused";

  const RunKey& run() const { return run_; }
  Reason reason() const { return reason_; }

  friend auto operator<=>(const RunRefused&, const RunRefused&) = default;

 private:
  QUETZALLINE_VALUE(RunRefused, run_, reason_)

  RunKey run_;
  Reason reason_ = Reason{};
};

/// Builds a RunRefused; fields that are not set keep their defaults.
class RunRefused::Builder : public ValueBuilder<RunRefused, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_RUN_REFUSED_H_
