#ifndef QUETZALLINE_MESSAGES_ENDPOINT_STATUS_H_
#define QUETZALLINE_MESSAGES_ENDPOINT_STATUS_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/endpoint_state.h"
#include "core/ids.h"
#include "core/load_report.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Describes one endpoint in the status report.
class EndpointStatus {
 public:
  class Builder;

  static constexpr std::string_view kName = "endpoint-status";

  const EndpointId& endpoint() const { return endpoint_; }
  const ServiceName& service() const { return service_; }
  const AvailabilityZone& zone() const { return zone_; }
  EndpointState state() const { return state_; }
  bool reachable() const { return reachable_; }
  const LoadReport& load() const { return load_; }
  /// Highest configuration revision in force at the agent.
  std::int64_t configuration() const { return configuration_; }
  /// Time since the last heartbeat.
  Duration silent_for() const { return silent_for_; }
  /// Number of the endpoint's tasks.
  std::int32_t tasks() const { return tasks_; }

  friend auto operator<=>(const EndpointStatus&,
                          const EndpointStatus&) = default;

 private:
  QUETZALLINE_VALUE(EndpointStatus, endpoint_, service_, zone_, state_,
                    reachable_, load_, configuration_, silent_for_, tasks_)

  EndpointId endpoint_;
  ServiceName service_;
  AvailabilityZone zone_;
  EndpointState state_ = EndpointState{};
  bool reachable_ = false;
  LoadReport load_;
  std::int64_t configuration_ = 0;
  Duration silent_for_ = Duration{};
  std::int32_t tasks_ = 0;
};

/// Builds an EndpointStatus; fields that are not set keep their defaults.
class EndpointStatus::Builder : public ValueBuilder<EndpointStatus, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& zone(AvailabilityZone value) {
    return Set(value_.zone_, std::move(value));
  }
  Builder& state(EndpointState value) { return Set(value_.state_, value); }
  Builder& reachable(bool value) { return Set(value_.reachable_, value); }
  Builder& load(LoadReport value) {
    return Set(value_.load_, std::move(value));
  }
  Builder& configuration(std::int64_t value) {
    return Set(value_.configuration_, value);
  }
  Builder& silent_for(Duration value) { return Set(value_.silent_for_, value); }
  Builder& tasks(std::int32_t value) { return Set(value_.tasks_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ENDPOINT_STATUS_H_
