#ifndef QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_RECEIVED_H_
#define QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_RECEIVED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/gateway_message.h"

namespace quetzalline {

/// A message from a holder was received by an entry's gateway.
class GatewayMessageReceived {
 public:
  class Builder;

  static constexpr std::string_view kName = "gateway-message-received";

  /// Connection on which the message arrived.
  ConnectionId connection() const { return connection_; }
  const GatewayMessage& message() const { return message_; }

  friend auto operator<=>(const GatewayMessageReceived&,
                          const GatewayMessageReceived&) = default;

 private:
  QUETZALLINE_VALUE(GatewayMessageReceived, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  GatewayMessage message_;
};

/// Builds a GatewayMessageReceived; fields that are not set keep their
/// defaults.
class GatewayMessageReceived::Builder
    : public ValueBuilder<GatewayMessageReceived, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& message(GatewayMessage value) {
    return Set(value_.message_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_RECEIVED_H_
