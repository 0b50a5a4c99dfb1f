#include "systems/runner/watch_worker.h"

#include <set>

#include "systems/cell/log_fields.h"
#include "systems/runner/record_crash.h"
#include "systems/runner/send_commands.h"
#include "systems/runner/throttle_best_effort_tasks.h"
#include "systems/runner/track_foreign_leases.h"

namespace quetzalline {
namespace {

// Increment of a fencing token that the worker has rejected as too low.
constexpr std::int64_t kFencingTokenIncrement = 16;

void ResetWorkerState(RunnerTables& tables) {
  tables.clock_.reset();
  tables.lease_end_ms_ = 0;
  tables.lease_called_at_ = Instant();
  tables.runs_ = Table<TaskKey, TrackedRun>();
  tables.ends_.clear();
  tables.more_ends_ = false;
  tables.last_reported_end_ = 0;
  tables.ends_noted_ = 0;
  tables.refusals_.clear();
  tables.queued_commands_.clear();
  tables.calls_.clear();
  tables.poll_in_flight_ = false;
  tables.fence_poll_in_flight_ = false;
  tables.next_poll_ = Instant();
  tables.facts_sequence_ = 0;
  tables.incarnation_confirmed_ = false;
  tables.worker_heard_at_ = Instant();
  tables.worker_lost_at_.reset();
  tables.survival_checks_.clear();
  tables.fill_pace_ = 100;
  // Voids the commands without an answer, which may still reach the next
  // incarnation.
  ++tables.fence_raises_;
  tables.session_ =
      HolderSession::Builder(tables.session_).synced(false).Build();
}

bool IsSameIncarnation(const WorkerDescription& a, const WorkerDescription& b) {
  return a.worker() == b.worker() && a.born_ms() == b.born_ms();
}

// Handles the end of the known incarnation, which another one has replaced. The
// worker is not reported as left: its tasks stay assigned until the next
// incarnation has listed its runs, since a late announcement may have hidden
// the incarnation that runs them.
void HandleWorkerReplaced(RunnerTables& tables, RunnerTick& tick) {
  LogLine(tick, "worker-replaced", 0,
          {Field("worker", tables.facts_->worker()),
           Field("born_ms", tables.facts_->born_ms())});
  tables.replaced_ = tables.facts_;
  RecordCrash(tables, tick);
  ResetWorkerState(tables);
  tables.facts_.reset();
  tables.full_report_due_ = true;
}

Duration PollTimeout(const RunnerTables& tables) {
  return HasMixedTasks(tables) ? tables.policy_.mixed_hold_wait()
                               : tables.policy_.hold_wait();
}

void EmitPoll(const StatusPollCall& poll, Duration wait, RunnerTables& tables,
              RunnerTick& tick) {
  tick.Emit(
      WorkerPoll::Builder()
          .call(RegisterWorkerCall(poll, tables, tick.now()))
          .worker(tables.facts_->worker())
          .born_ms(tables.facts_->born_ms())
          .lease_end_ms(LeaseEndToSend(tables, tick.now()))
          .last_seen(tables.incarnation_confirmed_ ? tables.ends_noted_ : 0)
          .fence(CurrentFencingToken(tables))
          .wait(wait)
          .Build());
}

void SendPoll(bool raises_fence, RunnerTables& tables, RunnerTick& tick) {
  (raises_fence ? tables.fence_poll_in_flight_ : tables.poll_in_flight_) = true;
  EmitPoll(StatusPollCall::Builder().raises_fence(raises_fence).Build(),
           raises_fence ? Duration() : PollTimeout(tables), tables, tick);
}

// Polls the worker beside the poll in flight, which may wait for an end.
void SendSurvivalCheck(RunnerTables& tables, RunnerTick& tick) {
  auto& checks = tables.survival_checks_;
  if (checks.empty() || tick.now() < *checks.begin()) {
    if (!checks.empty()) tick.WakeAt(*checks.begin());
    return;
  }
  checks.erase(checks.begin(), checks.upper_bound(tick.now()));
  EmitPoll(StatusPollCall::Builder().checks_survival(true).Build(), Duration(),
           tables, tick);
  if (!checks.empty()) tick.WakeAt(*checks.begin());
}

// Updates the runs that the worker lists as running. Adopts no unknown run from
// an answer that was overtaken, since the run may have ended.
void UpdateListedRuns(const WorkerAnswer& answer, bool overtaken,
                      RunnerTables& tables, RunnerTick& tick) {
  for (const WorkerRun& listed : answer.running()) {
    const RunKey& run = listed.progress().run();
    const TrackedRun* known = tables.runs_.Find(run.task());
    const bool same = known != nullptr && known->run() == run.run();
    if (!same && overtaken) continue;
    TrackedRun::Builder builder(same ? *known : TrackedRun());
    const bool stopping = same && known->stage() == TrackedRunStage::kStopping;
    builder.run(run.run())
        .stage(stopping ? TrackedRunStage::kStopping
                        : TrackedRunStage::kRunning)
        .confirmed_at(tick.now())
        .percent(listed.progress().percent())
        .figure(listed.figure());
    if (!listed.progress().checkpoint().empty()) {
      builder.checkpoint(listed.progress().checkpoint());
    }
    if (!same) {
      LogLine(tick, "unknown-run-listed", run.task().job(),
              {Field("step", run.task().step()),
               Field("index", run.task().index()), Field("run", run.run())});
      tables.full_report_due_ =
          tables.full_report_due_ || tables.session_.synced();
    }
    tables.runs_.Put(run.task(), builder.Build());
  }
}

void RecordCompletions(const WorkerAnswer& answer, RunnerTables& tables) {
  for (const RunEnd& end : answer.ends()) {
    if (end.number() <= tables.ends_noted_) continue;
    const TrackedRun* run = tables.runs_.Find(end.run().task());
    if (run != nullptr && run->run() <= end.run().run()) {
      tables.runs_.Erase(end.run().task());
    }
    const bool added = tables.ends_.emplace(end.number(), end).second;
    if (added) tables.report_due_ = true;
  }
}

// Refuses the runs that the worker should list but does not: start commands
// that a new fencing token has invalidated, and runs that the worker had before
// the poll was sent.
void RefuseMissing(bool fenced, const WorkerCall& call,
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
    // The worker can't know a run whose start was not sent.
    if (run.stage() == TrackedRunStage::kQueued) continue;
    const bool pending = run.stage() == TrackedRunStage::kStarting ||
                         run.stage() == TrackedRunStage::kUnresolved;
    const bool invalidated = pending && fenced && run.fence() < call.fence();
    // A run whose stop command came before the run was there never appears. A
    // stop command starts nothing, so the time of the last one is no matter:
    // there may be one during every poll.
    const bool lost = !pending && (run.confirmed_at() != Instant() || fenced) &&
                      run.confirmed_at() < call.sent_at() &&
                      run.started_at() < call.sent_at();
    if (!invalidated && !lost) continue;
    missing.push_back(RunKey::Builder().task(key).run(run.run()).Build());
    reasons.push_back(invalidated ? Reason::kNeverArrived
                                  : Reason::kInstanceLost);
  }
  for (std::size_t i = 0; i < missing.size(); ++i) {
    tables.runs_.Erase(missing[i].task());
    RefuseRun(missing[i], reasons[i], tables, tick);
  }
}

}  // namespace

void HandleWorkerAnnounced(const WorkerAnnounced& seen, RunnerTables& tables,
                           RunnerTick& tick) {
  const WorkerDescription& facts = seen.facts();
  if (tables.replaced_ && IsSameIncarnation(*tables.replaced_, facts)) return;
  const bool same = tables.facts_ && IsSameIncarnation(*tables.facts_, facts);
  if (tables.facts_) {
    if (!same && facts.born_ms() <= tables.facts_->born_ms()) return;
    if (same && seen.sequence() <= tables.facts_sequence_) return;
    if (!same) {
      RecordCrash(tables, tick);
      // Another id rejects the calls to this one.
      const bool same_id = facts.worker() == tables.facts_->worker();
      if (same_id) KeepForeignLease(tables, tick.now());
      ResetWorkerState(tables);
    }
    if (same && facts == *tables.facts_) {
      tables.facts_sequence_ = seen.sequence();
      return;
    }
  }
  if (!tables.facts_) ResolveUnresponsive(facts, tables, tick);
  LogLine(tick, "worker-seen", 0,
          {Field("worker", facts.worker()), Field("born_ms", facts.born_ms()),
           Field("draining", facts.draining() ? 1 : 0)});
  if (!same) tables.worker_answered_at_ = tick.now();
  tables.facts_ = facts;
  if (facts.draining()) WithdrawStarts(Reason::kDrain, tables, tick);
  tables.facts_sequence_ = seen.sequence();
  tables.facts_due_ = true;
  tables.report_due_ = true;
}

void HandleWorkerLeft(const WorkerLeft& left, RunnerTables& tables,
                      RunnerTick& tick) {
  if (!tables.facts_ || tables.facts_->worker() != left.worker()) return;
  // The announcement of an earlier incarnation may arrive late.
  if (left.born_ms() != 0 && left.born_ms() != tables.facts_->born_ms()) {
    LogLine(tick, "departure-ignored", 0,
            {Field("worker", left.worker()), Field("born_ms", left.born_ms()),
             Field("known_born_ms", tables.facts_->born_ms())});
    return;
  }
  LogLine(tick, "worker-left", 0, {Field("worker", left.worker())});
  ResetWorkerState(tables);
  tables.foreign_lease_end_ = Instant();
  tables.facts_.reset();
  tables.worker_left_ = true;
  tables.full_report_due_ = true;
}

bool CheckWorkerIncarnation(const WorkerAnswer& answer, RunnerTables& tables,
                            RunnerTick& tick) {
  const bool not_sent = answer.verdict() == WorkerCallOutcome::kNotSent;
  if (answer.verdict() == WorkerCallOutcome::kLost ||
      (not_sent && answer.born_ms() == 0)) {
    tables.incarnation_confirmed_ = false;
    RecordAnswer(false, tables, tick.now());
    return true;
  }
  if (!tables.facts_) return true;
  // All calls in calls_ were sent after the known incarnation was announced, so
  // another one that answers has replaced it, even if it gives an earlier
  // start.
  if (answer.verdict() == WorkerCallOutcome::kOtherLife) {
    HandleWorkerReplaced(tables, tick);
    return false;
  }
  const bool same = answer.born_ms() == tables.facts_->born_ms();
  if (same) tables.incarnation_confirmed_ = true;
  // An answer that names no incarnation is one of the known incarnation only
  // while that is confirmed.
  if (tables.incarnation_confirmed_) {
    tables.worker_answered_at_ = tick.now();
    if (same || answer.born_ms() == 0) RecordAnswer(true, tables, tick.now());
  }
  if (same || answer.born_ms() == 0) return true;
  LogLine(tick, "worker-restarted", 0,
          {Field("worker", tables.facts_->worker()),
           Field("born_ms", answer.born_ms())});
  // The next incarnation may have another capacity, which its announcement
  // shows; until then nothing fits.
  const WorkerDescription facts = WorkerDescription::Builder(*tables.facts_)
                                      .born_ms(answer.born_ms())
                                      .cpu(0)
                                      .memory_mb(0)
                                      .gpu(0)
                                      .Build();
  tables.replaced_ = tables.facts_;
  RecordCrash(tables, tick);
  KeepForeignLease(tables, tick.now());
  ResetWorkerState(tables);
  tables.facts_ = facts;
  tables.worker_answered_at_ = tick.now();
  tables.facts_due_ = true;
  tables.report_due_ = true;
  return false;
}

void SendWorkerPolls(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.facts_ || tables.session_.epoch() == 0) return;
  SendSurvivalCheck(tables, tick);
  if (tick.now() < tables.next_poll_) return tick.WakeAt(tables.next_poll_);
  if (!tables.session_.synced()) {
    if (!tables.fence_poll_in_flight_) SendPoll(true, tables, tick);
    return;
  }
  if (!tables.fence_poll_in_flight_ && HasUnresolvedRuns(tables)) {
    ++tables.fence_raises_;
    SendPoll(true, tables, tick);
  }
  if (!tables.poll_in_flight_) SendPoll(false, tables, tick);
}

void HandlePollAnswer(const StatusPollCall& poll, const WorkerCall& call,
                      const WorkerAnswer& answer, RunnerTables& tables,
                      RunnerTick& tick) {
  // The time of the answer is all that matters here.
  if (poll.checks_survival()) {
    tables.report_due_ = true;
    return;
  }
  (poll.raises_fence() ? tables.fence_poll_in_flight_
                       : tables.poll_in_flight_) = false;
  if (answer.verdict() != WorkerCallOutcome::kDone) {
    tables.next_poll_ = tick.now() + tables.policy_.hold_pause();
    if (answer.verdict() == WorkerCallOutcome::kFenced &&
        call.fence() == CurrentFencingToken(tables)) {
      tables.fence_raises_ += kFencingTokenIncrement;
    }
    return;
  }
  // Another answer was handled since this poll was sent, and may be the later
  // one.
  const bool overtaken = call.sent_at() < tables.listed_at_;
  tables.listed_at_ = tick.now();
  UpdateListedRuns(answer, overtaken, tables, tick);
  RecordCompletions(answer, tables);
  const bool fenced =
      poll.raises_fence() && call.fence() == CurrentFencingToken(tables);
  tables.more_ends_ = answer.more_ends();
  // While more completions are to be listed, a missing run may be among them.
  if (!answer.more_ends()) RefuseMissing(fenced, call, answer, tables, tick);
  // A poll returns immediately while the worker lists unacknowledged
  // completions, so the next one is delayed.
  if (!answer.ends().empty()) {
    tables.next_poll_ = tick.now() + tables.policy_.noting_pause();
  }
  tables.neighbours_ = SampleInterference(tables, tick.now());
  // A tail latency above its target is reported immediately, others with the
  // next report.
  if (tables.neighbours_ && IsTailOverTarget(tables)) tables.report_due_ = true;
  if (!fenced || tables.session_.synced()) return;
  tables.full_report_due_ = true;
  if (overtaken || answer.more_ends()) return;
  tables.session_ =
      HolderSession::Builder(tables.session_).synced(true).Build();
}

}  // namespace quetzalline
