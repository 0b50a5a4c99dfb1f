#ifndef QUETZALLINE_MESSAGES_SEND_TO_RUNNER_H_
#define QUETZALLINE_MESSAGES_SEND_TO_RUNNER_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/runner_message.h"

namespace quetzalline {

/// Sends a message to a runner.
class SendToRunner {
 public:
  class Builder;

  static constexpr std::string_view kName = "send-to-runner";

  /// Connection on which the message is sent.
  ConnectionId connection() const { return connection_; }
  const RunnerMessage& message() const { return message_; }

  friend auto operator<=>(const SendToRunner&, const SendToRunner&) = default;

 private:
  QUETZALLINE_VALUE(SendToRunner, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  RunnerMessage message_;
};

/// Builds a SendToRunner; fields that are not set keep their defaults.
class SendToRunner::Builder : public ValueBuilder<SendToRunner, Builder> {
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

#endif  // QUETZALLINE_MESSAGES_SEND_TO_RUNNER_H_
