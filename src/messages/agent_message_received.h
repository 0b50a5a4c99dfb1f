#ifndef QUETZALLINE_MESSAGES_AGENT_MESSAGE_RECEIVED_H_
#define QUETZALLINE_MESSAGES_AGENT_MESSAGE_RECEIVED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/agent_message.h"

namespace quetzalline {

/// A message from an agent was received.
class AgentMessageReceived {
 public:
  class Builder;

  static constexpr std::string_view kName = "agent-message-received";

  /// Connection on which the message arrived.
  ConnectionId connection() const { return connection_; }
  const AgentMessage& message() const { return message_; }

  friend auto operator<=>(const AgentMessageReceived&,
                          const AgentMessageReceived&) = default;

 private:
  QUETZALLINE_VALUE(AgentMessageReceived, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  AgentMessage message_;
};

/// Builds an AgentMessageReceived; fields that are not set keep their defaults.
class AgentMessageReceived::Builder
    : public ValueBuilder<AgentMessageReceived, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& message(AgentMessage value) {
    return Set(value_.message_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_AGENT_MESSAGE_RECEIVED_H_
