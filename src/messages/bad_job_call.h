#ifndef QUETZALLINE_MESSAGES_BAD_JOB_CALL_H_
#define QUETZALLINE_MESSAGES_BAD_JOB_CALL_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// The caller's request is malformed.
class BadJobCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "bad-job-call";

  /// Describes the fault in the request.
  const std::string& detail() const { return detail_; }

  friend auto operator<=>(const BadJobCall&, const BadJobCall&) = default;

 private:
  QUETZALLINE_VALUE(BadJobCall, detail_)

  std::string detail_;
};

/// Builds a BadJobCall; fields that are not set keep their defaults.
class BadJobCall::Builder : public ValueBuilder<BadJobCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& detail(std::string value) {
    return Set(value_.detail_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_BAD_JOB_CALL_H_
