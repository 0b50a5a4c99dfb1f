#ifndef QUETZALLINE_MESSAGES_SEND_TO_GATEWAY_H_
#define QUETZALLINE_MESSAGES_SEND_TO_GATEWAY_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/gateway_message.h"

namespace quetzalline {

/// Sends a message to an entry's gateway.
class SendToGateway {
 public:
  class Builder;

  static constexpr std::string_view kName = "send-to-gateway";

  /// Connection on which the message is sent.
  ConnectionId connection() const { return connection_; }
  const GatewayMessage& message() const { return message_; }

  friend auto operator<=>(const SendToGateway&, const SendToGateway&) = default;

 private:
  QUETZALLINE_VALUE(SendToGateway, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  GatewayMessage message_;
};

/// Builds a SendToGateway; fields that are not set keep their defaults.
class SendToGateway::Builder : public ValueBuilder<SendToGateway, Builder> {
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

#endif  // QUETZALLINE_MESSAGES_SEND_TO_GATEWAY_H_
