#ifndef QUETZALLINE_MESSAGES_ANSWER_OPERATOR_H_
#define QUETZALLINE_MESSAGES_ANSWER_OPERATOR_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "messages/command_result.h"

namespace quetzalline {

/// Completes an operator's command.
class AnswerOperator {
 public:
  class Builder;

  static constexpr std::string_view kName = "answer-operator";

  /// Id of the OperatorCommand.
  std::uint64_t id() const { return id_; }
  const CommandResult& result() const { return result_; }

  friend auto operator<=>(const AnswerOperator&,
                          const AnswerOperator&) = default;

 private:
  QUETZALLINE_VALUE(AnswerOperator, id_, result_)

  std::uint64_t id_ = 0;
  CommandResult result_;
};

/// Builds an AnswerOperator; fields that are not set keep their defaults.
class AnswerOperator::Builder : public ValueBuilder<AnswerOperator, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(std::uint64_t value) { return Set(value_.id_, value); }
  Builder& result(CommandResult value) {
    return Set(value_.result_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ANSWER_OPERATOR_H_
