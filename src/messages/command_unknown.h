#ifndef QUETZALLINE_MESSAGES_COMMAND_UNKNOWN_H_
#define QUETZALLINE_MESSAGES_COMMAND_UNKNOWN_H_

#include <compare>
#include <string_view>

#include "core/reason.h"
#include "core/value.h"

namespace quetzalline {

/// The outcome of the command is unknown: the change may have taken effect.
/// Repeating the command with the same identity is safe.
class CommandUnknown {
 public:
  class Builder;

  static constexpr std::string_view kName = "command-unknown";

  Reason reason() const { return reason_; }

  friend auto operator<=>(const CommandUnknown&,
                          const CommandUnknown&) = default;

 private:
  QUETZALLINE_VALUE(CommandUnknown, reason_)

  Reason reason_ = Reason{};
};

/// Builds a CommandUnknown; fields that are not set keep their defaults.
class CommandUnknown::Builder : public ValueBuilder<CommandUnknown, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_COMMAND_UNKNOWN_H_
