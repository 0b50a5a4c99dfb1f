#ifndef QUETZALLINE_TABLES_AGENT_POLICY_H_
#define QUETZALLINE_TABLES_AGENT_POLICY_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/location.h"
#include "core/resources.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Settings of an agent.
class AgentPolicy {
 public:
  class Builder;

  static constexpr std::string_view kName = "agent-policy";

  /// Identifies the endpoint that the agent serves.
  const EndpointId& endpoint() const { return endpoint_; }
  const ServiceName& service() const { return service_; }
  /// Distinguishes restarts of the agent; a restarted agent has a higher
  /// incarnation.
  std::uint64_t incarnation() const { return incarnation_; }
  const Location& location() const { return location_; }
  /// Maximum number of requests that the endpoint runs concurrently, at least
  /// 1.
  std::int32_t slots() const { return slots_; }
  /// Maximum number of connections that the endpoint accepts, at least 1.
  std::int32_t connections() const { return connections_; }
  /// Resources that the instance offers to tasks.
  const Resources& capacity() const { return capacity_; }
  /// Maximum number of attempts that may wait for a slot, 0 or more.
  std::int32_t queue_limit() const { return queue_limit_; }
  /// Time between two heartbeats to an entry. At most half of entry_silence(),
  /// so that a connection does not count as lost between two heartbeats.
  Duration heartbeat_interval() const { return heartbeat_interval_; }
  /// Time without a heartbeat reply of an entry after which its connection is
  /// closed.
  Duration entry_silence() const { return entry_silence_; }
  /// Service time that is assumed until the first answer of the endpoint.
  Duration expected_service_time() const { return expected_service_time_; }
  /// Time for which an unacknowledged answer or a refusal is retained.
  Duration answer_retention() const { return answer_retention_; }
  /// Time for which a slot stays taken after its call was abandoned.
  Duration abandoned_slot_hold() const { return abandoned_slot_hold_; }
  /// Time for which an idempotency key is remembered.
  Duration key_retention() const { return key_retention_; }
  /// Maximum number of remembered idempotency keys.
  std::int64_t max_keys() const { return max_keys_; }
  /// Maximum total size of the retained answers, in bytes.
  std::int64_t max_answer_bytes() const { return max_answer_bytes_; }
  /// Time after which an unacknowledged task report is sent again.
  Duration report_resend() const { return report_resend_; }

  friend auto operator<=>(const AgentPolicy&, const AgentPolicy&) = default;

 private:
  QUETZALLINE_VALUE(AgentPolicy, endpoint_, service_, incarnation_, location_,
                    slots_, connections_, capacity_, queue_limit_,
                    heartbeat_interval_, entry_silence_, expected_service_time_,
                    answer_retention_, abandoned_slot_hold_, key_retention_,
                    max_keys_, max_answer_bytes_, report_resend_)

  EndpointId endpoint_;
  ServiceName service_;
  std::uint64_t incarnation_ = 0;
  Location location_;
  std::int32_t slots_ = 8;
  std::int32_t connections_ = 64;
  Resources capacity_;
  std::int32_t queue_limit_ = 64;
  Duration heartbeat_interval_ = std::chrono::milliseconds(500);
  Duration entry_silence_ = std::chrono::seconds(2);
  Duration expected_service_time_ = std::chrono::milliseconds(20);
  Duration answer_retention_ = std::chrono::seconds(60);
  Duration abandoned_slot_hold_ = std::chrono::seconds(1);
  Duration key_retention_ = std::chrono::minutes(10);
  std::int64_t max_keys_ = 20000;
  std::int64_t max_answer_bytes_ = 67108864;
  Duration report_resend_ = std::chrono::seconds(1);
};

/// Builds an AgentPolicy; fields that are not set keep their defaults.
class AgentPolicy::Builder : public ValueBuilder<AgentPolicy, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& location(Location value) {
    return Set(value_.location_, std::move(value));
  }
  Builder& slots(std::int32_t value) { return Set(value_.slots_, value); }
  Builder& connections(std::int32_t value) {
    return Set(value_.connections_, value);
  }
  Builder& capacity(Resources value) {
    return Set(value_.capacity_, std::move(value));
  }
  Builder& queue_limit(std::int32_t value) {
    return Set(value_.queue_limit_, value);
  }
  Builder& heartbeat_interval(Duration value) {
    return Set(value_.heartbeat_interval_, value);
  }
  Builder& entry_silence(Duration value) {
    return Set(value_.entry_silence_, value);
  }
  Builder& expected_service_time(Duration value) {
    return Set(value_.expected_service_time_, value);
  }
  Builder& answer_retention(Duration value) {
    return Set(value_.answer_retention_, value);
  }
  Builder& abandoned_slot_hold(Duration value) {
    return Set(value_.abandoned_slot_hold_, value);
  }
  Builder& key_retention(Duration value) {
    return Set(value_.key_retention_, value);
  }
  Builder& max_keys(std::int64_t value) { return Set(value_.max_keys_, value); }
  Builder& max_answer_bytes(std::int64_t value) {
    return Set(value_.max_answer_bytes_, value);
  }
  Builder& report_resend(Duration value) {
    return Set(value_.report_resend_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_AGENT_POLICY_H_
