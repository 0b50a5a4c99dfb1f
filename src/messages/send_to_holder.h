#ifndef QUETZALLINE_MESSAGES_SEND_TO_HOLDER_H_
#define QUETZALLINE_MESSAGES_SEND_TO_HOLDER_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/holder_message.h"

namespace quetzalline {

/// Sends a message to a holder.
class SendToHolder {
 public:
  class Builder;

  static constexpr std::string_view kName = "send-to-holder";

  /// Connection on which the message is sent.
  ConnectionId connection() const { return connection_; }
  const HolderMessage& message() const { return message_; }

  friend auto operator<=>(const SendToHolder&, const SendToHolder&) = default;

 private:
  QUETZALLINE_VALUE(SendToHolder, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  HolderMessage message_;
};

/// Builds a SendToHolder; fields that are not set keep their defaults.
class SendToHolder::Builder : public ValueBuilder<SendToHolder, Builder> {
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

#endif  // QUETZALLINE_MESSAGES_SEND_TO_HOLDER_H_
