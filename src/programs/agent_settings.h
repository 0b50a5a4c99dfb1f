#ifndef QUETZALLINE_PROGRAMS_AGENT_SETTINGS_H_
#define QUETZALLINE_PROGRAMS_AGENT_SETTINGS_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "programs/worker_settings.h"
#include "tables/agent_policy.h"

namespace quetzalline {

/// Holds the validated settings of an agent.
class AgentSettings {
 public:
  class Builder;

  static constexpr std::string_view kName = "agent-settings";

  const AgentPolicy& policy() const { return policy_; }
  /// Addresses at which the entries accept agents.
  const std::vector<std::string>& entries() const { return entries_; }
  /// Address of the endpoint on the agent's instance.
  const std::string& endpoint() const { return endpoint_; }
  /// Listen address of the operators' API.
  const std::string& operators() const { return operators_; }
  const WorkerSettings& worker() const { return worker_; }

  friend auto operator<=>(const AgentSettings&, const AgentSettings&) = default;

 private:
  QUETZALLINE_VALUE(AgentSettings, policy_, entries_, endpoint_, operators_,
                    worker_)

  AgentPolicy policy_;
  std::vector<std::string> entries_;
  std::string endpoint_;
  std::string operators_;
  WorkerSettings worker_;
};

/// Builds an AgentSettings; fields that are not set keep their defaults.
class AgentSettings::Builder : public ValueBuilder<AgentSettings, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& policy(AgentPolicy value) {
    return Set(value_.policy_, std::move(value));
  }
  Builder& entries(std::vector<std::string> value) {
    return Set(value_.entries_, std::move(value));
  }
  Builder& endpoint(std::string value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& operators(std::string value) {
    return Set(value_.operators_, std::move(value));
  }
  Builder& worker(WorkerSettings value) {
    return Set(value_.worker_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_AGENT_SETTINGS_H_
