#ifndef QUETZALLINE_TABLES_GATEWAY_CALL_H_
#define QUETZALLINE_TABLES_GATEWAY_CALL_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"
#include "messages/job_call.h"

namespace quetzalline {

/// A caller's request that has not been answered.
class GatewayCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "gateway-call";

  const JobCall& call() const { return call_; }
  /// Number of the job that the call is about.
  std::uint64_t job() const { return job_; }
  const std::string& queue() const { return queue_; }
  /// Time at which the caller is refused if there is no answer.
  Instant expires_at() const { return expires_at_; }
  /// Connection to the holder that the call was sent to.
  ConnectionId connection() const { return connection_; }

  friend auto operator<=>(const GatewayCall&, const GatewayCall&) = default;

 private:
  QUETZALLINE_VALUE(GatewayCall, call_, job_, queue_, expires_at_, connection_)

  JobCall call_;
  std::uint64_t job_ = 0;
  std::string queue_;
  Instant expires_at_ = Instant{};
  ConnectionId connection_ = ConnectionId{};
};

/// Builds a GatewayCall; fields that are not set keep their defaults.
class GatewayCall::Builder : public ValueBuilder<GatewayCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& call(JobCall value) { return Set(value_.call_, std::move(value)); }
  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
  Builder& queue(std::string value) {
    return Set(value_.queue_, std::move(value));
  }
  Builder& expires_at(Instant value) { return Set(value_.expires_at_, value); }
  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_GATEWAY_CALL_H_
