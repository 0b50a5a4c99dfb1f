#ifndef QUETZALLINE_TABLES_GANG_INCOMPLETE_H_
#define QUETZALLINE_TABLES_GANG_INCOMPLETE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/step_key.h"
#include "core/value.h"

namespace quetzalline {

/// Earlier runs of some of a gang's tasks have not ended, so that the gang
/// cannot start.
class GangIncomplete {
 public:
  class Builder;

  static constexpr std::string_view kName = "gang-incomplete";

  const StepKey& step() const { return step_; }
  /// Number of its tasks that are ready.
  std::int32_t ready() const { return ready_; }
  /// Number of its tasks that are not.
  std::int32_t missing() const { return missing_; }

  friend auto operator<=>(const GangIncomplete&,
                          const GangIncomplete&) = default;

 private:
  QUETZALLINE_VALUE(GangIncomplete, step_, ready_, missing_)

  StepKey step_;
  std::int32_t ready_ = 0;
  std::int32_t missing_ = 0;
};

/// Builds a GangIncomplete; fields that are not set keep their defaults.
class GangIncomplete::Builder : public ValueBuilder<GangIncomplete, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& step(const StepKey& value) { return Set(value_.step_, value); }
  Builder& ready(std::int32_t value) { return Set(value_.ready_, value); }
  Builder& missing(std::int32_t value) { return Set(value_.missing_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_GANG_INCOMPLETE_H_
