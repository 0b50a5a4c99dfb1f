#ifndef QUETZALLINE_MESSAGES_STOP_REQUESTED_H_
#define QUETZALLINE_MESSAGES_STOP_REQUESTED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The platform requests a graceful shutdown of the process.
class StopRequested {
 public:
  class Builder;

  static constexpr std::string_view kName = "stop-requested";

  friend auto operator<=>(const StopRequested&, const StopRequested&) = default;

 private:
  QUETZALLINE_VALUE(StopRequested)
};

/// Builds a StopRequested; fields that are not set keep their defaults.
class StopRequested::Builder : public ValueBuilder<StopRequested, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STOP_REQUESTED_H_
