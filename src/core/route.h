#ifndef QUETZALLINE_CORE_ROUTE_H_
#define QUETZALLINE_CORE_ROUTE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Selects the requests that belong to a service and sets the policy for them.
class Route {
 public:
  class Builder;

  static constexpr std::string_view kName = "route";

  /// Path prefix to match, with its leading slash.
  const std::string& prefix() const { return prefix_; }
  /// Host header to match; empty matches any.
  const std::string& host() const { return host_; }
  /// Time allowed for a whole request if the caller sets no deadline.
  Duration deadline() const { return deadline_; }
  /// True if requests are urgent; urgent requests are shed last.
  bool urgent() const { return urgent_; }
  /// Methods whose requests may be retried once an earlier attempt has ended.
  const std::vector<std::string>& idempotent_methods() const {
    return idempotent_methods_;
  }
  /// Maximum size of a request body in bytes.
  std::int64_t body_limit() const { return body_limit_; }

  friend auto operator<=>(const Route&, const Route&) = default;

 private:
  QUETZALLINE_VALUE(Route, prefix_, host_, deadline_, urgent_,
                    idempotent_methods_, body_limit_)

  std::string prefix_;
  std::string host_;
  Duration deadline_ = Duration{};
  bool urgent_ = false;
  std::vector<std::string> idempotent_methods_;
  std::int64_t body_limit_ = 1048576;
};

/// Builds a Route; fields that are not set keep their defaults.
class Route::Builder : public ValueBuilder<Route, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& prefix(std::string value) {
    return Set(value_.prefix_, std::move(value));
  }
  Builder& host(std::string value) {
    return Set(value_.host_, std::move(value));
  }
  Builder& deadline(Duration value) { return Set(value_.deadline_, value); }
  Builder& urgent(bool value) { return Set(value_.urgent_, value); }
  Builder& idempotent_methods(std::vector<std::string> value) {
    return Set(value_.idempotent_methods_, std::move(value));
  }
  Builder& body_limit(std::int64_t value) {
    return Set(value_.body_limit_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_ROUTE_H_
