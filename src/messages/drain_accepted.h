#ifndef QUETZALLINE_MESSAGES_DRAIN_ACCEPTED_H_
#define QUETZALLINE_MESSAGES_DRAIN_ACCEPTED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The drain command was sent to the endpoint's agent.
class DrainAccepted {
 public:
  class Builder;

  static constexpr std::string_view kName = "drain-accepted";

  const EndpointId& endpoint() const { return endpoint_; }

  friend auto operator<=>(const DrainAccepted&, const DrainAccepted&) = default;

 private:
  QUETZALLINE_VALUE(DrainAccepted, endpoint_)

  EndpointId endpoint_;
};

/// Builds a DrainAccepted; fields that are not set keep their defaults.
class DrainAccepted::Builder : public ValueBuilder<DrainAccepted, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_DRAIN_ACCEPTED_H_
