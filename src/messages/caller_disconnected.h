#ifndef QUETZALLINE_MESSAGES_CALLER_DISCONNECTED_H_
#define QUETZALLINE_MESSAGES_CALLER_DISCONNECTED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/request_id.h"
#include "core/value.h"

namespace quetzalline {

/// The caller closed its connection before its request was answered.
class CallerDisconnected {
 public:
  class Builder;

  static constexpr std::string_view kName = "caller-gone";

  const RequestId& id() const { return id_; }

  friend auto operator<=>(const CallerDisconnected&,
                          const CallerDisconnected&) = default;

 private:
  QUETZALLINE_VALUE(CallerDisconnected, id_)

  RequestId id_;
};

/// Builds a CallerDisconnected; fields that are not set keep their defaults.
class CallerDisconnected::Builder
    : public ValueBuilder<CallerDisconnected, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(RequestId value) { return Set(value_.id_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CALLER_DISCONNECTED_H_
