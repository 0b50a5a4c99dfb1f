#ifndef QUETZALLINE_CORE_DONE_H_
#define QUETZALLINE_CORE_DONE_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/http_response.h"
#include "core/shared.h"
#include "core/value.h"

namespace quetzalline {

/// The attempt completed: the endpoint returned a complete response.
class Done {
 public:
  class Builder;

  static constexpr std::string_view kName = "done";

  const Shared<HttpResponse>& response() const { return response_; }

  friend auto operator<=>(const Done&, const Done&) = default;

 private:
  QUETZALLINE_VALUE(Done, response_)

  Shared<HttpResponse> response_;
};

/// Builds a Done; fields that are not set keep their defaults.
class Done::Builder : public ValueBuilder<Done, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& response(Shared<HttpResponse> value) {
    return Set(value_.response_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_DONE_H_
