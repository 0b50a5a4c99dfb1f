#ifndef QUETZALLINE_TABLES_CONCURRENCY_LIMIT_H_
#define QUETZALLINE_TABLES_CONCURRENCY_LIMIT_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The agent's concurrency limit and its measured service times.
class ConcurrencyLimit {
 public:
  class Builder;

  static constexpr std::string_view kName = "limit";

  /// Maximum number of requests that the agent runs concurrently.
  double slots() const { return slots_; }
  /// Smoothed service time; zero before the first answer.
  Duration service_time() const { return service_time_; }
  /// Smoothed minimum of the service time.
  Duration floor_time() const { return floor_time_; }
  /// Time at which the limit last changed.
  Instant adapted() const { return adapted_; }

  friend auto operator<=>(const ConcurrencyLimit&,
                          const ConcurrencyLimit&) = default;

 private:
  QUETZALLINE_VALUE(ConcurrencyLimit, slots_, service_time_, floor_time_,
                    adapted_)

  double slots_ = 1;
  Duration service_time_ = Duration{};
  Duration floor_time_ = Duration{};
  Instant adapted_ = Instant{};
};

/// Builds a ConcurrencyLimit; fields that are not set keep their defaults.
class ConcurrencyLimit::Builder
    : public ValueBuilder<ConcurrencyLimit, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& slots(double value) { return Set(value_.slots_, value); }
  Builder& service_time(Duration value) {
    return Set(value_.service_time_, value);
  }
  Builder& floor_time(Duration value) { return Set(value_.floor_time_, value); }
  Builder& adapted(Instant value) { return Set(value_.adapted_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CONCURRENCY_LIMIT_H_
