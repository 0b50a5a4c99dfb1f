#include "systems/scheduler/track_workers.h"

#include <algorithm>

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/cell/max_lease_duration.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/commit_progress.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/estimate_interference.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/hand_over_workers.h"
#include "systems/scheduler/isolate_rejected.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/lease_end.h"
#include "systems/scheduler/send_start.h"
#include "systems/scheduler/track_crashes.h"
#include "systems/scheduler/track_idle_jobs.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_lost_workers.h"
#include "systems/scheduler/track_members.h"

namespace quetzalline {
namespace {

// Minimum time between two lease grants to a worker: a third of the time after
// which a worker without a grant gets no new work.
constexpr Duration kGrantInterval = std::chrono::milliseconds(300);
// Time in which an agent connects again and lists the runs of its worker.
constexpr Duration kMaxAnswerTime = std::chrono::milliseconds(1500);
// Back-off after a worker has refused a start.
constexpr Duration kRefusalBackoff = std::chrono::milliseconds(250);

// Returns true if the two descriptions belong to different incarnations of a
// worker.
bool IsOtherIncarnation(const WorkerDescription& a,
                        const WorkerDescription& b) {
  return a.worker() != b.worker() || a.born_ms() != b.born_ms();
}

bool HasSameCapacity(const WorkerDescription& a, const WorkerDescription& b) {
  return a.cpu() == b.cpu() && a.memory_mb() == b.memory_mb() &&
         a.gpu() == b.gpu();
}

void ReturnAllTasks(const MemberName& name, Reason reason,
                    SchedulerTables& tables, SchedulerTick& tick) {
  const std::set<TaskKey> tasks = tables.tasks_.TasksOnWorker(name);
  for (const TaskKey& key : tasks) ReturnTask(key, reason, tables, tick);
  tables.orphaned_runs_.erase(name);
}

void DropUnacknowledgedCompletions(const MemberName& name,
                                   SchedulerTables& tables) {
  auto& ends = tables.unacknowledged_completions_;
  ends.erase(std::remove_if(ends.begin(), ends.end(),
                            [&](const UnacknowledgedCompletion& end) {
                              return end.worker() == name;
                            }),
             ends.end());
}

void EraseOrphanedRun(const MemberName& name, const RunKey& run,
                      SchedulerTables& tables) {
  const auto orphaned = tables.orphaned_runs_.find(name);
  if (orphaned == tables.orphaned_runs_.end()) return;
  orphaned->second.erase(run);
  if (orphaned->second.empty()) tables.orphaned_runs_.erase(orphaned);
}

// Handles the departure of a worker. No lease is left there, but a later holder
// may have started its tasks elsewhere meanwhile, so they are returned once the
// store has confirmed the epoch, by ExpireWorkers().
void HandleWorkerLeft(const MemberName& name, SchedulerTables& tables,
                      SchedulerTick& tick) {
  const WorkerRow& worker = *tables.workers_.Find(name);
  tables.workers_.Put(
      name, WorkerRow::Builder(worker)
                .facts(std::nullopt)
                .listing(RunListing::kNoWorker)
                .granted_at(tick.now() -
                            MaxLeaseDuration(tables.policy_.task_lease()))
                .foreign_lease_end(Instant())
                .Build());
}

// Handles a full report of a runner that knows no worker. It lists no runs and
// extends no lease, but an earlier holder or runner may have granted one, until
// now unless the previous holder has left an earlier end.
void HandleAbsentWorker(const MemberName& name, SchedulerTables& tables,
                        SchedulerTick& tick) {
  const WorkerRow worker = *tables.workers_.Find(name);
  const bool never_granted = worker.granted_at() == Instant();
  const Instant earlier_end =
      EarlierLeasesEnd(name, tables).value_or(Instant::max());
  const Instant earlier_grant = std::min(
      tick.now(), earlier_end - MaxLeaseDuration(tables.policy_.task_lease()));
  tables.workers_.Put(
      name, WorkerRow::Builder(worker)
                .listing(RunListing::kNoWorker)
                .granted_at(never_granted ? earlier_grant : worker.granted_at())
                .Build());
  const std::size_t tasks = tables.tasks_.TasksOnWorker(name).size();
  if (tasks == 0) return;
  LogLine(tick, "worker-absent", 0,
          {Field("member", name.value()), Field("tasks", tasks),
           FieldMs("since_grant_ms", tick.now() - worker.granted_at())});
}

void HandleFacts(const MemberName& name, const WorkerDescription& facts,
                 SchedulerTables& tables, SchedulerTick& tick) {
  const WorkerRow worker = *tables.workers_.Find(name);
  RetractConfirmedLost(name, tables);
  WorkerRow::Builder builder(worker);
  builder.facts(facts);
  const bool new_incarnation =
      worker.facts() && IsOtherIncarnation(*worker.facts(), facts);
  if (!worker.facts() || new_incarnation) {
    // Completions of a new incarnation are numbered from the start.
    DropUnacknowledgedCompletions(name, tables);
    builder.reconciled(false)
        .ends_seen(0)
        .ends_noted(0)
        .failures(0)
        .rests_until(Instant());
    LogLine(tick, "worker-joined", 0,
            {Field("member", name.value()), Field("worker", facts.worker()),
             Field("born_ms", facts.born_ms()), Field("cpu", facts.cpu())});
  }
  if (worker.facts() && !HasSameCapacity(*worker.facts(), facts)) {
    const WorkerUse& use = tables.tasks_.UseOf(name);
    LogLine(
        tick, "worker-capacity-changed", 0,
        {Field("member", name.value()), Field("cpu", facts.cpu()),
         Field("memory_mb", facts.memory_mb()), Field("gpu", facts.gpu()),
         Field("use_cpu", use.cpu()), Field("use_memory_mb", use.memory_mb())});
  }
  if (!worker.facts() || worker.facts()->draining() != facts.draining()) {
    LogLine(tick, "worker-state", 0,
            {Field("member", name.value()),
             Field("draining", facts.draining() ? 1 : 0)});
  }
  // Commands to the previous incarnation may have reached the new one. Its
  // tasks stay assigned, and nothing is placed there, until it has listed its
  // runs.
  if (new_incarnation) builder.listing(RunListing::kNone);
  tables.workers_.Put(name, builder.Build());
  tables.placement_due_ = true;
}

// Returns true if the task may be running on the worker that listed the run.
bool MayBeRunning(const JobTask& task, const MemberName& name,
                  const RunKey& run) {
  if (task.stage() == TaskStage::kInDoubt) return run.run() >= task.run();
  return task.stage() == TaskStage::kAssigned && task.worker() == name &&
         task.run() == run.run();
}

// Handles a run in a complete report: adopts it, confirms it, or stops it.
void HandleListedRun(const MemberName& name, const RunProgress& listed,
                     SchedulerTables& tables, SchedulerTick& tick) {
  const TaskKey& key = listed.run().task();
  const JobTask* task = tables.tasks_.Find(key);
  const JobRow* job = tables.jobs_.Find(key.job());
  const bool job_finished = job == nullptr || IsFinalState(job->state());
  if (task == nullptr || !MayBeRunning(*task, name, listed.run())) {
    tables.orphaned_runs_[name].insert(listed.run());
    return SendStopRun(name, listed.run(), tables, tick);
  }
  const bool adopted = task->stage() == TaskStage::kInDoubt;
  const JobTask changed =
      JobTask::Builder(*task)
          .stage(TaskStage::kAssigned)
          .worker(name)
          .run(listed.run().run())
          .assigned_at(adopted ? tick.now() : task->assigned_at())
          .checkpoint(listed.checkpoint().empty() ? task->checkpoint()
                                                  : listed.checkpoint())
          .percent(listed.percent())
          .stopping(job_finished || task->stopping())
          .Build();
  tables.tasks_.Put(key, changed);
  if (changed.stopping()) return SendStopRun(name, listed.run(), tables, tick);
  MarkBegan(key.job(), tables, tick);
  SendStart(name, key, tables, tick);
}

// Handles the list of runs in a complete report, which replaces the orphaned
// runs of the worker. Unsolicited lists may cross with commands in flight, so
// only the first list of a session, before which no command was sent, proves
// that an unlisted task never arrived. Should such a command start a superseded
// run, the runner refuses what does not fit beside it.
void HandleRunList(const MemberName& name, const WorkerReport& report,
                   bool first_list, SchedulerTables& tables,
                   SchedulerTick& tick) {
  tables.orphaned_runs_.erase(name);
  tables.placement_due_ = true;
  std::set<RunKey> listed;
  for (const RunProgress& run : report.running()) {
    listed.insert(run.run());
    HandleListedRun(name, run, tables, tick);
  }
  for (const RunEnd& end : report.ends()) listed.insert(end.run());
  if (!first_list) return;
  const std::set<TaskKey> assigned = tables.tasks_.TasksOnWorker(name);
  for (const TaskKey& key : assigned) {
    const std::int64_t run = tables.tasks_.Find(key)->run();
    if (listed.count(RunKey::Builder().task(key).run(run).Build()) > 0) {
      continue;
    }
    ReturnTask(key, Reason::kNeverArrived, tables, tick);
  }
}

void UpdateProgress(const MemberName& name, const WorkerReport& report,
                    SchedulerTables& tables, SchedulerTick& tick) {
  for (const RunProgress& run : report.running()) {
    const TaskKey& key = run.run().task();
    const JobTask* task = tables.tasks_.Find(key);
    if (task == nullptr || task->stage() != TaskStage::kAssigned) continue;
    if (task->worker() != name || task->run() != run.run().run()) continue;
    JobTask::Builder builder(*task);
    builder.percent(run.percent());
    if (!run.checkpoint().empty()) builder.checkpoint(run.checkpoint());
    tables.tasks_.Put(key, builder.Build());
    MarkBegan(key.job(), tables, tick);
  }
}

void HandleCompletions(const MemberName& name, const WorkerReport& report,
                       SchedulerTables& tables, SchedulerTick& tick) {
  const WorkerRow worker = *tables.workers_.Find(name);
  if (!worker.facts()) return;
  const std::int64_t born_ms = worker.facts()->born_ms();
  std::int64_t seen = worker.ends_seen();
  std::int64_t noted = worker.ends_noted();
  for (const RunEnd& end : report.ends()) {
    // The acknowledgement of an end that is listed again was lost.
    noted = std::min(noted, end.number() - 1);
    if (end.number() <= seen) continue;
    seen = end.number();
    EraseOrphanedRun(name, end.run(), tables);
    HandleRunEnd(name, end, tables, tick);
    const std::uint64_t job = end.run().task().job();
    if (!HasUnstoredChanges(job, tables)) continue;
    tables.unacknowledged_completions_.push_back(
        UnacknowledgedCompletion::Builder()
            .worker(name)
            .born_ms(born_ms)
            .number(end.number())
            .job(job)
            .Build());
  }
  if (seen == worker.ends_seen() && noted == worker.ends_noted()) return;
  tables.workers_.Put(name, WorkerRow::Builder(*tables.workers_.Find(name))
                                .ends_seen(seen)
                                .ends_noted(noted)
                                .Build());
  AcknowledgeCompletions({name}, tables, tick);
}

// Stops the other tasks of a gang's run that lacks a task. They cannot work
// without it, and the gang starts again only as a whole.
void StopIncompleteGang(const TaskKey& missing, std::int64_t run, Reason reason,
                        SchedulerTables& tables, SchedulerTick& tick) {
  const JobTask* refused = tables.tasks_.Find(missing);
  if (refused == nullptr || !refused->step()->gang()) return;
  const std::int32_t count = refused->step()->count();
  for (std::int32_t index = 0; index < count; ++index) {
    const TaskKey key = TaskKey::Builder(missing).index(index).Build();
    const JobTask* task = tables.tasks_.Find(key);
    if (task == nullptr || task->run() != run) continue;
    StopTask(key, reason, tables, tick);
  }
}

// Returns a task that was not started. It waits as long as if it had not been
// sent, so that refusals do not keep it from becoming overdue.
void ReturnRefusedTask(const TaskKey& key, Reason reason,
                       SchedulerTables& tables, SchedulerTick& tick) {
  const Instant ready_since = tables.tasks_.Find(key)->ready_since();
  ReturnTask(key, reason, tables, tick);
  MarkRefused(key.job(), tables);
  const JobTask* task = tables.tasks_.Find(key);
  if (task == nullptr || task->stage() != TaskStage::kReady) return;
  tables.tasks_.Put(key,
                    JobTask::Builder(*task).ready_since(ready_since).Build());
}

void HandleRefusals(const MemberName& name, const WorkerReport& report,
                    SchedulerTables& tables, SchedulerTick& tick) {
  for (const RunRefused& refused : report.refused()) {
    EraseOrphanedRun(name, refused.run(), tables);
    const TaskKey& key = refused.run().task();
    const JobTask* task = tables.tasks_.Find(key);
    if (task == nullptr || task->stage() != TaskStage::kAssigned) continue;
    if (task->worker() != name || task->run() != refused.run().run()) continue;
    tick.counters().Add(Counter::kTasksRefused, refused.reason());
    ReturnRefusedTask(key, refused.reason(), tables, tick);
    StopIncompleteGang(key, refused.run().run(), refused.reason(), tables,
                       tick);
    // A start that was withdrawn says nothing of the worker.
    if (refused.reason() == Reason::kCancelled) continue;
    const WorkerRow worker = *tables.workers_.Find(name);
    tables.workers_.Put(name,
                        WorkerRow::Builder(worker)
                            .rests_until(std::max(worker.rests_until(),
                                                  tick.now() + kRefusalBackoff))
                            .Build());
  }
}

void CloseMember(ConnectionId connection, SchedulerTables& tables,
                 SchedulerTick& tick) {
  tick.Emit(CloseConnection::Builder().connection(connection).Build());
  DisconnectMember(ConnectionClosed::Builder().connection(connection).Build(),
                   tables, tick);
}

void CloseUnresponsive(SchedulerTables& tables, SchedulerTick& tick) {
  std::vector<ConnectionId> unresponsive;
  for (const auto& [name, row] : tables.members_) {
    if (!row.connection()) continue;
    const Duration silence = tables.attention_ - row.heard_attention();
    if (silence >= tables.policy_.silence()) {
      unresponsive.push_back(*row.connection());
    }
  }
  for (const ConnectionId connection : unresponsive) {
    CloseMember(connection, tables, tick);
  }
}

// Returns true if the worker's lease has to be checked: it holds tasks, or it
// is not listed and not recorded as confirmed lost yet.
bool NeedsLeaseCheck(const MemberName& name, const WorkerRow& worker,
                     const SchedulerTables& tables) {
  if (!tables.tasks_.TasksOnWorker(name).empty()) return true;
  const bool known = tables.confirmed_lost_.count(name) > 0 ||
                     tables.confirmed_lost_changes_.count(name) > 0;
  return !worker.alive() && !known && worker.granted_at() != Instant();
}

// Returns the workers whose lease has certainly expired: its time is over, and
// no later holder can have renewed it, since the store has confirmed this
// holder's epoch after that time.
std::vector<MemberName> FindExpiredWorkers(SchedulerTables& tables,
                                           SchedulerTick& tick) {
  std::vector<MemberName> expired;
  for (const auto& [name, worker] : tables.workers_) {
    if (!NeedsLeaseCheck(name, worker, tables)) continue;
    const Instant expires_at = LeaseEnd(worker, tables.policy_.task_lease());
    if (tick.now() < expires_at) {
      tick.WakeAt(expires_at);
    } else if (tables.term_.confirmed_at() < expires_at) {
      ConfirmEpoch(tables, tick);
      tick.WakeAt(tables.next_confirm_);
    } else if (!MayStillAnswer(name, worker, tables)) {
      expired.push_back(name);
    }
  }
  return expired;
}

}  // namespace

bool MayStillAnswer(const MemberName& name, const WorkerRow& worker,
                    const SchedulerTables& tables) {
  const MemberRow* member = tables.members_.Find(name);
  if (member == nullptr || worker.listing() == RunListing::kNoWorker) {
    return false;
  }
  const bool heard =
      tables.attention_ - member->heard_attention() < tables.policy_.silence();
  if (member->connection() && worker.alive() && heard) return !worker.silent();
  return tables.attention_ - member->changed_attention() < kMaxAnswerTime;
}

void RecordMemberContact(ConnectionId connection, SchedulerTables& tables,
                         Instant now) {
  const auto found = tables.connections_.find(connection);
  if (found == tables.connections_.end()) return;
  const MemberRow* member = tables.members_.Find(found->second);
  if (member == nullptr) return;
  tables.members_.Put(found->second, MemberRow::Builder(*member)
                                         .heard_at(now)
                                         .heard_attention(tables.attention_)
                                         .answered(true)
                                         .Build());
}

void HandleReport(ConnectionId connection, const WorkerReport& report,
                  SchedulerTables& tables, SchedulerTick& tick) {
  const auto found = tables.connections_.find(connection);
  if (found == tables.connections_.end()) return;
  const MemberName name = found->second;
  const MemberRow* member = tables.members_.Find(name);
  if (member == nullptr || member->session() != report.session()) return;
  const WorkerRow* known = tables.workers_.Find(name);
  if (known == nullptr) return;
  RecordMemberContact(connection, tables, tick.now());
  RecordForeignLease(name, report, tables, tick);
  tables.grants_due_[connection] = report.number();
  if (!report.whole() && !known->reported()) return;
  HandleCrashes(name, report, tables, tick);
  // The rest of the report refers to the next incarnation.
  if (report.worker_left()) HandleWorkerLeft(name, tables, tick);
  if (report.facts()) HandleFacts(name, *report.facts(), tables, tick);
  const bool first_list = !tables.workers_.Find(name)->reported();
  if (report.whole()) {
    if (!report.facts()) return HandleAbsentWorker(name, tables, tick);
    const WorkerRow worker = *tables.workers_.Find(name);
    tables.workers_.Put(
        name, WorkerRow::Builder(worker)
                  .listing(report.more_ends() ? RunListing::kTruncated
                                              : RunListing::kComplete)
                  .reconciled(worker.reconciled() || !report.more_ends())
                  .granted_at(tick.now())
                  .grant_sent_at(Instant())
                  .leased(false)
                  .Build());
  }
  tables.workers_.Put(name, WorkerRow::Builder(*tables.workers_.Find(name))
                                .last_report(report.number())
                                .silent(report.silent())
                                .fill_pace(report.fill_pace())
                                .Build());
  if (report.neighbours()) {
    UpdateInterference(name, *report.neighbours(), tables, tick);
  }
  HandleCompletions(name, report, tables, tick);
  if (report.whole() && !report.more_ends()) {
    HandleRunList(name, report, first_list, tables, tick);
  } else {
    UpdateProgress(name, report, tables, tick);
  }
  HandleRefusals(name, report, tables, tick);
  ClearSurvivors(name, report, tables, tick);
}

void GrantOverdueLease(const MemberName& name, SchedulerTables& tables) {
  const MemberRow* member = tables.members_.Find(name);
  const WorkerRow* worker = tables.workers_.Find(name);
  if (member == nullptr || !member->connection()) return;
  if (worker == nullptr || !worker->alive()) return;
  tables.grants_due_[*member->connection()] = worker->last_report();
  tables.workers_.Put(
      name, WorkerRow::Builder(*worker).grant_sent_at(Instant()).Build());
}

void GrantLeases(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tables.grants_due_.empty()) return;
  const std::map<ConnectionId, std::int64_t> due =
      std::move(tables.grants_due_);
  tables.grants_due_.clear();
  if (!MayAct(tables, tick.now())) return ConfirmEpoch(tables, tick);
  for (const auto& [connection, number] : due) {
    const auto found = tables.connections_.find(connection);
    if (found == tables.connections_.end()) continue;
    const WorkerRow* worker = tables.workers_.Find(found->second);
    if (worker == nullptr) continue;
    if (tick.now() - worker->grant_sent_at() < kGrantInterval) continue;
    // That a runner reports does not mean that its worker lives.
    const bool alive = worker->alive() && !worker->silent() &&
                       !IsHandedOver(found->second, tables);
    tables.workers_.Put(
        found->second,
        WorkerRow::Builder(*worker)
            .granted_at(alive ? tick.now() : worker->granted_at())
            .grant_sent_at(tick.now())
            .leased(alive || worker->leased())
            .Build());
    tick.Emit(
        SendToRunner::Builder()
            .connection(connection)
            .message(GrantLease::Builder().report(alive ? number : 0).Build())
            .Build());
  }
}

void ExpireWorkers(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  CloseUnresponsive(tables, tick);
  for (const MemberName& name : FindExpiredWorkers(tables, tick)) {
    LogLine(tick, "worker-lost", 0,
            {Field("member", name.value()),
             Field("tasks", tables.tasks_.TasksOnWorker(name).size())});
    ReturnAllTasks(name, Reason::kLeaseLapsed, tables, tick);
    MarkConfirmedLost(name, tables, tick);
    const WorkerRow worker = *tables.workers_.Find(name);
    const MemberRow* member = tables.members_.Find(name);
    if (worker.listing() == RunListing::kNoWorker) continue;
    tables.workers_.Put(
        name, WorkerRow::Builder(worker).listing(RunListing::kNone).Build());
    if (member == nullptr || !member->connection()) continue;
    // In a new session the runner lists its runs again.
    CloseMember(*member->connection(), tables, tick);
  }
}

}  // namespace quetzalline
