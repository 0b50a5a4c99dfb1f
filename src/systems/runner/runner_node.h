#ifndef QUETZALLINE_SYSTEMS_RUNNER_RUNNER_NODE_H_
#define QUETZALLINE_SYSTEMS_RUNNER_RUNNER_NODE_H_

#include <optional>
#include <span>
#include <vector>

#include "core/tick.h"
#include "messages/runner_effect.h"
#include "messages/runner_input.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Makes the decisions of the process that runs next to a worker: it follows
/// the holder of the cell's leader lease, forwards the holder's commands to the
/// worker under a lease and a fencing token, and reports their results.
class RunnerNode {
 public:
  using Input = RunnerInput;
  using Effect = RunnerEffect;

  RunnerNode(const RunnerPolicy& policy, std::uint64_t seed);

  /// Handles the inputs, runs every system once in a fixed order and returns
  /// the effects.
  std::vector<RunnerEffect> RunTick(Instant now,
                                    std::span<const RunnerInput> inputs);

  /// Returns the time at which the next tick is due even without input.
  std::optional<Instant> wake_at() const { return wake_at_; }
  const RunnerTables& tables() const { return tables_; }

 private:
  RunnerTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_RUNNER_NODE_H_
