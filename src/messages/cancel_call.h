#ifndef QUETZALLINE_MESSAGES_CANCEL_CALL_H_
#define QUETZALLINE_MESSAGES_CANCEL_CALL_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A caller cancels a job.
class CancelCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "withdraw-call";

  friend auto operator<=>(const CancelCall&, const CancelCall&) = default;

 private:
  QUETZALLINE_VALUE(CancelCall)
};

/// Builds a CancelCall; fields that are not set keep their defaults.
class CancelCall::Builder : public ValueBuilder<CancelCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CANCEL_CALL_H_
