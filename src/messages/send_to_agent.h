#ifndef QUETZALLINE_MESSAGES_SEND_TO_AGENT_H_
#define QUETZALLINE_MESSAGES_SEND_TO_AGENT_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/entry_message.h"

namespace quetzalline {

/// Sends a message to an agent.
class SendToAgent {
 public:
  class Builder;

  static constexpr std::string_view kName = "send-to-agent";

  /// Connection on which the message is sent.
  ConnectionId connection() const { return connection_; }
  const EntryMessage& message() const { return message_; }

  friend auto operator<=>(const SendToAgent&, const SendToAgent&) = default;

 private:
  QUETZALLINE_VALUE(SendToAgent, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  EntryMessage message_;
};

/// Builds a SendToAgent; fields that are not set keep their defaults.
class SendToAgent::Builder : public ValueBuilder<SendToAgent, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& message(EntryMessage value) {
    return Set(value_.message_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SEND_TO_AGENT_H_
