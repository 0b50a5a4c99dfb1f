#ifndef QUETZALLINE_MESSAGES_SUBMIT_CALL_H_
#define QUETZALLINE_MESSAGES_SUBMIT_CALL_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/job_definition.h"
#include "core/shared.h"
#include "core/value.h"

namespace quetzalline {

/// A caller submits a job.
class SubmitCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "submit-call";

  /// Empty if the body of the request is malformed.
  const std::optional<Shared<JobDefinition>>& definition() const {
    return definition_;
  }
  /// Describes the fault in the body; empty if there is none.
  const std::string& detail() const { return detail_; }

  friend auto operator<=>(const SubmitCall&, const SubmitCall&) = default;

 private:
  QUETZALLINE_VALUE(SubmitCall, definition_, detail_)

  std::optional<Shared<JobDefinition>> definition_;
  std::string detail_;
};

/// Builds a SubmitCall; fields that are not set keep their defaults.
class SubmitCall::Builder : public ValueBuilder<SubmitCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& definition(std::optional<Shared<JobDefinition>> value) {
    return Set(value_.definition_, std::move(value));
  }
  Builder& detail(std::string value) {
    return Set(value_.detail_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SUBMIT_CALL_H_
