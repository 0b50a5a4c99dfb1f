#include "systems/runner/follow_holder.h"

#include <algorithm>
#include <utility>

#include "systems/cell/log_fields.h"
#include "systems/runner/track_silence.h"

namespace quetzalline {
namespace {

// Reports whose sending times are remembered; grants answer one of them.
constexpr std::size_t kReportsRemembered = 32;
// Progress is told when it has moved by this many percent.
constexpr std::int32_t kProgressStep = 20;

bool IsListed(const HeldRun& run) {
  return run.stage() == HeldStage::kRunning ||
         run.stage() == HeldStage::kStopping;
}

std::vector<RunProgress> ListProgress(bool whole, RunnerTables& tables) {
  std::vector<RunProgress> progress;
  std::vector<std::pair<TaskKey, HeldRun>> told;
  for (const auto& [key, run] : tables.runs_) {
    if (!IsListed(run)) continue;
    const bool moved = run.told_percent() < 0 ||
                       run.percent() - run.told_percent() >= kProgressStep ||
                       run.checkpoint() != run.told_checkpoint();
    if (!whole && !moved) continue;
    progress.push_back(
        RunProgress::Builder()
            .run(RunKey::Builder().task(key).run(run.run()).Build())
            .checkpoint(run.checkpoint())
            .percent(run.percent())
            .Build());
    told.emplace_back(key, HeldRun::Builder(run)
                               .told_percent(run.percent())
                               .told_checkpoint(run.checkpoint())
                               .Build());
  }
  for (auto& [key, run] : told) tables.runs_.Put(key, std::move(run));
  return progress;
}

std::vector<RunEnd> ListEnds(bool whole, RunnerTables& tables) {
  std::vector<RunEnd> ends;
  for (const auto& [number, end] : tables.ends_) {
    if (!whole && number <= tables.ends_told_) continue;
    ends.push_back(end);
    tables.ends_told_ = std::max(tables.ends_told_, number);
  }
  return ends;
}

void SendReport(bool whole, RunnerTables& tables, RunnerTick& tick) {
  const std::int64_t number = ++tables.last_report_;
  tables.report_times_[number] = tick.now();
  while (tables.report_times_.size() > kReportsRemembered) {
    tables.report_times_.erase(tables.report_times_.begin());
  }
  WorkerReport::Builder report;
  report.session(tables.session_.session())
      .number(number)
      .whole(whole)
      .more_ends(whole && tables.more_ends_)
      .running(ListProgress(whole, tables))
      .ends(ListEnds(whole, tables))
      .refused(std::exchange(tables.refusals_, {}))
      .worker_left(whole && tables.worker_left_)
      .neighbours(std::exchange(tables.neighbours_, std::nullopt))
      .silent(IsWorkerSilent(tables, tick.now()))
      .fill_pace(tables.fill_pace_);
  tables.told_silent_ = IsWorkerSilent(tables, tick.now());
  if (whole || tables.facts_due_) report.facts(tables.facts_);
  tables.facts_due_ = false;
  if (whole) tables.worker_left_ = false;
  tick.counters().Add(Counter::kHeartbeatsSent);
  tick.Emit(SendToHolder::Builder()
                .connection(*tables.session_.connection())
                .message(report.Build())
                .Build());
}

// Orders of the session before are settled by the first look under the new
// fence, and are not sent again: the new session decides anew.
void LeaveOrdersOpen(RunnerTables& tables) {
  std::vector<std::pair<TaskKey, HeldRun>> open;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() != HeldStage::kStarting) continue;
    open.emplace_back(
        key, HeldRun::Builder(run).stage(HeldStage::kUnresolved).Build());
  }
  for (auto& [key, run] : open) tables.runs_.Put(key, std::move(run));
}

}  // namespace

void TakeAttach(ConnectionId connection, const AttachRunner& attach,
                RunnerTables& tables, RunnerTick& tick) {
  const HolderSession& known = tables.session_;
  const AttachRunner followed = AttachRunner::Builder()
                                    .epoch(known.epoch())
                                    .session(known.session())
                                    .Build();
  if (attach <= followed) {
    tick.Emit(
        SendToHolder::Builder()
            .connection(connection)
            .message(HolderSuperseded::Builder().epoch(known.epoch()).Build())
            .Build());
    tick.Emit(CloseConnection::Builder().connection(connection).Build());
    return;
  }
  if (known.connection()) {
    tick.Emit(
        SendToHolder::Builder()
            .connection(*known.connection())
            .message(HolderSuperseded::Builder().epoch(attach.epoch()).Build())
            .Build());
    tick.Emit(
        CloseConnection::Builder().connection(*known.connection()).Build());
  }
  LogLine(tick, "holder-followed", 0,
          {Field("epoch", attach.epoch()), Field("session", attach.session()),
           Field("runs", tables.runs_.size())});
  tables.session_ = HolderSession::Builder()
                        .connection(connection)
                        .epoch(attach.epoch())
                        .session(attach.session())
                        .Build();
  tables.holder_heard_ = tick.now();
  tables.fence_raises_ = 0;
  tables.report_times_.clear();
  tables.refusals_.clear();
  LeaveOrdersOpen(tables);
  // Without a worker there is nothing to list first.
  tables.whole_report_due_ = !tables.facts_.has_value();
}

void TakeGrant(const GrantLease& grant, RunnerTables& tables,
               RunnerTick& tick) {
  tables.holder_heard_ = tick.now();
  const auto sent = tables.report_times_.find(grant.report());
  if (sent == tables.report_times_.end() || !tables.clock_) return;
  if (IsWorkerSilent(tables, tick.now())) return;
  // The worker's clock may be slow, so that less of it has passed than here.
  constexpr std::int64_t kSlowestPerMille = 970;
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      sent->second - tables.clock_->read_at());
  const std::int64_t worker_passed =
      passed.count() > 0 ? passed.count() * kSlowestPerMille / 1000
                         : passed.count();
  const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(
      tables.policy_.task_lease());
  const std::int64_t until =
      tables.clock_->clock_ms() + worker_passed + lease.count();
  tables.lease_end_ms_ = std::max(tables.lease_end_ms_, until);
}

void TakeNoted(const AcknowledgeRunEnds& noted, RunnerTables& tables) {
  if (!tables.facts_ || tables.facts_->born_ms() != noted.born_ms()) return;
  tables.ends_noted_ = std::max(tables.ends_noted_, noted.up_to());
  tables.ends_.erase(tables.ends_.begin(),
                     tables.ends_.upper_bound(tables.ends_noted_));
  if (tables.ends_.empty()) tables.next_hold_ = Instant();
}

void LoseConnection(const ConnectionClosed& closed, RunnerTables& tables) {
  if (tables.session_.connection() != closed.connection()) return;
  tables.session_ =
      HolderSession::Builder(tables.session_).connection(std::nullopt).Build();
}

void CheckHolder(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.session_.connection()) return;
  const Instant silent_at =
      tables.holder_heard_ + tables.policy_.holder_silence();
  if (tick.now() < silent_at) return tick.WakeAt(silent_at);
  LogLine(tick, "holder-silent", 0, {Field("epoch", tables.session_.epoch())});
  const ConnectionId connection = *tables.session_.connection();
  tick.Emit(CloseConnection::Builder().connection(connection).Build());
  LoseConnection(ConnectionClosed::Builder().connection(connection).Build(),
                 tables);
}

void ReportWorker(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.session_.connection()) return;
  // A worker that was not looked at in this session may run anything.
  const bool whole =
      tables.whole_report_due_ &&
      (!tables.facts_ || tables.session_.synced() || tables.more_ends_);
  const bool due =
      whole || tables.report_due_ || tick.now() >= tables.next_report_;
  if (due) {
    if (whole) tables.whole_report_due_ = false;
    tables.report_due_ = false;
    tables.next_report_ = tick.now() + tables.policy_.report_interval();
    SendReport(whole, tables, tick);
  }
  tick.WakeAt(tables.next_report_);
}

}  // namespace quetzalline
