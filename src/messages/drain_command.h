#ifndef QUETZALLINE_MESSAGES_DRAIN_COMMAND_H_
#define QUETZALLINE_MESSAGES_DRAIN_COMMAND_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Drains an endpoint or returns it to service.
class DrainCommand {
 public:
  class Builder;

  static constexpr std::string_view kName = "drain-command";

  const EndpointId& endpoint() const { return endpoint_; }
  /// True to return the endpoint to service.
  bool undo() const { return undo_; }

  friend auto operator<=>(const DrainCommand&, const DrainCommand&) = default;

 private:
  QUETZALLINE_VALUE(DrainCommand, endpoint_, undo_)

  EndpointId endpoint_;
  bool undo_ = false;
};

/// Builds a DrainCommand; fields that are not set keep their defaults.
class DrainCommand::Builder : public ValueBuilder<DrainCommand, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& undo(bool value) { return Set(value_.undo_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_DRAIN_COMMAND_H_
