#ifndef QUETZALLINE_MESSAGES_GRANT_LEASE_H_
#define QUETZALLINE_MESSAGES_GRANT_LEASE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Extends the lease of the worker's runs. The lease time starts when the
/// runner sent the named report. Runners whose workers get no lease receive it
/// too, as a sign that the holder is alive.
class GrantLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "grant-lease";

  /// Number of the WorkerReport that the lease time starts with; 0 if no lease
  /// is granted.
  std::int64_t report() const { return report_; }

  friend auto operator<=>(const GrantLease&, const GrantLease&) = default;

 private:
  QUETZALLINE_VALUE(GrantLease, report_)

  std::int64_t report_ = 0;
};

/// Builds a GrantLease; fields that are not set keep their defaults.
class GrantLease::Builder : public ValueBuilder<GrantLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& report(std::int64_t value) { return Set(value_.report_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_GRANT_LEASE_H_
