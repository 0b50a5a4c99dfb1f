#include "systems/scheduler/measure_cell.h"

#include <algorithm>
#include <string>
#include <utility>

#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/explain_idle_jobs.h"
#include "systems/scheduler/track_idle_jobs.h"

namespace quetzalline {
namespace {

Gauge MakeGauge(std::string name, std::size_t value) {
  return Gauge::Builder()
      .name(std::move(name))
      .value(static_cast<std::int64_t>(value))
      .Build();
}

std::size_t ToMilliseconds(Duration time) {
  return static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

void AddIdleReasons(const SchedulerTables& tables, std::vector<Gauge>& gauges) {
  for (const auto& [reason, jobs] : CountIdleReasons(tables)) {
    std::string name = "cell_jobs_idle_" + reason;
    std::replace(name.begin(), name.end(), '-', '_');
    gauges.push_back(MakeGauge(std::move(name), jobs));
  }
}

}  // namespace

std::vector<Gauge> MeasureCell(const SchedulerTables& tables) {
  std::size_t ready = 0;
  for (const auto& [step, indexes] : tables.tasks_.ready()) {
    ready += indexes.size();
  }
  std::size_t assigned = 0;
  std::size_t unlisted = 0;
  std::size_t listed_workers = 0;
  for (const auto& [name, worker] : tables.workers_) {
    const std::size_t tasks = tables.tasks_.TasksOnWorker(name).size();
    assigned += tasks;
    if (worker.alive()) {
      ++listed_workers;
    } else {
      unlisted += tasks;
    }
  }
  std::size_t quarantined = 0;
  for (const auto& [key, row] : tables.suspects_) {
    const JobTask* task = tables.tasks_.Find(key);
    if (task == nullptr || task->stage() != TaskStage::kQuarantined) continue;
    ++quarantined;
  }
  const std::size_t schedulable =
      SchedulableWorkers(tables, tables.last_tick_).size();
  std::vector<Gauge> gauges = {
      MakeGauge("cell_tasks_in_doubt", tables.tasks_.unreconciled().size()),
      MakeGauge("cell_tasks_ready", ready),
      MakeGauge("cell_tasks_assigned", assigned),
      MakeGauge("cell_tasks_on_unlisted_workers", unlisted),
      MakeGauge("cell_jobs_idle", CountIdleJobs(tables)),
      MakeGauge("cell_longest_idle_ms",
                ToMilliseconds(LongestIdleTime(tables, tables.last_tick_))),
      MakeGauge("cell_tasks_suspected", tables.suspects_.size()),
      MakeGauge("cell_tasks_quarantined", quarantined),
      MakeGauge("cell_worker_crashes", tables.crashes_.size()),
      MakeGauge("cell_longest_pause_ms", ToMilliseconds(tables.longest_pause_)),
      MakeGauge("cell_workers", tables.workers_.size()),
      MakeGauge("cell_workers_listed", listed_workers),
      MakeGauge("cell_workers_schedulable", schedulable)};
  AddIdleReasons(tables, gauges);
  return gauges;
}

}  // namespace quetzalline
