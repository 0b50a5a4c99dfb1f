#ifndef QUETZALLINE_TABLES_GATEWAY_POLICY_H_
#define QUETZALLINE_TABLES_GATEWAY_POLICY_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Settings of an entry's gateway.
class GatewayPolicy {
 public:
  class Builder;

  static constexpr std::string_view kName = "gateway-policy";

  const MemberName& member() const { return member_; }
  /// Distinguishes restarts of the process; a restarted process has a higher
  /// incarnation.
  std::uint64_t incarnation() const { return incarnation_; }
  /// Address at which holders connect to this process.
  const std::string& address() const { return address_; }
  /// Maximum duration of one watch of the configuration.
  Duration configuration_watch() const { return configuration_watch_; }
  /// Time without a message from a holder after which its connection is closed.
  Duration holder_silence() const { return holder_silence_; }
  /// Maximum time that a caller waits for an answer.
  Duration longest_call() const { return longest_call_; }
  /// Minimum retry delay that is sent to a refused caller.
  Duration retry_after() const { return retry_after_; }

  friend auto operator<=>(const GatewayPolicy&, const GatewayPolicy&) = default;

 private:
  QUETZALLINE_VALUE(GatewayPolicy, member_, incarnation_, address_,
                    configuration_watch_, holder_silence_, longest_call_,
                    retry_after_)

  MemberName member_;
  std::uint64_t incarnation_ = 0;
  std::string address_;
  Duration configuration_watch_ = std::chrono::milliseconds(1500);
  Duration holder_silence_ = std::chrono::milliseconds(1500);
  Duration longest_call_ = std::chrono::milliseconds(2500);
  Duration retry_after_ = std::chrono::milliseconds(1000);
};

/// Builds a GatewayPolicy; fields that are not set keep their defaults.
class GatewayPolicy::Builder : public ValueBuilder<GatewayPolicy, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& member(MemberName value) {
    return Set(value_.member_, std::move(value));
  }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& address(std::string value) {
    return Set(value_.address_, std::move(value));
  }
  Builder& configuration_watch(Duration value) {
    return Set(value_.configuration_watch_, value);
  }
  Builder& holder_silence(Duration value) {
    return Set(value_.holder_silence_, value);
  }
  Builder& longest_call(Duration value) {
    return Set(value_.longest_call_, value);
  }
  Builder& retry_after(Duration value) {
    return Set(value_.retry_after_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_GATEWAY_POLICY_H_
