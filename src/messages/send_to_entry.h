#ifndef QUETZALLINE_MESSAGES_SEND_TO_ENTRY_H_
#define QUETZALLINE_MESSAGES_SEND_TO_ENTRY_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/agent_message.h"

namespace quetzalline {

/// Sends a message to an entry.
class SendToEntry {
 public:
  class Builder;

  static constexpr std::string_view kName = "send-to-entry";

  /// Connection on which the message is sent.
  ConnectionId connection() const { return connection_; }
  const AgentMessage& message() const { return message_; }

  friend auto operator<=>(const SendToEntry&, const SendToEntry&) = default;

 private:
  QUETZALLINE_VALUE(SendToEntry, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  AgentMessage message_;
};

/// Builds a SendToEntry; fields that are not set keep their defaults.
class SendToEntry::Builder : public ValueBuilder<SendToEntry, Builder> {
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

#endif  // QUETZALLINE_MESSAGES_SEND_TO_ENTRY_H_
