#include "systems/runner/throttle_best_effort_tasks.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "systems/cell/log_fields.h"
#include "systems/runner/send_commands.h"

namespace quetzalline {
namespace {

constexpr std::int32_t kFullRate = 100;
// Increase of the rate per interval, in percent of the full CPU rate.
constexpr std::int32_t kRateStep = 34;
// Best-effort tasks are suspended below this rate, in percent.
constexpr std::int32_t kMinRate = 12;
// A tail latency above the first percentage of its target halves the rate of
// best-effort tasks, and one below the second raises it. Between the two the
// rate does not change.
constexpr std::int64_t kThrottlePercent = 92;
constexpr std::int64_t kRecoverPercent = 80;
// A tail latency above this percentage of its target suspends best-effort tasks
// immediately.
constexpr std::int64_t kSuspendPercent = 130;
// Latency figures cover the last 500 ms. A task that was started, or whose rate
// was changed, more recently is underrepresented in a tail latency below its
// target, whereas one above its target shows the cause sooner.
constexpr Duration kSettlingTime = std::chrono::milliseconds(700);
constexpr Duration kShortSettlingTime = std::chrono::milliseconds(150);
constexpr std::int64_t kTargetPercent = 100;

// Returns the tail latency of a task in percent of its target; 0 for a task
// without a target.
std::int64_t TailPercent(const TrackedRun& run) {
  const auto target = std::chrono::duration_cast<std::chrono::milliseconds>(
      run.order().target());
  return target.count() > 0 ? run.figure() * 100 / target.count() : 0;
}

std::int64_t WorstTailPercent(const RunnerTables& tables) {
  std::int64_t worst = 0;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() != TrackedRunStage::kRunning) continue;
    worst = std::max(worst, TailPercent(run));
  }
  return worst;
}

std::int32_t NextRate(std::int32_t rate, std::int64_t worst) {
  if (worst > kSuspendPercent) return 0;
  if (worst > kThrottlePercent) {
    return rate / 2 < kMinRate ? 0 : rate / 2;
  }
  if (worst < kRecoverPercent) return std::min(kFullRate, rate + kRateStep);
  return rate;
}

std::int32_t TargetRate(const TrackedRun& run, std::int32_t best_effort_rate) {
  return std::min(best_effort_rate, run.pace_limit());
}

// Lifts the initial rate limit of tasks that have run at it for a while without
// raising a tail latency near its target.
void LiftInitialLimits(std::int64_t worst, RunnerTables& tables, Instant now) {
  if (worst >= kRecoverPercent) return;
  std::vector<std::pair<TaskKey, TrackedRun>> unlimited;
  for (const auto& [key, run] : tables.runs_) {
    if (run.pace_limit() == kFullRate || run.pace() != run.pace_limit()) {
      continue;
    }
    if (now - run.steady_since() < kSettlingTime) continue;
    unlimited.emplace_back(
        key, TrackedRun::Builder(run).pace_limit(kFullRate).Build());
  }
  for (auto& [key, run] : unlimited) tables.runs_.Put(key, std::move(run));
}

void SendRate(const TaskKey& key, RunnerTables& tables, RunnerTick& tick) {
  const TrackedRun held = *tables.runs_.Find(key);
  const std::int32_t rate = TargetRate(held, tables.fill_pace_);
  const RunKey run = RunKey::Builder().task(key).run(held.run()).Build();
  tables.runs_.Put(
      key,
      TrackedRun::Builder(held).pace(rate).steady_since(tick.now()).Build());
  QueueThrottle(run, rate, tables);
}

}  // namespace

std::optional<InterferenceSample> SampleInterference(const RunnerTables& tables,
                                                     Instant now) {
  const bool above_target = WorstTailPercent(tables) > kTargetPercent;
  const Duration settling_time =
      above_target ? kShortSettlingTime : kSettlingTime;
  std::map<std::string, std::int32_t> tails;
  std::map<std::string, std::int64_t> best_effort_cpu;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() != TrackedRunStage::kRunning) continue;
    const StartRun& order = run.order();
    if (const std::int64_t percent = TailPercent(run); percent > 0) {
      std::int32_t& worst = tails[order.image()];
      worst = std::max(worst, static_cast<std::int32_t>(percent));
    }
    if (!order.fills()) continue;
    // A task that was suspended recently still affects the tail latencies.
    const Duration required = run.pace() == 0 ? kSettlingTime : settling_time;
    const bool stable = now - run.steady_since() >= required;
    if (!stable && (!above_target || run.pace() == 0)) return std::nullopt;
    if (stable && run.pace() > 0) {
      best_effort_cpu[order.image()] += order.cpu() * run.pace() / kFullRate;
    }
  }
  if (tails.empty()) return std::nullopt;
  std::vector<ImageTailLatency> tail_rows;
  for (const auto& [image, percent] : tails) {
    tail_rows.push_back(
        ImageTailLatency::Builder().image(image).percent(percent).Build());
  }
  std::vector<ImageCpuUsage> best_effort_rows;
  for (const auto& [image, millicores] : best_effort_cpu) {
    best_effort_rows.push_back(
        ImageCpuUsage::Builder().image(image).millicores(millicores).Build());
  }
  return InterferenceSample::Builder()
      .tails(std::move(tail_rows))
      .fills(std::move(best_effort_rows))
      .Build();
}

bool IsTailOverTarget(const RunnerTables& tables) {
  return WorstTailPercent(tables) > kTargetPercent;
}

bool HasMixedTasks(const RunnerTables& tables) {
  bool has_service = false;
  bool has_best_effort = false;
  for (const auto& [key, run] : tables.runs_) {
    has_best_effort = has_best_effort || run.order().fills();
    has_service = has_service || run.order().target() > Duration();
  }
  return has_service && has_best_effort;
}

void ThrottleBestEffortTasks(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.facts_ || !tables.session_.synced()) return;
  if (tick.now() >= tables.next_rate_change_) {
    tables.next_rate_change_ = tick.now() + tables.policy_.pace_interval();
    const std::int64_t worst = WorstTailPercent(tables);
    const std::int32_t rate = NextRate(tables.fill_pace_, worst);
    if (rate != tables.fill_pace_) {
      LogLine(tick, "throttle-changed", 0,
              {Field("pace", rate), Field("worst_tail_percent", worst)});
    }
    tables.fill_pace_ = rate;
    LiftInitialLimits(worst, tables, tick.now());
  }
  std::vector<TaskKey> due;
  for (const auto& [key, run] : tables.runs_) {
    if (!run.order().fills() || run.stage() != TrackedRunStage::kRunning) {
      continue;
    }
    // A change that failed is retried after a delay.
    const bool failed = run.pace() < 0;
    if (failed && tick.now() < run.steady_since() + kSettlingTime) continue;
    if (run.pace() != TargetRate(run, tables.fill_pace_)) due.push_back(key);
  }
  for (const TaskKey& key : due) SendRate(key, tables, tick);
}

}  // namespace quetzalline
