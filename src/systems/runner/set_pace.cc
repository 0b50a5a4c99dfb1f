#include "systems/runner/set_pace.h"

#include <algorithm>

#include "systems/cell/log_fields.h"
#include "systems/runner/order_runs.h"

namespace quetzalline {
namespace {

constexpr std::int32_t kFullPace = 100;
// Steps up, in percent of full speed.
constexpr std::int32_t kPaceStep = 15;
// Below this share the tasks that fill stand still.
constexpr std::int32_t kLowestPace = 12;
// Tails over this share of the target slow the others down, and under the
// second one let them go on; between the two nothing changes.
constexpr std::int64_t kSlowPercent = 85;
constexpr std::int64_t kRecoverPercent = 60;
// A tail this far over its target stops the tasks that fill at once.
constexpr std::int64_t kStopPercent = 150;

std::int32_t NextPace(std::int32_t pace, std::int64_t worst) {
  if (worst > kStopPercent) return 0;
  if (worst > kSlowPercent) {
    return pace / 2 < kLowestPace ? 0 : pace / 2;
  }
  if (worst < kRecoverPercent) return std::min(kFullPace, pace + kPaceStep);
  return pace;
}

void Apply(const TaskKey& key, RunnerTables& tables, RunnerTick& tick) {
  const HeldRun held = *tables.runs_.Find(key);
  const RunKey run = RunKey::Builder().task(key).run(held.run()).Build();
  tables.runs_.Put(key, HeldRun::Builder(held).pace(tables.fill_pace_).Build());
  tick.Emit(
      WorkerPace::Builder()
          .call(OpenWorkerCall(
              PaceCall::Builder().run(run).percent(tables.fill_pace_).Build(),
              tables, tick.now()))
          .worker(tables.facts_->worker())
          .run(run)
          .percent(tables.fill_pace_)
          .fence(CurrentFence(tables))
          .Build());
}

}  // namespace

std::int64_t WorstTail(const RunnerTables& tables) {
  std::int64_t worst = 0;
  for (const auto& [key, run] : tables.runs_) {
    const auto target = std::chrono::duration_cast<std::chrono::milliseconds>(
                            run.order().target())
                            .count();
    if (target <= 0 || run.stage() != HeldStage::kRunning) continue;
    worst = std::max(worst, run.figure() * 100 / target);
  }
  return worst;
}

void SetPace(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.facts_ || !tables.session_.synced()) return;
  if (tick.now() < tables.next_pace_) return;
  tables.next_pace_ = tick.now() + tables.policy_.pace_interval();
  const std::int64_t worst = WorstTail(tables);
  const std::int32_t pace = NextPace(tables.fill_pace_, worst);
  if (pace != tables.fill_pace_) {
    LogLine(tick, "pace-changed", 0,
            {Field("pace", pace), Field("worst_tail_percent", worst)});
  }
  tables.fill_pace_ = pace;
  std::vector<TaskKey> due;
  for (const auto& [key, run] : tables.runs_) {
    if (!run.order().fills() || run.stage() != HeldStage::kRunning) continue;
    if (run.pace() != tables.fill_pace_) due.push_back(key);
  }
  for (const TaskKey& key : due) Apply(key, tables, tick);
}

}  // namespace quetzalline
