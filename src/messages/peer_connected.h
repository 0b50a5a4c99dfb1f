#ifndef QUETZALLINE_MESSAGES_PEER_CONNECTED_H_
#define QUETZALLINE_MESSAGES_PEER_CONNECTED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// A connection that the holder requested with DialPeer was established.
class PeerConnected {
 public:
  class Builder;

  static constexpr std::string_view kName = "peer-connected";

  ConnectionId connection() const { return connection_; }
  const MemberName& member() const { return member_; }

  friend auto operator<=>(const PeerConnected&, const PeerConnected&) = default;

 private:
  QUETZALLINE_VALUE(PeerConnected, connection_, member_)

  ConnectionId connection_ = ConnectionId{};
  MemberName member_;
};

/// Builds a PeerConnected; fields that are not set keep their defaults.
class PeerConnected::Builder : public ValueBuilder<PeerConnected, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& member(MemberName value) {
    return Set(value_.member_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_PEER_CONNECTED_H_
