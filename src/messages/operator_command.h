#ifndef QUETZALLINE_MESSAGES_OPERATOR_COMMAND_H_
#define QUETZALLINE_MESSAGES_OPERATOR_COMMAND_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "messages/command.h"

namespace quetzalline {

/// An operator's command was received.
class OperatorCommand {
 public:
  class Builder;

  static constexpr std::string_view kName = "operator-command";

  /// Identifies the command; the AnswerOperator repeats it.
  std::uint64_t id() const { return id_; }
  const Command& command() const { return command_; }

  friend auto operator<=>(const OperatorCommand&,
                          const OperatorCommand&) = default;

 private:
  QUETZALLINE_VALUE(OperatorCommand, id_, command_)

  std::uint64_t id_ = 0;
  Command command_;
};

/// Builds an OperatorCommand; fields that are not set keep their defaults.
class OperatorCommand::Builder : public ValueBuilder<OperatorCommand, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(std::uint64_t value) { return Set(value_.id_, value); }
  Builder& command(Command value) {
    return Set(value_.command_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_OPERATOR_COMMAND_H_
