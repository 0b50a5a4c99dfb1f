#ifndef QUETZALLINE_MESSAGES_CONNECTION_OPENED_H_
#define QUETZALLINE_MESSAGES_CONNECTION_OPENED_H_

#include <compare>
#include <string_view>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// A connection to a peer process was established.
class ConnectionOpened {
 public:
  class Builder;

  static constexpr std::string_view kName = "connection-opened";

  ConnectionId connection() const { return connection_; }

  friend auto operator<=>(const ConnectionOpened&,
                          const ConnectionOpened&) = default;

 private:
  QUETZALLINE_VALUE(ConnectionOpened, connection_)

  ConnectionId connection_ = ConnectionId{};
};

/// Builds a ConnectionOpened; fields that are not set keep their defaults.
class ConnectionOpened::Builder
    : public ValueBuilder<ConnectionOpened, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CONNECTION_OPENED_H_
