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

/// The decisions of an entry about jobs: which queue a caller means, who holds
/// the cell, and what the caller is told when nobody answers.
class GatewayNode {
 public:
  using Input = GatewayInput;
  using Effect = GatewayEffect;

  GatewayNode(const GatewayPolicy& policy, std::uint64_t seed);

  /// Runs every system once, in their fixed order.
  std::vector<GatewayEffect> RunTick(Instant now,
                                     std::span<const GatewayInput> inputs);

  std::optional<Instant> wake_at() const { return wake_at_; }
  const GatewayTables& tables() const { return tables_; }
  /// Whether new callers should be sent here.
  bool IsReady() const;

 private:
  GatewayTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_GATEWAY_NODE_H_
