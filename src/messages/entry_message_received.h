#ifndef QUETZALLINE_MESSAGES_ENTRY_MESSAGE_RECEIVED_H_
#define QUETZALLINE_MESSAGES_ENTRY_MESSAGE_RECEIVED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/entry_message.h"

namespace quetzalline {

/// A message from an entry was received.
class EntryMessageReceived {
 public:
  class Builder;

  static constexpr std::string_view kName = "entry-message-received";

  /// Connection on which the message arrived.
  ConnectionId connection() const { return connection_; }
  const EntryMessage& message() const { return message_; }

  friend auto operator<=>(const EntryMessageReceived&,
                          const EntryMessageReceived&) = default;

 private:
  QUETZALLINE_VALUE(EntryMessageReceived, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  EntryMessage message_;
};

/// Builds an EntryMessageReceived; fields that are not set keep their defaults.
class EntryMessageReceived::Builder
    : public ValueBuilder<EntryMessageReceived, Builder> {
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

#endif  // QUETZALLINE_MESSAGES_ENTRY_MESSAGE_RECEIVED_H_
