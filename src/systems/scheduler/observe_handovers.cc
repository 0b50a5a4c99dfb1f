#include "systems/scheduler/observe_handovers.h"

#include <algorithm>
#include <string>

#include "systems/cell/cell_keys.h"
#include "systems/cell/max_lease_duration.h"
#include "systems/scheduler/call_kvs.h"

namespace quetzalline {
namespace {

// Maximum duration of one watch. Records that are missed are counted from a
// later time, which delays tasks but is safe.
constexpr Duration kWatchTimeout = std::chrono::seconds(10);
// Base delay before a failed read is repeated. Jitter adds up to the same time
// again.
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

bool IsFollowing(const SchedulerTables& tables) {
  return std::holds_alternative<HolderFollowing>(tables.stage_) &&
         !tables.stopping_;
}

}  // namespace

void ObserveHandovers(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsFollowing(tables) || tables.observing_handovers_) return;
  if (tick.now() < tables.next_observation_) {
    return tick.WakeAt(tables.next_observation_);
  }
  tables.observing_handovers_ = true;
  if (tables.handovers_revision_ == 0) {
    return ListKeys(kHandoverPrefix, ObservingHandovers(), tables, tick);
  }
  WatchKeys(kHandoverPrefix, tables.handovers_revision_, kWatchTimeout,
            ObservingHandovers(), tables, tick);
}

void HandleObservedHandovers(const KvsResult& result, SchedulerTables& tables,
                             SchedulerTick& tick) {
  tables.observing_handovers_ = false;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) {
    tables.handovers_revision_ = 0;
    tables.next_observation_ =
        tick.now() + kRetryDelay +
        Duration(UniformInt(tick.random(), kRetryDelay.count()));
    return;
  }
  if (!tables.observing_since_) tables.observing_since_ = tick.now();
  for (const KvsItem& item : read->items()) {
    const MemberName name(
        std::string(StripPrefix(item.key(), kHandoverPrefix)));
    const auto known = tables.observed_handovers_.find(name);
    if (known != tables.observed_handovers_.end() &&
        known->second.revision() >= item.revision()) {
      continue;
    }
    tables.observed_handovers_[name] = ObservedHandover::Builder()
                                           .revision(item.revision())
                                           .seen_at(tick.now())
                                           .Build();
  }
  for (const std::string& key : read->removed()) {
    tables.observed_handovers_.erase(
        MemberName(std::string(StripPrefix(key, kHandoverPrefix))));
  }
  tables.handovers_revision_ =
      std::max(tables.handovers_revision_, read->revision());
}

bool HasObservedHandovers(const SchedulerTables& tables, Instant now) {
  return tables.observing_since_ &&
         now - *tables.observing_since_ >=
             MaxLeaseDuration(tables.policy_.task_lease());
}

Instant FirstSeenAt(const KvsItem& item, Instant now,
                    const SchedulerTables& tables) {
  const auto seen = tables.observed_handovers_.find(
      MemberName(std::string(StripPrefix(item.key(), kHandoverPrefix))));
  if (seen == tables.observed_handovers_.end()) return now;
  if (seen->second.revision() != item.revision()) return now;
  return seen->second.seen_at();
}

}  // namespace quetzalline
