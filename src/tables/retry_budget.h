#ifndef QUETZALLINE_TABLES_RETRY_BUDGET_H_
#define QUETZALLINE_TABLES_RETRY_BUDGET_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Number of retries that the entry may still send over all requests.
class RetryBudget {
 public:
  class Builder;

  static constexpr std::string_view kName = "retry-budget";

  /// The budget in hundredths of a retry.
  std::int64_t hundredths() const { return hundredths_; }

  friend auto operator<=>(const RetryBudget&, const RetryBudget&) = default;

 private:
  QUETZALLINE_VALUE(RetryBudget, hundredths_)

  std::int64_t hundredths_ = 0;
};

/// Builds a RetryBudget; fields that are not set keep their defaults.
class RetryBudget::Builder : public ValueBuilder<RetryBudget, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& hundredths(std::int64_t value) {
    return Set(value_.hundredths_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RETRY_BUDGET_H_
