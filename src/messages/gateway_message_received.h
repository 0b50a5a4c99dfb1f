#ifndef QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_RECEIVED_H_
#define QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_RECEIVED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"
#include "messages/gateway_message.h"

namespace quetzalline {

/// A message of a holder arrived at an entry's gateway.
class GatewayMessageReceived {
 public:
  class Builder;

  static constexpr std::string_view kName = "gateway-message-received";

  ConnectionId connection() const { return connection_; }
  const GatewayMessage& message() const { return message_; }

  friend auto operator<=>(const GatewayMessageReceived&,
                          const GatewayMessageReceived&) = default;

 private:
  QUETZALLINE_VALUE(GatewayMessageReceived, connection_, message_)

  ConnectionId connection_ = ConnectionId{};
  GatewayMessage message_;
};

/// Builds one GatewayMessageReceived; what is not set keeps its default.
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
