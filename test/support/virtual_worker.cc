#include "support/virtual_worker.h"

#include <algorithm>
#include <utility>

namespace quetzalline {
namespace {

constexpr Duration kOneWayLatency = std::chrono::microseconds(200);
constexpr Duration kCommandTimeout = std::chrono::milliseconds(500);
constexpr Duration kStopDuration = std::chrono::milliseconds(100);
constexpr std::int64_t kMaxLeaseMs = 6000;
constexpr std::int64_t kRoundingMs = 10;
// An earlier capacity counts for the time after which a runner counts as in
// touch, and one heartbeat.
constexpr Duration kRoomChangeAllowance =
    std::chrono::milliseconds(4000 + 1500);
constexpr std::int64_t kMaxPercentDraw = 99;
constexpr std::int64_t kMinLateDelayUs = 1'000'000;
constexpr std::int64_t kLateDelayRangeUs = 4'000'000;
// The worker's clock loses one millisecond in this many.
constexpr std::int64_t kClockDriftDivisor = 60;

std::int64_t ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

VirtualWorker::VirtualWorker(EventQueue& events, JobInvariantLog& log,
                             std::string name, StepLookup step_lookup,
                             CrashLookup crash_lookup, std::uint64_t seed)
    : events_(events),
      log_(log),
      name_(std::move(name)),
      step_lookup_(std::move(step_lookup)),
      crash_lookup_(std::move(crash_lookup)),
      random_(seed),
      started_at_(events.now()) {
  born_ms_ = ToMilliseconds(events_.now().time_since_epoch()) + 1;
}

std::int64_t VirtualWorker::ClockMs() const {
  const std::int64_t passed = ToMilliseconds(events_.now() - started_at_);
  return 1000 + passed - passed / kClockDriftDivisor;
}

WorkerAnswer VirtualWorker::MakeListing(std::uint64_t call,
                                        WorkerCallOutcome verdict) const {
  std::vector<WorkerRun> running;
  for (const auto& [task, run] : runs_) {
    running.push_back(
        WorkerRun::Builder()
            .progress(
                RunProgress::Builder()
                    .run(RunKey::Builder().task(task).run(run.run_).Build())
                    .Build())
            .Build());
  }
  std::vector<RunEnd> ends;
  for (const auto& [number, end] : ends_) ends.push_back(end);
  return WorkerAnswer::Builder()
      .call(call)
      .verdict(verdict)
      .born_ms(born_ms_)
      .clock_ms(ClockMs())
      .running(std::move(running))
      .ends(std::move(ends))
      .Build();
}

// Delivers the answer after the one-way latency. The answer of a mute worker is
// lost, and the call times out.
void VirtualWorker::Reply(const Answer& answer, const WorkerAnswer& result) {
  if (mute_) {
    const WorkerAnswer lost = WorkerAnswer::Builder()
                                  .call(result.call())
                                  .verdict(WorkerCallOutcome::kLost)
                                  .Build();
    events_.After(kCommandTimeout, [answer, lost] { answer(lost); });
    return;
  }
  events_.After(kOneWayLatency, [answer, result] { answer(result); });
}

// Keeps a call until the worker goes on. The caller's connection times out.
void VirtualWorker::Hold(std::uint64_t call, const Answer& answer,
                         Duration timeout, std::function<void()> execute) {
  held_.push_back(std::move(execute));
  const WorkerAnswer lost = WorkerAnswer::Builder()
                                .call(call)
                                .verdict(WorkerCallOutcome::kLost)
                                .Build();
  events_.After(timeout, [answer, lost] { answer(lost); });
}

void VirtualWorker::SetHung(bool hung) {
  hung_ = hung;
  if (hung) return;
  for (const auto& execute : std::exchange(held_, {})) execute();
}

// A late command times out and is executed seconds later, unless the worker has
// restarted: a new incarnation does not know the commands of an earlier one.
void VirtualWorker::ExecuteCommand(
    std::uint64_t call, const std::string& worker, std::int64_t call_fence,
    Answer answer, std::function<WorkerCallOutcome(bool late)> work) {
  const bool late = UniformInt(random_, kMaxPercentDraw) < late_percent_;
  const auto execute = [this, worker, call_fence, work, late,
                        incarnation = incarnation_] {
    if (!alive_ || incarnation != incarnation_) return WorkerCallOutcome::kLost;
    if (worker != name_) return WorkerCallOutcome::kOtherLife;
    if (call_fence < fence_) return WorkerCallOutcome::kFenced;
    fence_ = call_fence;
    return work(late);
  };
  if (late) {
    events_.After(
        Duration(kMinLateDelayUs + UniformInt(random_, kLateDelayRangeUs)),
        [execute] { execute(); });
    events_.After(kCommandTimeout, [call, answer] {
      answer(WorkerAnswer::Builder()
                 .call(call)
                 .verdict(WorkerCallOutcome::kLost)
                 .Build());
    });
    return;
  }
  events_.After(kOneWayLatency, [this, call, answer, execute] {
    if (hung_ && alive_) {
      return Hold(call, answer, kCommandTimeout, [execute] { execute(); });
    }
    const WorkerCallOutcome verdict = execute();
    Reply(answer, WorkerAnswer::Builder()
                      .call(call)
                      .verdict(verdict)
                      .born_ms(born_ms_)
                      .clock_ms(ClockMs())
                      .Build());
  });
}

void VirtualWorker::Perform(const WorkerStart& call, Answer answer) {
  ExecuteCommand(call.call(), call.worker(), call.fence(), std::move(answer),
                 [this, call](bool late) { return ApplyStart(call, late); });
}

void VirtualWorker::Perform(const WorkerStop& call, Answer answer) {
  ExecuteCommand(call.call(), call.worker(), call.fence(), std::move(answer),
                 [this, call](bool) { return ApplyStop(call); });
}

void VirtualWorker::Perform(const WorkerThrottle& call, Answer answer) {
  ExecuteCommand(call.call(), call.worker(), call.fence(), std::move(answer),
                 [](bool) { return WorkerCallOutcome::kDone; });
}

void VirtualWorker::Perform(const WorkerPoll& call, Answer answer) {
  events_.After(kOneWayLatency, [this, call, answer] {
    const auto send = [this, answer](const WorkerAnswer& result) {
      Reply(answer, result);
    };
    if (!alive_) {
      return send(MakeListing(call.call(), WorkerCallOutcome::kLost));
    }
    if (hung_) {
      return Hold(call.call(), answer, call.wait() + kCommandTimeout,
                  [this, call, incarnation = incarnation_] {
                    const bool same = incarnation == incarnation_;
                    if (!same || call.fence() < fence_) return;
                    fence_ = call.fence();
                    ExtendLease(call.lease_end_ms());
                  });
    }
    if (call.worker() != name_) {
      // A worker that another one was expected to be lists nothing of itself.
      return send(WorkerAnswer::Builder()
                      .call(call.call())
                      .verdict(WorkerCallOutcome::kOtherLife)
                      .clock_ms(ClockMs())
                      .Build());
    }
    if (call.fence() < fence_) {
      return send(MakeListing(call.call(), WorkerCallOutcome::kFenced));
    }
    fence_ = call.fence();
    ExtendLease(call.lease_end_ms());
    DropAcknowledgedEnds(call.last_seen());
    if (!ends_.empty() || call.wait() == Duration()) {
      return send(MakeListing(call.call(), WorkerCallOutcome::kDone));
    }
    pending_polls_[call.call()] = {call.call(), answer};
    events_.After(call.wait(), [this, number = call.call()] {
      const auto found = pending_polls_.find(number);
      if (found == pending_polls_.end()) return;
      const PendingPoll waiting = found->second;
      pending_polls_.erase(found);
      const WorkerAnswer result =
          MakeListing(waiting.call_, WorkerCallOutcome::kDone);
      if (mute_) return Reply(waiting.answer_, result);
      waiting.answer_(result);
    });
  });
}

void VirtualWorker::DropAcknowledgedEnds(std::int64_t last_seen) {
  while (!ends_.empty() && ends_.begin()->first <= last_seen) {
    const auto& [number, end] = *ends_.begin();
    log_.CompletionAcknowledged(end,
                                lease_expiries_ > expiries_at_end_[number]);
    ends_.erase(ends_.begin());
  }
}

void VirtualWorker::AnswerPolls() {
  const auto waiting = std::exchange(pending_polls_, {});
  for (const auto& [number, poll] : waiting) {
    Reply(poll.answer_, MakeListing(poll.call_, WorkerCallOutcome::kDone));
  }
}

WorkerCallOutcome VirtualWorker::ApplyStart(const WorkerStart& call,
                                            bool late) {
  const TaskKey& task = call.run().task();
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.run_ == call.run().run()) {
    return WorkerCallOutcome::kDone;
  }
  if (known != runs_.end() || call.run().run() <= last_runs_[task]) {
    return WorkerCallOutcome::kOld;
  }
  if (call.lease_end_ms() <= ClockMs()) return WorkerCallOutcome::kLate;
  ExtendLease(call.lease_end_ms());
  last_runs_[task] = call.run().run();
  runs_[task] = {call.run().run(), incarnation_, *call.spec()};
  log_.Started(call.run(), name_, late, events_.now());
  if (IsOverCapacity()) log_.CapacityExceeded(name_, events_.now());
  if (const auto crash = crash_lookup_(task)) ScheduleCrash(call.run(), *crash);
  ScheduleEnd(call.run());
  return WorkerCallOutcome::kDone;
}

// Counts the runs that are being stopped, and those that the worker had before
// its capacity shrank.
bool VirtualWorker::IsOverCapacity() const {
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  for (const auto& [key, run] : runs_) {
    const JobStep step = step_lookup_(key);
    cpu += step.fills() ? 0 : step.cpu();
    memory_mb += step.memory_mb();
  }
  const auto fits = [&](const WorkerRoom& room) {
    return cpu <= room.cpu() && memory_mb <= room.memory_mb();
  };
  if (fits(room_)) return false;
  return std::none_of(earlier_rooms_.begin(), earlier_rooms_.end(),
                      [&](const EarlierRoom& earlier) {
                        return events_.now() <= earlier.counts_until_ &&
                               fits(earlier.room_);
                      });
}

void VirtualWorker::SetRoom(const WorkerRoom& room) {
  std::erase_if(earlier_rooms_, [&](const EarlierRoom& earlier) {
    return earlier.counts_until_ < events_.now();
  });
  earlier_rooms_.push_back({room_, events_.now() + kRoomChangeAllowance});
  room_ = room;
}

bool VirtualWorker::IsRunning(const RunKey& run,
                              std::uint64_t incarnation) const {
  const auto found = runs_.find(run.task());
  return incarnation == incarnation_ && found != runs_.end() &&
         found->second.run_ == run.run();
}

void VirtualWorker::ScheduleEnd(const RunKey& run) {
  const JobStep step = step_lookup_(run.task());
  if (step.long_running()) return;
  const bool fails = UniformInt(random_, kMaxPercentDraw) < fail_percent_;
  events_.After(
      step.estimate(), [this, run, incarnation = incarnation_, fails] {
        if (!IsRunning(run, incarnation)) return;
        FinishRun(run.task(), fails ? RunOutcome::kFailed : RunOutcome::kDone);
      });
}

void VirtualWorker::ScheduleCrash(const RunKey& run, const TaskCrash& crash) {
  if (UniformInt(random_, kMaxPercentDraw) >= crash.percent()) return;
  events_.After(crash.after(), [this, run, downtime = crash.downtime(),
                                incarnation = incarnation_] {
    if (!IsRunning(run, incarnation)) return;
    log_.CrashCaused(run);
    CrashFor(downtime);
  });
}

WorkerCallOutcome VirtualWorker::ApplyStop(const WorkerStop& call) {
  const TaskKey& task = call.run().task();
  std::int64_t& last = last_runs_[task];
  last = std::max(last, call.run().run());
  events_.After(kStopDuration, [this, task, run = call.run().run(),
                                incarnation = incarnation_] {
    const auto found = runs_.find(task);
    if (incarnation != incarnation_ || found == runs_.end()) return;
    if (found->second.run_ != run) return;
    if (forgetful_) return ForgetRun(task);
    FinishRun(task, RunOutcome::kStopped);
  });
  return WorkerCallOutcome::kDone;
}

void VirtualWorker::FinishRun(const TaskKey& task, RunOutcome outcome) {
  const Run run = runs_.at(task);
  runs_.erase(task);
  const RunKey key = RunKey::Builder().task(task).run(run.run_).Build();
  ++last_end_;
  ends_[last_end_] =
      RunEnd::Builder().number(last_end_).run(key).outcome(outcome).Build();
  expiries_at_end_[last_end_] = lease_expiries_;
  log_.Ended(key, name_, outcome, events_.now());
  AnswerPolls();
}

void VirtualWorker::ForgetRun(const TaskKey& task) {
  const std::int64_t run = runs_.at(task).run_;
  runs_.erase(task);
  log_.Ended(RunKey::Builder().task(task).run(run).Build(), name_,
             RunOutcome::kStopped, events_.now());
}

void VirtualWorker::ExtendLease(std::int64_t lease_end_ms) {
  const std::int64_t max_end_ms = ClockMs() + kMaxLeaseMs;
  lease_end_ms_ = std::max(lease_end_ms_, std::min(lease_end_ms, max_end_ms));
  const std::int64_t remaining_ms = lease_end_ms_ - ClockMs();
  if (remaining_ms <= 0) return;
  const Duration check_delay = std::chrono::milliseconds(
      remaining_ms + remaining_ms / kClockDriftDivisor + 2);
  events_.After(check_delay, [this, incarnation = incarnation_] {
    if (incarnation == incarnation_) CheckLease();
  });
}

void VirtualWorker::CheckLease() {
  const std::int64_t remaining_ms = lease_end_ms_ - ClockMs();
  if (remaining_ms > 0) {
    // Either the lease was extended, or rounding left a few milliseconds.
    if (remaining_ms > kRoundingMs) return;
    events_.After(std::chrono::milliseconds(5),
                  [this, incarnation = incarnation_] {
                    if (incarnation == incarnation_) CheckLease();
                  });
    return;
  }
  ++lease_expiries_;
  std::vector<TaskKey> tasks;
  for (const auto& [task, run] : runs_) tasks.push_back(task);
  for (const TaskKey& task : tasks) FinishRun(task, RunOutcome::kLapsed);
}

WorkerAnnounced VirtualWorker::Announce() {
  return WorkerAnnounced::Builder()
      .facts(WorkerDescription::Builder()
                 .worker(name_)
                 .born_ms(born_ms_)
                 .service(ServiceName("service"))
                 .cpu(room_.cpu())
                 .memory_mb(room_.memory_mb())
                 .draining(draining_)
                 .zone(zone_)
                 .Build())
      .sequence(++sequence_)
      .Build();
}

void VirtualWorker::Crash() {
  alive_ = false;
  ++incarnation_;
  for (const auto& [task, run] : runs_) {
    const RunKey key = RunKey::Builder().task(task).run(run.run_).Build();
    log_.WorkerCrashed(key);
    log_.Ended(key, name_, RunOutcome::kLapsed, events_.now());
  }
  runs_.clear();
  held_.clear();
  ends_.clear();
  last_runs_.clear();
  for (const auto& [number, poll] : std::exchange(pending_polls_, {})) {
    const WorkerAnswer lost = WorkerAnswer::Builder()
                                  .call(number)
                                  .verdict(WorkerCallOutcome::kLost)
                                  .Build();
    events_.After(kCommandTimeout,
                  [answer = poll.answer_, lost] { answer(lost); });
  }
  last_end_ = 0;
  fence_ = 0;
  lease_end_ms_ = 0;
}

void VirtualWorker::CrashFor(Duration downtime) {
  Crash();
  events_.After(downtime, [this, crashed = incarnation_] {
    if (crashed == incarnation_) Restart();
  });
}

void VirtualWorker::Restart() {
  if (alive_) return;
  alive_ = true;
  started_at_ = events_.now();
  born_ms_ = ToMilliseconds(events_.now().time_since_epoch()) + 1;
  sequence_ = 0;
  draining_ = false;
}

void VirtualWorker::Replace(const std::string& name, std::int64_t born_ms) {
  Crash();
  Restart();
  name_ = name;
  born_ms_ = born_ms;
}

}  // namespace quetzalline
