#ifndef QUETZALLINE_MESSAGES_RUNNER_MESSAGE_RECEIVED_H_
#define QUETZALLINE_MESSAGES_RUNNER_MESSAGE_RECEIVED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/runner_message.h"

namespace quetzalline {

/// A message from a holder was received by a runner.
class RunnerMessageReceived {
 public:
  class Builder;

  static constexpr std::string_view kName = "runner-message-received";

  /// Connection on which the message arrived.
  ConnectionId connection() const { return connection_; }
  const RunnerMessage& message() const { return message_; }

  friend auto operator<=>(const RunnerMessageReceived&,
                          const RunnerMessageReceived&) = default;

 private:
  QUETZALLINE_VALUE(RunnerMessageReceived, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  RunnerMessage message_;
};

/// Builds a RunnerMessageReceived; fields that are not set keep their defaults.
class RunnerMessageReceived::Builder
    : public ValueBuilder<RunnerMessageReceived, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& message(RunnerMessage value) {
    return Set(value_.message_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_RUNNER_MESSAGE_RECEIVED_H_
