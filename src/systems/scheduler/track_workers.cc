#include "systems/scheduler/track_workers.h"

#include <algorithm>

#include "systems/cell/cell_keys.h"
#include "systems/cell/lease_bound.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/campaign.h"
#include "systems/scheduler/commit_progress.h"
#include "systems/scheduler/conclude_job.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/follow_members.h"
#include "systems/scheduler/learn_neighbours.h"
#include "systems/scheduler/open_job.h"
#include "systems/scheduler/send_start.h"
#include "systems/scheduler/track_vacancy.h"

namespace quetzalline {
namespace {

// Reports that come closer together share a grant: a third of the time after
// which a worker without one gets no new work.
constexpr Duration kGrantInterval = std::chrono::milliseconds(300);
// A worker that refused a start is asked again after this.
constexpr Duration kRefusalRest = std::chrono::milliseconds(250);
bool IsOtherLife(const WorkerDescription& a, const WorkerDescription& b) {
  return a.worker() != b.worker() || a.born_ms() != b.born_ms();
}

void ReturnAll(const MemberName& name, Reason reason, SchedulerTables& tables,
               SchedulerTick& tick) {
  const std::set<TaskKey> tasks = tables.tasks_.OnWorker(name);
  for (const TaskKey& key : tasks) ReturnTask(key, reason, tables, tick);
  tables.strays_.erase(name);
}

void ForgetUnnotedEnds(const MemberName& name, SchedulerTables& tables) {
  auto& ends = tables.unnoted_ends_;
  ends.erase(std::remove_if(
                 ends.begin(), ends.end(),
                 [&](const UnnotedEnd& end) { return end.worker() == name; }),
             ends.end());
}

void ForgetStray(const MemberName& name, const RunKey& run,
                 SchedulerTables& tables) {
  const auto strays = tables.strays_.find(name);
  if (strays == tables.strays_.end()) return;
  strays->second.erase(run);
  if (strays->second.empty()) tables.strays_.erase(strays);
}

void LoseWorker(const MemberName& name, SchedulerTables& tables,
                SchedulerTick& tick) {
  const WorkerRow& worker = *tables.workers_.Find(name);
  tables.workers_.Put(name,
                      WorkerRow::Builder(worker).facts(std::nullopt).Build());
  ReturnAll(name, Reason::kInstanceLost, tables, tick);
  MarkVacant(name, tables, tick);
}

void TakeFacts(const MemberName& name, const WorkerDescription& facts,
               SchedulerTables& tables, SchedulerTick& tick) {
  const WorkerRow worker = *tables.workers_.Find(name);
  MarkOccupied(name, tables);
  WorkerRow::Builder builder(worker);
  builder.facts(facts);
  const bool other = worker.facts() && IsOtherLife(*worker.facts(), facts);
  if (!worker.facts() || other) {
    // The ends of a new life count anew.
    ForgetUnnotedEnds(name, tables);
    builder.ends_seen(0).ends_noted(0).failures(0).rests_until(Instant());
    LogLine(tick, "worker-joined", 0,
            {Field("member", name.value()), Field("worker", facts.worker()),
             Field("born_ms", facts.born_ms()), Field("cpu", facts.cpu())});
  }
  if (!worker.facts() || worker.facts()->draining() != facts.draining()) {
    LogLine(tick, "worker-state", 0,
            {Field("member", name.value()),
             Field("draining", facts.draining() ? 1 : 0)});
  }
  // What was ordered from the life before may have met the new one: its tasks
  // stay, and nothing is placed there, until it has listed what it runs.
  if (other) builder.reported(false);
  tables.workers_.Put(name, builder.Build());
  tables.placement_due_ = true;
}

// Whether the task may be where the worker says that it is.
bool MayRunThere(const JobTask& task, const MemberName& name,
                 const RunKey& run) {
  if (task.stage() == TaskStage::kInDoubt) return run.run() >= task.run();
  return task.stage() == TaskStage::kAssigned && task.worker() == name &&
         task.run() == run.run();
}

// A run that a whole report lists: adopted, confirmed, or told to stop.
void TakeListedRun(const MemberName& name, const RunProgress& listed,
                   SchedulerTables& tables, SchedulerTick& tick) {
  const TaskKey& key = listed.run().task();
  const JobTask* task = tables.tasks_.Find(key);
  const JobRow* job = tables.jobs_.Find(key.job());
  const bool over = job == nullptr || IsOver(job->state());
  if (task == nullptr || !MayRunThere(*task, name, listed.run())) {
    tables.strays_[name].insert(listed.run());
    return StopStray(name, listed.run(), tables, tick);
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
          .stopping(over || task->stopping())
          .Build();
  tables.tasks_.Put(key, changed);
  if (changed.stopping()) return StopStray(name, listed.run(), tables, tick);
  if (job->state() == JobState::kQueued) {
    tables.jobs_.Put(
        key.job(),
        JobRow::Builder(*job).state(JobState::kRunning).began(true).Build());
  }
  SendStart(name, key, tables, tick);
}

// Orders cross with a list that comes unasked, so that only the first list of a
// session, before which nothing was ordered, says what never arrived.
void TakeWholeList(const MemberName& name, const WorkerReport& report,
                   bool first, SchedulerTables& tables, SchedulerTick& tick) {
  if (first) tables.strays_.erase(name);
  tables.placement_due_ = true;
  std::set<TaskKey> listed;
  for (const RunProgress& run : report.running()) {
    listed.insert(run.run().task());
    TakeListedRun(name, run, tables, tick);
  }
  for (const RunEnd& end : report.ends()) listed.insert(end.run().task());
  if (!first) return;
  const std::set<TaskKey> assigned = tables.tasks_.OnWorker(name);
  for (const TaskKey& key : assigned) {
    if (listed.count(key) > 0) continue;
    ReturnTask(key, Reason::kNeverArrived, tables, tick);
  }
}

void TakeProgress(const MemberName& name, const WorkerReport& report,
                  SchedulerTables& tables) {
  for (const RunProgress& run : report.running()) {
    const TaskKey& key = run.run().task();
    const JobTask* task = tables.tasks_.Find(key);
    if (task == nullptr || task->stage() != TaskStage::kAssigned) continue;
    if (task->worker() != name || task->run() != run.run().run()) continue;
    JobTask::Builder builder(*task);
    builder.percent(run.percent());
    if (!run.checkpoint().empty()) builder.checkpoint(run.checkpoint());
    tables.tasks_.Put(key, builder.Build());
  }
}

void TakeEnds(const MemberName& name, const WorkerReport& report,
              SchedulerTables& tables, SchedulerTick& tick) {
  const WorkerRow worker = *tables.workers_.Find(name);
  if (!worker.facts()) return;
  const std::int64_t born_ms = worker.facts()->born_ms();
  std::int64_t seen = worker.ends_seen();
  bool any = false;
  for (const RunEnd& end : report.ends()) {
    if (end.number() <= seen) continue;
    seen = end.number();
    any = true;
    ForgetStray(name, end.run(), tables);
    TakeRunEnd(name, end, tables, tick);
    const std::uint64_t job = end.run().task().job();
    if (!tables.dirty_jobs_.Contains(job)) continue;
    tables.unnoted_ends_.push_back(UnnotedEnd::Builder()
                                       .worker(name)
                                       .born_ms(born_ms)
                                       .number(end.number())
                                       .job(job)
                                       .Build());
  }
  if (!any) return;
  tables.workers_.Put(
      name,
      WorkerRow::Builder(*tables.workers_.Find(name)).ends_seen(seen).Build());
  NoteKeptEnds(tables, tick);
}

void TakeRefusals(const MemberName& name, const WorkerReport& report,
                  SchedulerTables& tables, SchedulerTick& tick) {
  for (const RunRefused& refused : report.refused()) {
    ForgetStray(name, refused.run(), tables);
    const TaskKey& key = refused.run().task();
    const JobTask* task = tables.tasks_.Find(key);
    if (task == nullptr || task->stage() != TaskStage::kAssigned) continue;
    if (task->worker() != name || task->run() != refused.run().run()) continue;
    tick.counters().Add(Counter::kTasksRefused, refused.reason());
    ReturnTask(key, refused.reason(), tables, tick);
    tables.workers_.Put(name, WorkerRow::Builder(*tables.workers_.Find(name))
                                  .rests_until(tick.now() + kRefusalRest)
                                  .Build());
  }
}

void CloseMember(ConnectionId connection, SchedulerTables& tables,
                 SchedulerTick& tick) {
  tick.Emit(CloseConnection::Builder().connection(connection).Build());
  DisconnectMember(ConnectionClosed::Builder().connection(connection).Build(),
                   tables, tick);
}

void CloseSilent(SchedulerTables& tables, SchedulerTick& tick) {
  std::vector<ConnectionId> silent;
  for (const auto& [name, row] : tables.members_) {
    if (!row.connection()) continue;
    const Instant silent_at = row.heard_at() + tables.policy_.silence();
    if (tick.now() < silent_at) {
      tick.WakeAt(silent_at);
    } else {
      silent.push_back(*row.connection());
    }
  }
  for (const ConnectionId connection : silent) {
    CloseMember(connection, tables, tick);
  }
}

// Whether the end of the worker's lease is of interest: it holds tasks, or it
// is out of reach and not known as vacant yet.
bool MayHaveLapsed(const MemberName& name, const WorkerRow& worker,
                   const SchedulerTables& tables) {
  if (!tables.tasks_.OnWorker(name).empty()) return true;
  const MemberRow* member = tables.members_.Find(name);
  const bool out_of_reach = member != nullptr && !member->connection();
  const bool known =
      tables.vacant_.count(name) > 0 || tables.vacancy_changes_.count(name) > 0;
  return out_of_reach && !known && worker.granted_at() != Instant();
}

// The workers that hold tasks and whose lease is surely over: it has run out,
// and no later holder can have renewed it, since the store has confirmed this
// epoch after that.
std::vector<MemberName> FindLapsed(SchedulerTables& tables,
                                   SchedulerTick& tick) {
  std::vector<MemberName> lapsed;
  for (const auto& [name, worker] : tables.workers_) {
    if (!MayHaveLapsed(name, worker, tables)) continue;
    const Instant over_at =
        worker.granted_at() + LeaseBound(tables.policy_.task_lease());
    if (tick.now() < over_at) {
      tick.WakeAt(over_at);
    } else if (tables.term_.confirmed_at() < over_at) {
      ConfirmEpoch(tables, tick);
      tick.WakeAt(tables.next_confirm_);
    } else {
      lapsed.push_back(name);
    }
  }
  return lapsed;
}

}  // namespace

void HearMember(ConnectionId connection, SchedulerTables& tables, Instant now) {
  const auto found = tables.connections_.find(connection);
  if (found == tables.connections_.end()) return;
  const MemberRow* member = tables.members_.Find(found->second);
  if (member == nullptr) return;
  tables.members_.Put(found->second,
                      MemberRow::Builder(*member).heard_at(now).Build());
}

void TakeReport(ConnectionId connection, const WorkerReport& report,
                SchedulerTables& tables, SchedulerTick& tick) {
  const auto found = tables.connections_.find(connection);
  if (found == tables.connections_.end()) return;
  const MemberName name = found->second;
  const MemberRow* member = tables.members_.Find(name);
  if (member == nullptr || member->session() != report.session()) return;
  const WorkerRow* known = tables.workers_.Find(name);
  if (known == nullptr) return;
  HearMember(connection, tables, tick.now());
  tables.grants_due_[connection] = report.number();
  if (!report.whole() && !known->reported()) return;
  // What follows is said of the next life.
  if (report.worker_left()) LoseWorker(name, tables, tick);
  if (report.facts()) TakeFacts(name, *report.facts(), tables, tick);
  const bool first = !tables.workers_.Find(name)->reported();
  if (report.whole()) {
    const bool has_worker = report.facts().has_value();
    tables.workers_.Put(name, WorkerRow::Builder(*tables.workers_.Find(name))
                                  .reported(has_worker && !report.more_ends())
                                  .granted_at(tick.now())
                                  .grant_sent_at(Instant())
                                  .Build());
    // A runner without a worker says nothing of what the worker runs.
    if (!has_worker) return;
  }
  tables.workers_.Put(name, WorkerRow::Builder(*tables.workers_.Find(name))
                                .silent(report.silent())
                                .fill_pace(report.fill_pace())
                                .Build());
  if (report.neighbours()) {
    LearnNeighbours(name, *report.neighbours(), tables, tick);
  }
  TakeEnds(name, report, tables, tick);
  if (report.whole() && !report.more_ends()) {
    TakeWholeList(name, report, first, tables, tick);
  } else {
    TakeProgress(name, report, tables);
  }
  TakeRefusals(name, report, tables, tick);
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
    tables.workers_.Put(found->second, WorkerRow::Builder(*worker)
                                           .granted_at(tick.now())
                                           .grant_sent_at(tick.now())
                                           .Build());
    tick.Emit(SendToRunner::Builder()
                  .connection(connection)
                  .message(GrantLease::Builder().report(number).Build())
                  .Build());
  }
}

void ExpireWorkers(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  CloseSilent(tables, tick);
  for (const MemberName& name : FindLapsed(tables, tick)) {
    LogLine(tick, "worker-lost", 0,
            {Field("member", name.value()),
             Field("tasks", tables.tasks_.OnWorker(name).size())});
    const WorkerRow& worker = *tables.workers_.Find(name);
    tables.workers_.Put(name,
                        WorkerRow::Builder(worker).reported(false).Build());
    ReturnAll(name, Reason::kLeaseLapsed, tables, tick);
    MarkVacant(name, tables, tick);
    const MemberRow* member = tables.members_.Find(name);
    if (member == nullptr || !member->connection()) continue;
    // A new session lists anew what the worker runs.
    CloseMember(*member->connection(), tables, tick);
  }
}

}  // namespace quetzalline
