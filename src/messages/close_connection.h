#ifndef QUETZALLINE_MESSAGES_CLOSE_CONNECTION_H_
#define QUETZALLINE_MESSAGES_CLOSE_CONNECTION_H_

#include <compare>
#include <string_view>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Closes a connection to a peer process.
class CloseConnection {
 public:
  class Builder;

  static constexpr std::string_view kName = "close-connection";

  ConnectionId connection() const { return connection_; }

  friend auto operator<=>(const CloseConnection&,
                          const CloseConnection&) = default;

 private:
  QUETZALLINE_VALUE(CloseConnection, connection_)

  ConnectionId connection_ = ConnectionId{};
};

/// Builds a CloseConnection; fields that are not set keep their defaults.
class CloseConnection::Builder : public ValueBuilder<CloseConnection, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CLOSE_CONNECTION_H_
