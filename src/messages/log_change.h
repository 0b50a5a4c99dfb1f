#ifndef QUETZALLINE_MESSAGES_LOG_CHANGE_H_
#define QUETZALLINE_MESSAGES_LOG_CHANGE_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/reason.h"
#include "core/value.h"

namespace quetzalline {

/// Logs a state change.
class LogChange {
 public:
  class Builder;

  static constexpr std::string_view kName = "log-change";

  const std::string& event() const { return event_; }
  const std::string& subject() const { return subject_; }
  Reason reason() const { return reason_; }

  friend auto operator<=>(const LogChange&, const LogChange&) = default;

 private:
  QUETZALLINE_VALUE(LogChange, event_, subject_, reason_)

  std::string event_;
  std::string subject_;
  Reason reason_ = Reason{};
};

/// Builds a LogChange; fields that are not set keep their defaults.
class LogChange::Builder : public ValueBuilder<LogChange, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& event(std::string value) {
    return Set(value_.event_, std::move(value));
  }
  Builder& subject(std::string value) {
    return Set(value_.subject_, std::move(value));
  }
  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_LOG_CHANGE_H_
