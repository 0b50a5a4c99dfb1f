#include "systems/scheduler/send_start.h"

namespace quetzalline {

void SendStart(const MemberName& worker, const TaskKey& key,
               SchedulerTables& tables, SchedulerTick& tick) {
  const MemberRow* member = tables.members_.Find(worker);
  const WorkerRow* row = tables.workers_.Find(worker);
  const JobTask* task = tables.tasks_.Find(key);
  if (member == nullptr || !member->connection()) return;
  if (row == nullptr || !row->facts() || task == nullptr) return;
  const JobRow* job = tables.jobs_.Find(key.job());
  const StartRun order =
      StartRun::Builder()
          .run(RunKey::Builder().task(key).run(task->run()).Build())
          .spec(job->record()->definition()->spec())
          .checkpoint(task->checkpoint())
          .target(task->step()->target())
          .fills(task->step()->fills())
          .born_ms(row->facts()->born_ms())
          .image(task->step()->image())
          .cpu(task->step()->cpu())
          .Build();
  tick.Emit(SendToRunner::Builder()
                .connection(*member->connection())
                .message(order)
                .Build());
}

}  // namespace quetzalline
