#ifndef QUETZALLINE_MESSAGES_DRAIN_ENDPOINT_H_
#define QUETZALLINE_MESSAGES_DRAIN_ENDPOINT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Tells the agent to accept no new work, or to accept it again.
class DrainEndpoint {
 public:
  class Builder;

  static constexpr std::string_view kName = "drain-endpoint";

  /// True to accept new work again.
  bool undo() const { return undo_; }

  friend auto operator<=>(const DrainEndpoint&, const DrainEndpoint&) = default;

 private:
  QUETZALLINE_VALUE(DrainEndpoint, undo_)

  bool undo_ = false;
};

/// Builds a DrainEndpoint; fields that are not set keep their defaults.
class DrainEndpoint::Builder : public ValueBuilder<DrainEndpoint, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& undo(bool value) { return Set(value_.undo_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_DRAIN_ENDPOINT_H_
