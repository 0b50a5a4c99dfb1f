#ifndef QUETZALLINE_MESSAGES_DROP_PEER_H_
#define QUETZALLINE_MESSAGES_DROP_PEER_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Closes the connection to a member and stops reconnecting.
class DropPeer {
 public:
  class Builder;

  static constexpr std::string_view kName = "drop-peer";

  const MemberName& member() const { return member_; }

  friend auto operator<=>(const DropPeer&, const DropPeer&) = default;

 private:
  QUETZALLINE_VALUE(DropPeer, member_)

  MemberName member_;
};

/// Builds a DropPeer; fields that are not set keep their defaults.
class DropPeer::Builder : public ValueBuilder<DropPeer, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& member(MemberName value) {
    return Set(value_.member_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_DROP_PEER_H_
