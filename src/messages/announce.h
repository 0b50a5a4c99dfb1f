#ifndef QUETZALLINE_MESSAGES_ANNOUNCE_H_
#define QUETZALLINE_MESSAGES_ANNOUNCE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "core/endpoint_state.h"
#include "core/ids.h"
#include "core/load_report.h"
#include "core/location.h"
#include "core/resources.h"
#include "core/task_attempt_id.h"
#include "core/value.h"

namespace quetzalline {

/// Heartbeat that registers an agent's endpoint with an entry.
class Announce {
 public:
  class Builder;

  static constexpr std::string_view kName = "announce";

  const EndpointId& endpoint() const { return endpoint_; }
  const ServiceName& service() const { return service_; }
  /// Rises with each start of the agent.
  std::uint64_t incarnation() const { return incarnation_; }
  /// Rises with each heartbeat of one incarnation.
  std::uint64_t sequence() const { return sequence_; }
  const Location& location() const { return location_; }
  /// Number of requests that the endpoint serves at the same time.
  std::int32_t slots() const { return slots_; }
  /// Resources that the instance offers to tasks.
  const Resources& capacity() const { return capacity_; }
  EndpointState state() const { return state_; }
  const LoadReport& load() const { return load_; }
  /// Highest configuration revision in force at the agent.
  std::int64_t configuration() const { return configuration_; }
  /// Task attempts that the instance holds; sent only to the holder of the
  /// cell, once the worker has listed them. Empty otherwise.
  const std::optional<std::vector<TaskAttemptId>>& tasks() const {
    return tasks_;
  }

  friend auto operator<=>(const Announce&, const Announce&) = default;

 private:
  QUETZALLINE_VALUE(Announce, endpoint_, service_, incarnation_, sequence_,
                    location_, slots_, capacity_, state_, load_, configuration_,
                    tasks_)

  EndpointId endpoint_;
  ServiceName service_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  Location location_;
  std::int32_t slots_ = 0;
  Resources capacity_;
  EndpointState state_ = EndpointState{};
  LoadReport load_;
  std::int64_t configuration_ = 0;
  std::optional<std::vector<TaskAttemptId>> tasks_;
};

/// Builds an Announce; fields that are not set keep their defaults.
class Announce::Builder : public ValueBuilder<Announce, Builder> {
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
  Builder& sequence(std::uint64_t value) {
    return Set(value_.sequence_, value);
  }
  Builder& location(Location value) {
    return Set(value_.location_, std::move(value));
  }
  Builder& slots(std::int32_t value) { return Set(value_.slots_, value); }
  Builder& capacity(Resources value) {
    return Set(value_.capacity_, std::move(value));
  }
  Builder& state(EndpointState value) { return Set(value_.state_, value); }
  Builder& load(LoadReport value) {
    return Set(value_.load_, std::move(value));
  }
  Builder& configuration(std::int64_t value) {
    return Set(value_.configuration_, value);
  }
  Builder& tasks(std::optional<std::vector<TaskAttemptId>> value) {
    return Set(value_.tasks_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ANNOUNCE_H_
