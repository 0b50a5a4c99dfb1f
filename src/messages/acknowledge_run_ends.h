#ifndef QUETZALLINE_MESSAGES_ACKNOWLEDGE_RUN_ENDS_H_
#define QUETZALLINE_MESSAGES_ACKNOWLEDGE_RUN_ENDS_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Acknowledges completions: their results are stored, and the worker may
/// discard them.
class AcknowledgeRunEnds {
 public:
  class Builder;

  static constexpr std::string_view kName = "note-ends";

  /// Incarnation of the worker that listed the completions: its start time in
  /// Unix milliseconds.
  std::int64_t born_ms() const { return born_ms_; }
  /// Highest acknowledged completion number; all lower ones are acknowledged
  /// too.
  std::int64_t up_to() const { return up_to_; }

  friend auto operator<=>(const AcknowledgeRunEnds&,
                          const AcknowledgeRunEnds&) = default;

 private:
  QUETZALLINE_VALUE(AcknowledgeRunEnds, born_ms_, up_to_)

  std::int64_t born_ms_ = 0;
  std::int64_t up_to_ = 0;
};

/// Builds an AcknowledgeRunEnds; fields that are not set keep their defaults.
class AcknowledgeRunEnds::Builder
    : public ValueBuilder<AcknowledgeRunEnds, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& up_to(std::int64_t value) { return Set(value_.up_to_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ACKNOWLEDGE_RUN_ENDS_H_
