#ifndef QUETZALLINE_TABLES_AGENT_STAGE_H_
#define QUETZALLINE_TABLES_AGENT_STAGE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/endpoint_state.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Progress of the agent's shutdown, and the state that it tracks in its
/// exchange with entries and its worker.
class AgentStage {
 public:
  class Builder;

  static constexpr std::string_view kName = "agent-stage";

  EndpointState state() const { return state_; }
  /// Returns true once the agent may exit.
  bool finished() const { return finished_; }
  /// Sequence number of the last heartbeat.
  std::uint64_t sequence() const { return sequence_; }
  /// Highest configuration revision in force.
  std::int64_t configuration() const { return configuration_; }
  /// Highest epoch of the cell that was seen.
  std::uint64_t epoch() const { return epoch_; }
  /// End of the task lease; tasks are stopped after this time.
  Instant task_lease_end() const { return task_lease_end_; }
  /// Returns true once the worker has listed everything that it was running
  /// when the agent started.
  bool worker_listed() const { return worker_listed_; }
  /// End of the lease that was last sent to the worker.
  Instant worker_lease_end() const { return worker_lease_end_; }

  friend auto operator<=>(const AgentStage&, const AgentStage&) = default;

 private:
  QUETZALLINE_VALUE(AgentStage, state_, finished_, sequence_, configuration_,
                    epoch_, task_lease_end_, worker_listed_, worker_lease_end_)

  EndpointState state_ = EndpointState{};
  bool finished_ = false;
  std::uint64_t sequence_ = 0;
  std::int64_t configuration_ = 0;
  std::uint64_t epoch_ = 0;
  Instant task_lease_end_ = Instant{};
  bool worker_listed_ = false;
  Instant worker_lease_end_ = Instant{};
};

/// Builds an AgentStage; fields that are not set keep their defaults.
class AgentStage::Builder : public ValueBuilder<AgentStage, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& state(EndpointState value) { return Set(value_.state_, value); }
  Builder& finished(bool value) { return Set(value_.finished_, value); }
  Builder& sequence(std::uint64_t value) {
    return Set(value_.sequence_, value);
  }
  Builder& configuration(std::int64_t value) {
    return Set(value_.configuration_, value);
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& task_lease_end(Instant value) {
    return Set(value_.task_lease_end_, value);
  }
  Builder& worker_listed(bool value) {
    return Set(value_.worker_listed_, value);
  }
  Builder& worker_lease_end(Instant value) {
    return Set(value_.worker_lease_end_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_AGENT_STAGE_H_
