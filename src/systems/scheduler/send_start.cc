#include "systems/scheduler/send_start.h"

#include "systems/scheduler/estimate_interference.h"

namespace quetzalline {
namespace {

// CPU rate limit of an unthrottled run, in percent.
constexpr std::int32_t kFullRate = 100;

// Returns the initial CPU rate limit of a run, in percent. Best-effort tasks
// whose interference with a service on the worker is unknown start throttled.
std::int32_t InitialRateLimit(const MemberName& worker, const JobStep& step,
                              const SchedulerTables& tables) {
  if (!step.fills() || tables.tasks_.UseOf(worker).serving_cpu() == 0) {
    return kFullRate;
  }
  return IsUnmeasured(worker, step.image(), tables)
             ? tables.policy_.placement().trial_pace()
             : kFullRate;
}

}  // namespace

void SendStart(const MemberName& worker, const TaskKey& key,
               SchedulerTables& tables, SchedulerTick& tick) {
  const MemberRow* member = tables.members_.Find(worker);
  const WorkerRow* row = tables.workers_.Find(worker);
  const JobTask* task = tables.tasks_.Find(key);
  if (member == nullptr || !member->connection()) return;
  if (row == nullptr || !row->facts() || task == nullptr) return;
  const JobRow* job = tables.jobs_.Find(key.job());
  const StartRun command =
      StartRun::Builder()
          .run(RunKey::Builder().task(key).run(task->run()).Build())
          .spec(job->record()->definition()->spec())
          .checkpoint(task->checkpoint())
          .target(task->step()->target())
          .fills(task->step()->fills())
          .born_ms(row->facts()->born_ms())
          .image(task->step()->image())
          .cpu(task->step()->cpu())
          .memory_mb(task->step()->memory_mb())
          .gpu(task->step()->gpu())
          .first_pace(InitialRateLimit(worker, *task->step(), tables))
          .isolated(tables.suspects_.Find(key) != nullptr)
          .report(row->last_report())
          .Build();
  tick.Emit(SendToRunner::Builder()
                .connection(*member->connection())
                .message(command)
                .Build());
}

}  // namespace quetzalline
