#ifndef QUETZALLINE_TABLES_SERVING_TAIL_H_
#define QUETZALLINE_TABLES_SERVING_TAIL_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Tail latency of a service image on a worker, in percent of its target.
class ServingTail {
 public:
  class Builder;

  static constexpr std::string_view kName = "serving-tail";

  /// The latest measurement.
  double latest() const { return latest_; }
  /// Estimated value without best-effort tasks on the worker.
  double base() const { return base_; }
  /// Time of the latest measurement.
  Instant seen_at() const { return seen_at_; }

  friend auto operator<=>(const ServingTail&, const ServingTail&) = default;

 private:
  QUETZALLINE_VALUE(ServingTail, latest_, base_, seen_at_)

  double latest_ = 0.0;
  double base_ = 50.0;
  Instant seen_at_ = Instant{};
};

/// Builds a ServingTail; fields that are not set keep their defaults.
class ServingTail::Builder : public ValueBuilder<ServingTail, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& latest(double value) { return Set(value_.latest_, value); }
  Builder& base(double value) { return Set(value_.base_, value); }
  Builder& seen_at(Instant value) { return Set(value_.seen_at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SERVING_TAIL_H_
