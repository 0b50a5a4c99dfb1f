#ifndef QUETZALLINE_MESSAGES_RENEW_WORK_H_
#define QUETZALLINE_MESSAGES_RENEW_WORK_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Lets the worker keep its tasks; it stops them by itself when this time
/// has come.
class RenewWork {
 public:
  class Builder;

  static constexpr std::string_view kName = "renew-work";

  /// On the agent's clock.
  Instant until() const { return until_; }

  friend auto operator<=>(const RenewWork&, const RenewWork&) = default;

 private:
  QUETZALLINE_VALUE(RenewWork, until_)

  Instant until_ = Instant{};
};

/// Builds one RenewWork; what is not set keeps its default.
class RenewWork::Builder : public ValueBuilder<RenewWork, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& until(Instant value) { return Set(value_.until_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_RENEW_WORK_H_
