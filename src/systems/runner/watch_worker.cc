#include "systems/runner/watch_worker.h"

#include <set>

#include "systems/cell/log_fields.h"
#include "systems/runner/order_runs.h"
#include "systems/runner/set_pace.h"

namespace quetzalline {
namespace {

// A fence that the worker finds too low is raised by this many at once.
constexpr std::int64_t kFenceLeap = 16;

void ForgetWorker(RunnerTables& tables) {
  tables.clock_.reset();
  tables.lease_end_ms_ = 0;
  tables.runs_ = Table<TaskKey, HeldRun>();
  tables.ends_.clear();
  tables.more_ends_ = false;
  tables.ends_told_ = 0;
  tables.ends_noted_ = 0;
  tables.refusals_.clear();
  tables.calls_.clear();
  tables.holding_ = false;
  tables.fencing_ = false;
  tables.next_hold_ = Instant();
  tables.facts_sequence_ = 0;
  tables.life_confirmed_ = false;
  tables.fill_pace_ = 100;
  tables.session_ =
      HolderSession::Builder(tables.session_).synced(false).Build();
}

Duration HoldWait(const RunnerTables& tables) {
  return IsMixed(tables) ? tables.policy_.mixed_hold_wait()
                         : tables.policy_.hold_wait();
}

void Hold(bool raises_fence, RunnerTables& tables, RunnerTick& tick) {
  (raises_fence ? tables.fencing_ : tables.holding_) = true;
  tick.Emit(WorkerHold::Builder()
                .call(OpenWorkerCall(
                    HoldCall::Builder().raises_fence(raises_fence).Build(),
                    tables, tick.now()))
                .worker(tables.facts_->worker())
                .lease_end_ms(tables.lease_end_ms_)
                .last_seen(tables.life_confirmed_ ? tables.ends_noted_ : 0)
                .fence(CurrentFence(tables))
                .wait(raises_fence ? Duration() : HoldWait(tables))
                .Build());
}

bool HasUnresolved(const RunnerTables& tables) {
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() == HeldStage::kUnresolved) return true;
    const bool never_seen = run.confirmed_at() == Instant();
    if (run.stage() == HeldStage::kStopping && never_seen) return true;
  }
  return false;
}

void TakeRunning(const WorkerAnswer& answer, RunnerTables& tables,
                 RunnerTick& tick) {
  for (const WorkerRun& listed : answer.running()) {
    const RunKey& run = listed.progress().run();
    const HeldRun* known = tables.runs_.Find(run.task());
    const bool same = known != nullptr && known->run() == run.run();
    HeldRun::Builder builder(same ? *known : HeldRun());
    const bool stopping = same && known->stage() == HeldStage::kStopping;
    builder.run(run.run())
        .stage(stopping ? HeldStage::kStopping : HeldStage::kRunning)
        .confirmed_at(tick.now())
        .percent(listed.progress().percent())
        .figure(listed.figure());
    if (!listed.progress().checkpoint().empty()) {
      builder.checkpoint(listed.progress().checkpoint());
    }
    if (!same) {
      LogLine(tick, "run-found", run.task().job(),
              {Field("step", run.task().step()),
               Field("index", run.task().index()), Field("run", run.run())});
      tables.whole_report_due_ =
          tables.whole_report_due_ || tables.session_.synced();
    }
    tables.runs_.Put(run.task(), builder.Build());
  }
}

void TakeEnds(const WorkerAnswer& answer, RunnerTables& tables) {
  for (const RunEnd& end : answer.ends()) {
    if (end.number() <= tables.ends_noted_) continue;
    const HeldRun* run = tables.runs_.Find(end.run().task());
    if (run != nullptr && run->run() <= end.run().run()) {
      tables.runs_.Erase(end.run().task());
    }
    const bool added = tables.ends_.emplace(end.number(), end).second;
    if (added) tables.report_due_ = true;
  }
}

// Runs that the worker does not list although it should: orders that a new
// fence has made void, and runs that were there before the call was made.
void DropMissing(bool fenced, const WorkerCall& call,
                 const WorkerAnswer& answer, RunnerTables& tables,
                 RunnerTick& tick) {
  std::set<TaskKey> listed;
  for (const WorkerRun& run : answer.running()) {
    listed.insert(run.progress().run().task());
  }
  std::vector<RunKey> missing;
  std::vector<Reason> reasons;
  for (const auto& [key, run] : tables.runs_) {
    if (listed.count(key) > 0) continue;
    const bool waits = run.stage() == HeldStage::kStarting ||
                       run.stage() == HeldStage::kUnresolved;
    const bool never_came = waits && fenced && run.fence() < call.fence();
    // A run that was ordered to stop before it was there never appears.
    const bool gone = !waits && (run.confirmed_at() != Instant() || fenced) &&
                      run.confirmed_at() < call.sent_at() &&
                      run.called_at() < call.sent_at();
    if (!never_came && !gone) continue;
    missing.push_back(RunKey::Builder().task(key).run(run.run()).Build());
    reasons.push_back(never_came ? Reason::kNeverArrived
                                 : Reason::kInstanceLost);
  }
  for (std::size_t i = 0; i < missing.size(); ++i) {
    tables.runs_.Erase(missing[i].task());
    RefuseRun(missing[i], reasons[i], tables, tick);
  }
}

}  // namespace

void TakeWorkerSeen(const WorkerSeen& seen, RunnerTables& tables,
                    RunnerTick& tick) {
  const WorkerDescription& facts = seen.facts();
  if (tables.facts_) {
    const bool same = tables.facts_->worker() == facts.worker() &&
                      tables.facts_->born_ms() == facts.born_ms();
    if (!same && facts.born_ms() <= tables.facts_->born_ms()) return;
    if (same && seen.sequence() <= tables.facts_sequence_) return;
    if (!same) ForgetWorker(tables);
    if (same && facts == *tables.facts_) {
      tables.facts_sequence_ = seen.sequence();
      return;
    }
  }
  LogLine(tick, "worker-seen", 0,
          {Field("worker", facts.worker()), Field("born_ms", facts.born_ms()),
           Field("draining", facts.draining() ? 1 : 0)});
  const bool other = !tables.facts_ ||
                     tables.facts_->worker() != facts.worker() ||
                     tables.facts_->born_ms() != facts.born_ms();
  if (other) tables.answered_at_ = tick.now();
  tables.facts_ = facts;
  tables.facts_sequence_ = seen.sequence();
  tables.facts_due_ = true;
  tables.report_due_ = true;
}

void TakeWorkerLeft(const WorkerLeft& left, RunnerTables& tables,
                    RunnerTick& tick) {
  if (!tables.facts_ || tables.facts_->worker() != left.worker()) return;
  LogLine(tick, "worker-left", 0, {Field("worker", left.worker())});
  ForgetWorker(tables);
  tables.facts_.reset();
  tables.worker_left_ = true;
  tables.whole_report_due_ = true;
}

bool CheckLife(const WorkerAnswer& answer, RunnerTables& tables,
               RunnerTick& tick) {
  if (answer.verdict() == WorkerVerdict::kLost) tables.life_confirmed_ = false;
  if (answer.born_ms() == 0 || !tables.facts_) return true;
  if (answer.born_ms() == tables.facts_->born_ms()) {
    tables.life_confirmed_ = true;
    return true;
  }
  if (answer.born_ms() < tables.facts_->born_ms()) return false;
  LogLine(tick, "worker-reborn", 0,
          {Field("worker", tables.facts_->worker()),
           Field("born_ms", answer.born_ms())});
  const WorkerDescription facts = WorkerDescription::Builder(*tables.facts_)
                                      .born_ms(answer.born_ms())
                                      .Build();
  ForgetWorker(tables);
  tables.facts_ = facts;
  tables.facts_due_ = true;
  tables.report_due_ = true;
  return false;
}

void HoldWorker(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.facts_ || tables.session_.epoch() == 0) return;
  if (tick.now() < tables.next_hold_) return tick.WakeAt(tables.next_hold_);
  if (!tables.session_.synced()) {
    if (!tables.fencing_) Hold(true, tables, tick);
    return;
  }
  if (!tables.fencing_ && HasUnresolved(tables)) {
    ++tables.fence_raises_;
    Hold(true, tables, tick);
  }
  if (!tables.holding_) Hold(false, tables, tick);
}

void TakeHoldAnswer(const HoldCall& hold, const WorkerCall& call,
                    const WorkerAnswer& answer, RunnerTables& tables,
                    RunnerTick& tick) {
  (hold.raises_fence() ? tables.fencing_ : tables.holding_) = false;
  if (answer.verdict() != WorkerVerdict::kDone) {
    tables.next_hold_ = tick.now() + tables.policy_.hold_pause();
    if (answer.verdict() == WorkerVerdict::kFenced &&
        call.fence() == CurrentFence(tables)) {
      tables.fence_raises_ += kFenceLeap;
    }
    return;
  }
  TakeRunning(answer, tables, tick);
  TakeEnds(answer, tables);
  const bool fenced =
      hold.raises_fence() && call.fence() == CurrentFence(tables);
  tables.more_ends_ = answer.more_ends();
  // A run that is not listed may have ended where more ends are to come.
  if (!answer.more_ends()) DropMissing(fenced, call, answer, tables, tick);
  // A look returns at once while ends are listed that the holder has not noted.
  if (!answer.ends().empty()) {
    tables.next_hold_ = tick.now() + tables.policy_.noting_pause();
  }
  tables.neighbours_ = SampleNeighbours(tables, tick.now());
  // A tail that is too high is told at once, others with the next report.
  if (tables.neighbours_ && HasTailTooHigh(tables)) tables.report_due_ = true;
  if (!fenced || tables.session_.synced()) return;
  tables.whole_report_due_ = true;
  if (answer.more_ends()) return;
  tables.session_ =
      HolderSession::Builder(tables.session_).synced(true).Build();
}

}  // namespace quetzalline
