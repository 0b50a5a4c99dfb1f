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

/// Runs an agent's systems over its tables. Each tick takes the current time
/// and the inputs that arrived, and returns the effects to carry out. The node
/// does no input or output of its own and reads no clock.
class AgentNode {
 public:
  using Input = AgentInput;
  using Effect = AgentEffect;

  AgentNode(const AgentPolicy& policy, std::uint64_t seed);

  /// Runs every system once, in a fixed order, and returns the effects to carry
  /// out.
  std::vector<AgentEffect> RunTick(Instant now,
                                   std::span<const AgentInput> inputs);

  /// Returns the latest time at which the next tick is due; empty if only an
  /// input causes one.
  std::optional<Instant> wake_at() const { return wake_at_; }
  const AgentTables& tables() const { return tables_; }

 private:
  AgentTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_AGENT_NODE_H_
