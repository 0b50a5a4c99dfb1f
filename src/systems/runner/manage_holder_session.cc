#include "systems/runner/manage_holder_session.h"

#include <algorithm>
#include <utility>

#include "systems/cell/log_fields.h"
#include "systems/runner/detect_unresponsive_worker.h"
#include "systems/runner/record_crash.h"
#include "systems/runner/send_commands.h"
#include "systems/runner/track_foreign_leases.h"
#include "systems/runner/worker_time.h"

namespace quetzalline {
namespace {

// Number of latest reports whose send times are stored at least; a lease grant
// refers to one of them. Those to which a start may still refer are stored,
// too.
constexpr std::size_t kMaxReportTimes = 32;
// Progress is reported once it has advanced by this many percentage points.
constexpr std::int32_t kProgressStepPercent = 20;

bool IsListed(const TrackedRun& run) {
  return run.stage() == TrackedRunStage::kRunning ||
         run.stage() == TrackedRunStage::kStopping;
}

// Returns the time since the worker last answered in milliseconds, or -1.
std::int64_t TimeSinceAnswer(const RunnerTables& tables, Instant now) {
  if (tables.worker_heard_at_ == Instant()) return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             now - tables.worker_heard_at_)
      .count();
}

// Returns the longest time that a foreign lease may still last, in
// milliseconds; 0 if there can be none.
std::int64_t RemainingForeignLease(const RunnerTables& tables, Instant now) {
  const Duration remaining = ForeignLeaseEnd(tables) - now;
  return std::chrono::ceil<std::chrono::milliseconds>(
             std::max(remaining, Duration()))
      .count();
}

std::vector<RunProgress> CollectProgress(bool whole, RunnerTables& tables) {
  std::vector<RunProgress> progress;
  std::vector<std::pair<TaskKey, TrackedRun>> reported;
  for (const auto& [key, run] : tables.runs_) {
    if (!IsListed(run)) continue;
    const bool changed =
        run.told_percent() < 0 ||
        run.percent() - run.told_percent() >= kProgressStepPercent ||
        run.checkpoint() != run.told_checkpoint();
    if (!whole && !changed) continue;
    progress.push_back(
        RunProgress::Builder()
            .run(RunKey::Builder().task(key).run(run.run()).Build())
            .checkpoint(run.checkpoint())
            .percent(run.percent())
            .Build());
    reported.emplace_back(key, TrackedRun::Builder(run)
                                   .told_percent(run.percent())
                                   .told_checkpoint(run.checkpoint())
                                   .Build());
  }
  for (auto& [key, run] : reported) tables.runs_.Put(key, std::move(run));
  return progress;
}

std::vector<RunEnd> CollectCompletions(bool whole, RunnerTables& tables) {
  std::vector<RunEnd> ends;
  for (const auto& [number, end] : tables.ends_) {
    if (!whole && number <= tables.last_reported_end_) continue;
    ends.push_back(end);
    tables.last_reported_end_ = std::max(tables.last_reported_end_, number);
  }
  return ends;
}

void SendReport(bool whole, RunnerTables& tables, RunnerTick& tick) {
  const std::int64_t number = ++tables.last_report_;
  tables.report_times_[number] = tick.now();
  auto& times = tables.report_times_;
  while (times.size() > kMaxReportTimes &&
         times.begin()->second + tables.policy_.start_validity() <=
             tick.now()) {
    times.erase(times.begin());
  }
  WorkerReport::Builder report;
  report.session(tables.session_.session())
      .number(number)
      .whole(whole)
      .more_ends(whole && tables.more_ends_)
      .running(CollectProgress(whole, tables))
      .ends(CollectCompletions(whole, tables))
      .refused(std::exchange(tables.refusals_, {}))
      .worker_left(whole && tables.worker_left_)
      .neighbours(std::exchange(tables.neighbours_, std::nullopt))
      .silent(IsWorkerUnresponsive(tables, tick.now()))
      .fill_pace(tables.fill_pace_)
      .crashes(CollectCrashes(tables, tick.now()))
      .heard_ms(TimeSinceAnswer(tables, tick.now()))
      .foreign_lease_ms(RemainingForeignLease(tables, tick.now()));
  tables.reported_unresponsive_ = IsWorkerUnresponsive(tables, tick.now());
  if (whole || tables.facts_due_) report.facts(tables.facts_);
  tables.facts_due_ = false;
  if (whole && tables.facts_) tables.worker_left_ = false;
  tick.counters().Add(Counter::kHeartbeatsSent);
  tick.Emit(SendToHolder::Builder()
                .connection(*tables.session_.connection())
                .message(report.Build())
                .Build());
}

// Start commands of the previous session are not sent again, because the new
// session makes its own decisions. The first poll under the new fencing token
// shows whether they took effect.
void MarkStartsUnresolved(RunnerTables& tables) {
  std::vector<std::pair<TaskKey, TrackedRun>> unresolved;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() != TrackedRunStage::kStarting) continue;
    unresolved.emplace_back(
        key,
        TrackedRun::Builder(run).stage(TrackedRunStage::kUnresolved).Build());
  }
  for (auto& [key, run] : unresolved) tables.runs_.Put(key, std::move(run));
}

// Tells a holder that another one has replaced it, and closes its connection.
void RejectHolder(ConnectionId connection, std::int64_t epoch,
                  RunnerTick& tick) {
  tick.Emit(SendToHolder::Builder()
                .connection(connection)
                .message(HolderSuperseded::Builder().epoch(epoch).Build())
                .Build());
  tick.Emit(CloseConnection::Builder().connection(connection).Build());
}

}  // namespace

void HandleAttach(ConnectionId connection, const AttachRunner& attach,
                  RunnerTables& tables, RunnerTick& tick) {
  const HolderSession& current = tables.session_;
  const AttachRunner followed = AttachRunner::Builder()
                                    .epoch(current.epoch())
                                    .session(current.session())
                                    .Build();
  if (attach <= followed || attach.epoch() < tables.stored_epoch_) {
    return RejectHolder(connection,
                        std::max(current.epoch(), tables.stored_epoch_), tick);
  }
  if (current.connection()) {
    RejectHolder(*current.connection(), attach.epoch(), tick);
  }
  LogLine(tick, "holder-followed", 0,
          {Field("epoch", attach.epoch()), Field("session", attach.session()),
           Field("runs", tables.runs_.size())});
  tables.session_ = HolderSession::Builder()
                        .connection(connection)
                        .epoch(attach.epoch())
                        .session(attach.session())
                        .Build();
  tables.holder_heard_at_ = tick.now();
  tables.fence_raises_ = 0;
  tables.report_times_.clear();
  WithdrawStarts(Reason::kStaleEpoch, tables, tick);
  tables.refusals_.clear();
  MarkStartsUnresolved(tables);
  // Without a known worker there is nothing to poll before the full report.
  tables.full_report_due_ = !tables.facts_.has_value();
}

void HandleHolderEpochSeen(const HolderEpochSeen& seen, RunnerTables& tables,
                           RunnerTick& tick) {
  // Not the highest one: what another writer left may be replaced by less.
  tables.stored_epoch_ = seen.epoch();
  const HolderSession& session = tables.session_;
  if (!session.connection() || session.epoch() >= seen.epoch()) return;
  LogLine(
      tick, "holder-superseded", 0,
      {Field("epoch", session.epoch()), Field("stored_epoch", seen.epoch())});
  const ConnectionId connection = *session.connection();
  RejectHolder(connection, seen.epoch(), tick);
  HandleHolderDisconnected(
      ConnectionClosed::Builder().connection(connection).Build(), tables, tick);
}

void HandleLeaseGrant(const GrantLease& grant, RunnerTables& tables,
                      RunnerTick& tick) {
  tables.holder_heard_at_ = tick.now();
  const auto sent = tables.report_times_.find(grant.report());
  if (sent == tables.report_times_.end() || !tables.clock_) return;
  if (IsWorkerUnresponsive(tables, tick.now())) return;
  const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(
      tables.policy_.task_lease());
  const std::int64_t lease_end =
      EarliestWorkerTime(sent->second, *tables.clock_) + lease.count();
  tables.lease_end_ms_ = std::max(tables.lease_end_ms_, lease_end);
}

void HandleAcknowledgedCompletions(const AcknowledgeRunEnds& noted,
                                   RunnerTables& tables) {
  if (!tables.facts_ || tables.facts_->born_ms() != noted.born_ms()) return;
  tables.ends_noted_ = std::max(tables.ends_noted_, noted.up_to());
  tables.ends_.erase(tables.ends_.begin(),
                     tables.ends_.upper_bound(tables.ends_noted_));
  if (tables.ends_.empty()) tables.next_poll_ = Instant();
}

void HandleHolderDisconnected(const ConnectionClosed& closed,
                              RunnerTables& tables, RunnerTick& tick) {
  if (tables.session_.connection() != closed.connection()) return;
  // The holder can't revoke them any more.
  WithdrawStarts(Reason::kConnectionLost, tables, tick);
  tables.session_ =
      HolderSession::Builder(tables.session_).connection(std::nullopt).Build();
}

void CheckHolderContact(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.session_.connection()) return;
  const Instant timeout_at =
      tables.holder_heard_at_ + tables.policy_.holder_silence();
  if (tick.now() < timeout_at) return tick.WakeAt(timeout_at);
  LogLine(tick, "holder-unresponsive", 0,
          {Field("epoch", tables.session_.epoch())});
  const ConnectionId connection = *tables.session_.connection();
  tick.Emit(CloseConnection::Builder().connection(connection).Build());
  HandleHolderDisconnected(
      ConnectionClosed::Builder().connection(connection).Build(), tables, tick);
}

void SendDueReport(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.session_.connection()) return;
  // The runs of a worker that was not polled in this session are unknown. Only
  // before its runs are known is a list sent that lacks some of its ends;
  // afterwards the list waits for them, and they are reported meanwhile.
  const bool whole =
      tables.full_report_due_ &&
      (!tables.facts_ || tables.session_.synced() != tables.more_ends_);
  const bool due =
      whole || tables.report_due_ || tick.now() >= tables.next_report_;
  if (due) {
    if (whole) tables.full_report_due_ = false;
    tables.report_due_ = false;
    tables.next_report_ = tick.now() + tables.policy_.report_interval();
    SendReport(whole, tables, tick);
  }
  tick.WakeAt(tables.next_report_);
}

}  // namespace quetzalline
