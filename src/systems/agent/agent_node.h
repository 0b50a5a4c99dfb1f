#ifndef QUETZALLINE_SYSTEMS_AGENT_AGENT_NODE_H_
#define QUETZALLINE_SYSTEMS_AGENT_AGENT_NODE_H_

#include <optional>
#include <span>
#include <vector>

#include "core/tick.h"
#include "messages/agent_effect.h"
#include "messages/agent_input.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// An agent's decisions as one step: inputs and the time go in, effects and the
/// time of the next wanted step come out.
class AgentNode {
 public:
  using Input = AgentInput;
  using Effect = AgentEffect;

  AgentNode(const AgentPolicy& policy, std::uint64_t seed);

  /// Runs every system once, in their fixed order.
  std::vector<AgentEffect> RunTick(Instant now,
                                   std::span<const AgentInput> inputs);

  /// When the next tick is due at the latest; empty if only an input can
  /// cause one.
  std::optional<Instant> wake_at() const { return wake_at_; }
  const AgentTables& tables() const { return tables_; }

 private:
  AgentTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_AGENT_NODE_H_
