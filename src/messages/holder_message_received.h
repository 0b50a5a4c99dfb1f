#ifndef QUETZALLINE_MESSAGES_HOLDER_MESSAGE_RECEIVED_H_
#define QUETZALLINE_MESSAGES_HOLDER_MESSAGE_RECEIVED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/holder_message.h"

namespace quetzalline {

/// A message for the holder was received.
class HolderMessageReceived {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-message-received";

  /// Connection on which the message arrived.
  ConnectionId connection() const { return connection_; }
  const HolderMessage& message() const { return message_; }

  friend auto operator<=>(const HolderMessageReceived&,
                          const HolderMessageReceived&) = default;

 private:
  QUETZALLINE_VALUE(HolderMessageReceived, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  HolderMessage message_;
};

/// Builds a HolderMessageReceived; fields that are not set keep their defaults.
class HolderMessageReceived::Builder
    : public ValueBuilder<HolderMessageReceived, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& message(HolderMessage value) {
    return Set(value_.message_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_HOLDER_MESSAGE_RECEIVED_H_
