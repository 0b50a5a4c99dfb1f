#ifndef QUETZALLINE_SYSTEMS_GATEWAY_GATEWAY_NODE_H_
#define QUETZALLINE_SYSTEMS_GATEWAY_GATEWAY_NODE_H_

#include <optional>
#include <span>
#include <vector>

#include "core/tick.h"
#include "messages/gateway_effect.h"
#include "messages/gateway_input.h"
#include "tables/gateway_tables.h"

namespace quetzalline {

/// Makes the decisions of an entry about jobs: which queue a call belongs to,
/// which process is the holder of the cell's leader lease, and which answer the
/// caller gets when the holder does not respond.
class GatewayNode {
 public:
  using Input = GatewayInput;
  using Effect = GatewayEffect;

  GatewayNode(const GatewayPolicy& policy, std::uint64_t seed);

  /// Handles the inputs, runs every system once in a fixed order and returns
  /// the effects.
  std::vector<GatewayEffect> RunTick(Instant now,
                                     std::span<const GatewayInput> inputs);

  /// Returns the time at which the next tick is due even without input.
  std::optional<Instant> wake_at() const { return wake_at_; }
  const GatewayTables& tables() const { return tables_; }
  /// Returns true if new calls should be routed here: a configuration is known
  /// and no stop was requested.
  bool IsReady() const;

 private:
  GatewayTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_GATEWAY_NODE_H_
