#ifndef QUETZALLINE_MESSAGES_CONNECTION_CLOSED_H_
#define QUETZALLINE_MESSAGES_CONNECTION_CLOSED_H_

#include <compare>
#include <string_view>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// A connection to a peer process was closed or lost.
class ConnectionClosed {
 public:
  class Builder;

  static constexpr std::string_view kName = "connection-closed";

  ConnectionId connection() const { return connection_; }

  friend auto operator<=>(const ConnectionClosed&,
                          const ConnectionClosed&) = default;

 private:
  QUETZALLINE_VALUE(ConnectionClosed, connection_)

  ConnectionId connection_ = ConnectionId{};
};

/// Builds a ConnectionClosed; fields that are not set keep their defaults.
class ConnectionClosed::Builder
    : public ValueBuilder<ConnectionClosed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CONNECTION_CLOSED_H_
