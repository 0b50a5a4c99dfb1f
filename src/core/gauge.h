#ifndef QUETZALLINE_CORE_GAUGE_H_
#define QUETZALLINE_CORE_GAUGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// A current value of a process, as opposed to a count of events.
class Gauge {
 public:
  class Builder;

  static constexpr std::string_view kName = "gauge";

  /// Metric name without the prefix of the project.
  const std::string& name() const { return name_; }
  std::int64_t value() const { return value_; }

  friend auto operator<=>(const Gauge&, const Gauge&) = default;

 private:
  QUETZALLINE_VALUE(Gauge, name_, value_)

  std::string name_;
  std::int64_t value_ = 0;
};

/// Builds a Gauge; fields that are not set keep their defaults.
class Gauge::Builder : public ValueBuilder<Gauge, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& name(std::string value) {
    return Set(value_.name_, std::move(value));
  }
  Builder& value(std::int64_t value) { return Set(value_.value_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_GAUGE_H_
