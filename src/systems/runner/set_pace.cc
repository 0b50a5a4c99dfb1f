#include "systems/runner/set_pace.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "systems/cell/log_fields.h"
#include "systems/runner/order_runs.h"

namespace quetzalline {
namespace {

constexpr std::int32_t kFullPace = 100;
// Steps up, in percent of full speed.
constexpr std::int32_t kPaceStep = 34;
// Below this share the tasks that fill stand still.
constexpr std::int32_t kLowestPace = 12;
// Tails over this share of the target slow the others down, and under the
// second one let them go on; between the two nothing changes.
constexpr std::int64_t kSlowPercent = 92;
constexpr std::int64_t kRecoverPercent = 80;
// A tail this far over its target stops the tasks that fill at once.
constexpr std::int64_t kStopPercent = 130;
// Figures cover the last half second: what began later shows too little in a
// good tail, but a tail that is far too high shows its cause sooner.
constexpr Duration kSettleTime = std::chrono::milliseconds(700);
constexpr Duration kShortSettleTime = std::chrono::milliseconds(150);
constexpr std::int64_t kTooHighPercent = 100;

// The tail of a task that serves, in percent of its target; 0 for any other.
std::int64_t TailPercent(const HeldRun& run) {
  const auto target = std::chrono::duration_cast<std::chrono::milliseconds>(
      run.order().target());
  return target.count() > 0 ? run.figure() * 100 / target.count() : 0;
}

std::int64_t WorstTail(const RunnerTables& tables) {
  std::int64_t worst = 0;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() != HeldStage::kRunning) continue;
    worst = std::max(worst, TailPercent(run));
  }
  return worst;
}

std::int32_t NextPace(std::int32_t pace, std::int64_t worst) {
  if (worst > kStopPercent) return 0;
  if (worst > kSlowPercent) {
    return pace / 2 < kLowestPace ? 0 : pace / 2;
  }
  if (worst < kRecoverPercent) return std::min(kFullPace, pace + kPaceStep);
  return pace;
}

std::int32_t WantedPace(const HeldRun& run, std::int32_t fill_pace) {
  return std::min(fill_pace, run.pace_limit());
}

// Lifts the limit of newcomers that their neighbours have borne for a while.
void LiftLimits(std::int64_t worst, RunnerTables& tables, Instant now) {
  if (worst >= kRecoverPercent) return;
  std::vector<std::pair<TaskKey, HeldRun>> proven;
  for (const auto& [key, run] : tables.runs_) {
    if (run.pace_limit() == kFullPace || run.pace() != run.pace_limit()) {
      continue;
    }
    if (now - run.steady_since() < kSettleTime) continue;
    proven.emplace_back(key,
                        HeldRun::Builder(run).pace_limit(kFullPace).Build());
  }
  for (auto& [key, run] : proven) tables.runs_.Put(key, std::move(run));
}

void Apply(const TaskKey& key, RunnerTables& tables, RunnerTick& tick) {
  const HeldRun held = *tables.runs_.Find(key);
  const std::int32_t pace = WantedPace(held, tables.fill_pace_);
  const RunKey run = RunKey::Builder().task(key).run(held.run()).Build();
  tables.runs_.Put(
      key, HeldRun::Builder(held).pace(pace).steady_since(tick.now()).Build());
  tick.Emit(WorkerThrottle::Builder()
                .call(OpenWorkerCall(
                    PaceCall::Builder().run(run).percent(pace).Build(), tables,
                    tick.now()))
                .worker(tables.facts_->worker())
                .run(run)
                .percent(pace)
                .fence(CurrentFence(tables))
                .Build());
}

}  // namespace

std::optional<InterferenceSample> SampleNeighbours(const RunnerTables& tables,
                                                   Instant now) {
  const bool too_high = WorstTail(tables) > kTooHighPercent;
  const Duration settle_time = too_high ? kShortSettleTime : kSettleTime;
  std::map<std::string, std::int32_t> tails;
  std::map<std::string, std::int64_t> fills;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() != HeldStage::kRunning) continue;
    const StartRun& order = run.order();
    if (const std::int64_t percent = TailPercent(run); percent > 0) {
      std::int32_t& worst = tails[order.image()];
      worst = std::max(worst, static_cast<std::int32_t>(percent));
    }
    if (!order.fills()) continue;
    // A task that was just stopped still shows in the tails.
    const Duration needed = run.pace() == 0 ? kSettleTime : settle_time;
    const bool settled = now - run.steady_since() >= needed;
    if (!settled && (!too_high || run.pace() == 0)) return std::nullopt;
    if (settled && run.pace() > 0) {
      fills[order.image()] += order.cpu() * run.pace() / kFullPace;
    }
  }
  if (tails.empty()) return std::nullopt;
  std::vector<ImageTailLatency> tail_rows;
  for (const auto& [image, percent] : tails) {
    tail_rows.push_back(
        ImageTailLatency::Builder().image(image).percent(percent).Build());
  }
  std::vector<ImageCpuUsage> fill_rows;
  for (const auto& [image, millicores] : fills) {
    fill_rows.push_back(
        ImageCpuUsage::Builder().image(image).millicores(millicores).Build());
  }
  return InterferenceSample::Builder()
      .tails(std::move(tail_rows))
      .fills(std::move(fill_rows))
      .Build();
}

bool HasTailTooHigh(const RunnerTables& tables) {
  return WorstTail(tables) > kTooHighPercent;
}

bool IsMixed(const RunnerTables& tables) {
  bool serves = false;
  bool fills = false;
  for (const auto& [key, run] : tables.runs_) {
    fills = fills || run.order().fills();
    serves = serves || run.order().target() > Duration();
  }
  return serves && fills;
}

void SetPace(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.facts_ || !tables.session_.synced()) return;
  if (tick.now() >= tables.next_pace_) {
    tables.next_pace_ = tick.now() + tables.policy_.pace_interval();
    const std::int64_t worst = WorstTail(tables);
    const std::int32_t pace = NextPace(tables.fill_pace_, worst);
    if (pace != tables.fill_pace_) {
      LogLine(tick, "pace-changed", 0,
              {Field("pace", pace), Field("worst_tail_percent", worst)});
    }
    tables.fill_pace_ = pace;
    LiftLimits(worst, tables, tick.now());
  }
  std::vector<TaskKey> due;
  for (const auto& [key, run] : tables.runs_) {
    if (!run.order().fills() || run.stage() != HeldStage::kRunning) continue;
    // A change that failed is tried again after a pause.
    const bool failed = run.pace() < 0;
    if (failed && tick.now() < run.steady_since() + kSettleTime) continue;
    if (run.pace() != WantedPace(run, tables.fill_pace_)) due.push_back(key);
  }
  for (const TaskKey& key : due) Apply(key, tables, tick);
}

}  // namespace quetzalline
