#ifndef QUETZALLINE_MESSAGES_DIAL_PEER_H_
#define QUETZALLINE_MESSAGES_DIAL_PEER_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Connects to a member of the cell and reconnects whenever the connection is
/// lost.
class DialPeer {
 public:
  class Builder;

  static constexpr std::string_view kName = "dial-peer";

  const MemberName& member() const { return member_; }
  const std::string& address() const { return address_; }

  friend auto operator<=>(const DialPeer&, const DialPeer&) = default;

 private:
  QUETZALLINE_VALUE(DialPeer, member_, address_)

  MemberName member_;
  std::string address_;
};

/// Builds a DialPeer; fields that are not set keep their defaults.
class DialPeer::Builder : public ValueBuilder<DialPeer, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& member(MemberName value) {
    return Set(value_.member_, std::move(value));
  }
  Builder& address(std::string value) {
    return Set(value_.address_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_DIAL_PEER_H_
