#ifndef QUETZALLINE_TABLES_STEP_ROW_H_
#define QUETZALLINE_TABLES_STEP_ROW_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A step of a job that has not ended.
class StepRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "step-row";

  /// Number of tasks that are not done.
  std::int32_t left() const { return left_; }

  friend auto operator<=>(const StepRow&, const StepRow&) = default;

 private:
  QUETZALLINE_VALUE(StepRow, left_)

  std::int32_t left_ = 0;
};

/// Builds a StepRow; fields that are not set keep their defaults.
class StepRow::Builder : public ValueBuilder<StepRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& left(std::int32_t value) { return Set(value_.left_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_STEP_ROW_H_
