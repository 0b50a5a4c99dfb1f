#ifndef QUETZALLINE_MESSAGES_WITHDRAW_CALL_H_
#define QUETZALLINE_MESSAGES_WITHDRAW_CALL_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A caller cancels a job.
class WithdrawCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "withdraw-call";

  friend auto operator<=>(const WithdrawCall&, const WithdrawCall&) = default;

 private:
  QUETZALLINE_VALUE(WithdrawCall)
};

/// Builds a WithdrawCall; fields that are not set keep their defaults.
class WithdrawCall::Builder : public ValueBuilder<WithdrawCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WITHDRAW_CALL_H_
