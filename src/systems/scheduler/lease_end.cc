#include "systems/scheduler/lease_end.h"

#include <algorithm>

#include "systems/cell/log_fields.h"
#include "systems/cell/max_lease_duration.h"

namespace quetzalline {

Instant LeaseEnd(const WorkerRow& worker, Duration task_lease) {
  if (worker.granted_at() == Instant()) return worker.foreign_lease_end();
  return std::max(worker.granted_at() + MaxLeaseDuration(task_lease),
                  worker.foreign_lease_end());
}

void RecordForeignLease(const MemberName& name, const WorkerReport& report,
                        SchedulerTables& tables, SchedulerTick& tick) {
  if (report.foreign_lease_ms() <= 0) return;
  const WorkerRow worker = *tables.workers_.Find(name);
  const Instant now = tick.now();
  const Instant end =
      now + std::chrono::milliseconds(report.foreign_lease_ms());
  if (end <= worker.foreign_lease_end()) return;
  if (worker.foreign_lease_end() < now) {
    LogLine(tick, "foreign-lease-reported", 0,
            {Field("member", name.value()), FieldMs("remaining_ms", end - now),
             FieldMs("since_grant_ms", now - worker.granted_at())});
  }
  tables.workers_.Put(
      name, WorkerRow::Builder(worker).foreign_lease_end(end).Build());
}

}  // namespace quetzalline
