#ifndef QUETZALLINE_MESSAGES_ENTRY_MESSAGE_RECEIVED_H_
#define QUETZALLINE_MESSAGES_ENTRY_MESSAGE_RECEIVED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/entry_message.h"

namespace quetzalline {

/// A message of an entry arrived.
class EntryMessageReceived {
 public:
  class Builder;

  static constexpr std::string_view kName = "entry-message-received";

  ConnectionId connection() const { return connection_; }
  const EntryMessage& message() const { return message_; }

  friend auto operator<=>(const EntryMessageReceived&,
                          const EntryMessageReceived&) = default;

 private:
  QUETZALLINE_VALUE(EntryMessageReceived, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  EntryMessage message_;
};

/// Builds one EntryMessageReceived; what is not set keeps its default.
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
