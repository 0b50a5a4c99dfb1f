#ifndef QUETZALLINE_CORE_ATTEMPT_ID_H_
#define QUETZALLINE_CORE_ATTEMPT_ID_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/request_id.h"
#include "core/value.h"

namespace quetzalline {

/// Identifies one attempt to serve a request.
class AttemptId {
 public:
  class Builder;

  static constexpr std::string_view kName = "attempt-id";

  const RequestId& request() const { return request_; }
  /// Number of the attempt within its request, from 1.
  std::int32_t number() const { return number_; }

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;

 private:
  QUETZALLINE_VALUE(AttemptId, request_, number_)

  RequestId request_;
  std::int32_t number_ = 0;
};

/// Builds an AttemptId; fields that are not set keep their defaults.
class AttemptId::Builder : public ValueBuilder<AttemptId, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& request(RequestId value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& number(std::int32_t value) { return Set(value_.number_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_ATTEMPT_ID_H_
