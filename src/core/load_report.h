#ifndef QUETZALLINE_CORE_LOAD_REPORT_H_
#define QUETZALLINE_CORE_LOAD_REPORT_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Load of one endpoint, measured by its agent when the report was sent.
class LoadReport {
 public:
  class Builder;

  static constexpr std::string_view kName = "load-report";

  /// Number of requests that hold a slot.
  std::int32_t running() const { return running_; }
  /// Number of admitted requests that wait for a slot.
  std::int32_t queued() const { return queued_; }
  /// Current concurrency limit of the agent, in slots.
  std::int32_t limit() const { return limit_; }
  /// Smoothed time from the start of a request to its response.
  Duration service_time() const { return service_time_; }

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;

 private:
  QUETZALLINE_VALUE(LoadReport, running_, queued_, limit_, service_time_)

  std::int32_t running_ = 0;
  std::int32_t queued_ = 0;
  std::int32_t limit_ = 0;
  Duration service_time_ = Duration{};
};

/// Builds a LoadReport; fields that are not set keep their defaults.
class LoadReport::Builder : public ValueBuilder<LoadReport, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& running(std::int32_t value) { return Set(value_.running_, value); }
  Builder& queued(std::int32_t value) { return Set(value_.queued_, value); }
  Builder& limit(std::int32_t value) { return Set(value_.limit_, value); }
  Builder& service_time(Duration value) {
    return Set(value_.service_time_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_LOAD_REPORT_H_
