#ifndef QUETZALLINE_SYSTEMS_ENTRY_ENTRY_NODE_H_
#define QUETZALLINE_SYSTEMS_ENTRY_ENTRY_NODE_H_

#include <optional>
#include <span>
#include <vector>

#include "core/tick.h"
#include "messages/entry_effect.h"
#include "messages/entry_input.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Runs an entry's decisions one tick at a time: takes inputs and the current
/// time, returns effects and the time of the next tick.
class EntryNode {
 public:
  using Input = EntryInput;
  using Effect = EntryEffect;

  EntryNode(const EntryPolicy& policy, std::uint64_t seed);

  /// Runs every system once, in a fixed order.
  std::vector<EntryEffect> RunTick(Instant now,
                                   std::span<const EntryInput> inputs);

  /// Returns the latest time of the next tick, or nullopt if only an input can
  /// cause one.
  std::optional<Instant> wake_at() const { return wake_at_; }
  const EntryTables& tables() const { return tables_; }

 private:
  EntryTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
  bool started_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_ENTRY_NODE_H_
