#ifndef QUETZALLINE_MESSAGES_RENEW_WORK_H_
#define QUETZALLINE_MESSAGES_RENEW_WORK_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Renews the lease of the worker's tasks; the worker stops them by itself when
/// the lease expires.
class RenewWork {
 public:
  class Builder;

  static constexpr std::string_view kName = "renew-work";

  /// Expiry of the lease on the agent's clock.
  Instant until() const { return until_; }

  friend auto operator<=>(const RenewWork&, const RenewWork&) = default;

 private:
  QUETZALLINE_VALUE(RenewWork, until_)

  Instant until_ = Instant{};
};

/// Builds a RenewWork; fields that are not set keep their defaults.
class RenewWork::Builder : public ValueBuilder<RenewWork, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& until(Instant value) { return Set(value_.until_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_RENEW_WORK_H_
