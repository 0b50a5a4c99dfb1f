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

/// The decisions of the process beside a worker: it follows the holder, passes
/// its orders on under a lease and a fence, and tells what became of them.
class RunnerNode {
 public:
  using Input = RunnerInput;
  using Effect = RunnerEffect;

  RunnerNode(const RunnerPolicy& policy, std::uint64_t seed);

  /// Runs every system once, in their fixed order.
  std::vector<RunnerEffect> RunTick(Instant now,
                                    std::span<const RunnerInput> inputs);

  std::optional<Instant> wake_at() const { return wake_at_; }
  const RunnerTables& tables() const { return tables_; }

 private:
  RunnerTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_RUNNER_NODE_H_
