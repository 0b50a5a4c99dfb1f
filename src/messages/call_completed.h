#ifndef QUETZALLINE_MESSAGES_CALL_COMPLETED_H_
#define QUETZALLINE_MESSAGES_CALL_COMPLETED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/http_response.h"
#include "core/shared.h"
#include "core/value.h"

namespace quetzalline {

/// The endpoint returned a complete response.
class CallCompleted {
 public:
  class Builder;

  static constexpr std::string_view kName = "call-completed";

  const Shared<HttpResponse>& response() const { return response_; }

  friend auto operator<=>(const CallCompleted&, const CallCompleted&) = default;

 private:
  QUETZALLINE_VALUE(CallCompleted, response_)

  Shared<HttpResponse> response_;
};

/// Builds a CallCompleted; fields that are not set keep their defaults.
class CallCompleted::Builder : public ValueBuilder<CallCompleted, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& response(Shared<HttpResponse> value) {
    return Set(value_.response_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CALL_COMPLETED_H_
