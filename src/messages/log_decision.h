#ifndef QUETZALLINE_MESSAGES_LOG_DECISION_H_
#define QUETZALLINE_MESSAGES_LOG_DECISION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/log_field.h"

namespace quetzalline {

/// Logs a decision or a changed assumption together with the values that led to
/// it.
class LogDecision {
 public:
  class Builder;

  static constexpr std::string_view kName = "log-decision";

  const std::string& event() const { return event_; }
  /// Id of the job concerned; 0 if there is none.
  std::uint64_t job() const { return job_; }
  const std::vector<LogField>& fields() const { return fields_; }

  friend auto operator<=>(const LogDecision&, const LogDecision&) = default;

 private:
  QUETZALLINE_VALUE(LogDecision, event_, job_, fields_)

  std::string event_;
  std::uint64_t job_ = 0;
  std::vector<LogField> fields_;
};

/// Builds a LogDecision; fields that are not set keep their defaults.
class LogDecision::Builder : public ValueBuilder<LogDecision, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& event(std::string value) {
    return Set(value_.event_, std::move(value));
  }
  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
  Builder& fields(std::vector<LogField> value) {
    return Set(value_.fields_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_LOG_DECISION_H_
