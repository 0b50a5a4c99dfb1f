#include "systems/scheduler/placement_pass.h"

#include <algorithm>
#include <iterator>

#include "systems/scheduler/choose_worker.h"

namespace quetzalline {
namespace {

// A capacity that has shrunk may be exceeded.
std::int64_t ReservedCpu(const WorkerUse& use, const WorkerRow& worker) {
  return std::min(use.cpu(), worker.facts()->cpu());
}

}  // namespace

PlacementPass BeginPass(const SchedulerTables& tables, Instant now,
                        const std::set<MemberName>& excluded) {
  PlacementPass pass{
      {}, {}, InterferenceMatrix(tables), tables.starts_per_tick_};
  for (const auto& [name, worker] : tables.workers_) {
    const ClosedCause cause = FindClosedCause(name, worker, tables, now);
    if (!IsSound(cause)) continue;
    const WorkerUse& use = tables.tasks_.UseOf(name);
    ServiceLoad& load = pass.loads_[worker.facts()->service()];
    load.reserved_ += ReservedCpu(use, worker);
    load.capacity_ += worker.facts()->cpu();
    if (cause != ClosedCause::kOpen || excluded.count(name) > 0) continue;
    pass.workers_.push_back({name, &worker, use, std::nullopt});
  }
  return pass;
}

std::optional<std::size_t> FindWorker(const MemberName& name,
                                      const PlacementPass& pass) {
  const auto found =
      std::lower_bound(pass.workers_.begin(), pass.workers_.end(), name,
                       [](const PassWorker& worker, const MemberName& sought) {
                         return worker.name_ < sought;
                       });
  if (found == pass.workers_.end() || found->name_ != name) return std::nullopt;
  return static_cast<std::size_t>(std::distance(pass.workers_.begin(), found));
}

void RefreshWorker(std::size_t position, const SchedulerTables& tables,
                   PlacementPass& pass) {
  PassWorker& worker = pass.workers_[position];
  const WorkerUse& use = tables.tasks_.UseOf(worker.name_);
  pass.loads_[worker.row_->facts()->service()].reserved_ +=
      ReservedCpu(use, *worker.row_) - ReservedCpu(worker.use_, *worker.row_);
  worker.use_ = use;
  worker.forecast_.reset();
}

const WorkerForecast& ForecastOf(std::size_t position,
                                 const SchedulerTables& tables,
                                 PlacementPass& pass) {
  PassWorker& worker = pass.workers_[position];
  if (!worker.forecast_) {
    worker.forecast_ = ForecastWorker(worker.name_, pass.interference_, tables);
  }
  return *worker.forecast_;
}

bool IsHalfFree(const ServiceName& service, const PlacementPass& pass) {
  const auto load = pass.loads_.find(service);
  if (load == pass.loads_.end()) return false;
  return 2 * load->second.reserved_ < load->second.capacity_;
}

}  // namespace quetzalline
