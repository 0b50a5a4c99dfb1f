#ifndef QUETZALLINE_MESSAGES_DRAIN_ENDPOINT_H_
#define QUETZALLINE_MESSAGES_DRAIN_ENDPOINT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Asks the agent to take no new work, or to take it again.
class DrainEndpoint {
 public:
  class Builder;

  static constexpr std::string_view kName = "drain-endpoint";

  bool undo() const { return undo_; }

  friend auto operator<=>(const DrainEndpoint&, const DrainEndpoint&) = default;

 private:
  QUETZALLINE_VALUE(DrainEndpoint, undo_)

  bool undo_ = false;
};

/// Builds one DrainEndpoint; what is not set keeps its default.
class DrainEndpoint::Builder : public ValueBuilder<DrainEndpoint, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& undo(bool value) { return Set(value_.undo_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_DRAIN_ENDPOINT_H_
