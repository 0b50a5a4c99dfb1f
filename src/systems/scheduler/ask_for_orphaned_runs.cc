#include "systems/scheduler/ask_for_orphaned_runs.h"

#include "systems/cell/log_fields.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/leader_election.h"

namespace quetzalline {
namespace {

// Time after which an orphaned run is asked about, and asked about again. Runs
// that stop as told have ended by then; the platform calls a job lost after
// three times as long.
constexpr Duration kAskInterval = std::chrono::milliseconds(1000);

}  // namespace

void AskForOrphanedRuns(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  std::erase_if(tables.next_orphan_ask_, [&](const auto& entry) {
    return tables.orphaned_runs_.count(entry.first) == 0;
  });
  for (const auto& [name, runs] : tables.orphaned_runs_) {
    Instant& ask_at =
        tables.next_orphan_ask_.try_emplace(name, tick.now() + kAskInterval)
            .first->second;
    if (tick.now() >= ask_at) {
      ask_at = tick.now() + kAskInterval;
      LogLine(tick, "orphaned-runs", 0,
              {Field("member", name.value()), Field("runs", runs.size())});
      for (const RunKey& run : runs) SendStopRun(name, run, tables, tick);
    }
    tick.WakeAt(ask_at);
  }
}

}  // namespace quetzalline
