#ifndef QUETZALLINE_MESSAGES_INVALID_JOB_CALL_H_
#define QUETZALLINE_MESSAGES_INVALID_JOB_CALL_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// The caller's request is malformed.
class InvalidJobCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "bad-job-call";

  /// Describes the fault in the request.
  const std::string& detail() const { return detail_; }

  friend auto operator<=>(const InvalidJobCall&,
                          const InvalidJobCall&) = default;

 private:
  QUETZALLINE_VALUE(InvalidJobCall, detail_)

  std::string detail_;
};

/// Builds an InvalidJobCall; fields that are not set keep their defaults.
class InvalidJobCall::Builder : public ValueBuilder<InvalidJobCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& detail(std::string value) {
    return Set(value_.detail_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_INVALID_JOB_CALL_H_
