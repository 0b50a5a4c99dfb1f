#ifndef QUETZALLINE_MESSAGES_COMMAND_REFUSED_H_
#define QUETZALLINE_MESSAGES_COMMAND_REFUSED_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/reason.h"
#include "core/value.h"

namespace quetzalline {

/// The command was refused and changed nothing.
class CommandRefused {
 public:
  class Builder;

  static constexpr std::string_view kName = "command-refused";

  Reason reason() const { return reason_; }
  /// Describes the fault in the command; may be empty.
  const std::string& detail() const { return detail_; }

  friend auto operator<=>(const CommandRefused&,
                          const CommandRefused&) = default;

 private:
  QUETZALLINE_VALUE(CommandRefused, reason_, detail_)

  Reason reason_ = Reason{};
  std::string detail_;
};

/// Builds a CommandRefused; fields that are not set keep their defaults.
class CommandRefused::Builder : public ValueBuilder<CommandRefused, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& reason(Reason value) { return Set(value_.reason_, value); }
  Builder& detail(std::string value) {
    return Set(value_.detail_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_COMMAND_REFUSED_H_
