#ifndef QUETZALLINE_MESSAGES_LOG_FIELD_H_
#define QUETZALLINE_MESSAGES_LOG_FIELD_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// A named value in a log line.
class LogField {
 public:
  class Builder;

  static constexpr std::string_view kName = "log-field";

  const std::string& name() const { return name_; }
  const std::string& value() const { return value_; }

  friend auto operator<=>(const LogField&, const LogField&) = default;

 private:
  QUETZALLINE_VALUE(LogField, name_, value_)

  std::string name_;
  std::string value_;
};

/// Builds a LogField; fields that are not set keep their defaults.
class LogField::Builder : public ValueBuilder<LogField, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& name(std::string value) {
    return Set(value_.name_, std::move(value));
  }
  Builder& value(std::string value) {
    return Set(value_.value_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_LOG_FIELD_H_
