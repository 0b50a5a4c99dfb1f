#include "systems/scheduler/choose_worker.h"

#include <algorithm>

#include "systems/scheduler/estimate_interference.h"
#include "systems/scheduler/hand_over_workers.h"

namespace quetzalline {
namespace {

// A worker that was last heard this long ago, by the time that this holder has
// attended, gets no new work.
constexpr Duration kMaxHeartbeatAge = std::chrono::milliseconds(900);
// Neither does one whose lease was granted longer ago: half a lease.
constexpr Duration kMaxGrantAge = std::chrono::milliseconds(2500);
// Cost that outweighs all others: the worker is chosen only if there is no
// alternative. Keeps tasks off workers that fail them, and services off cleared
// workers.
constexpr double kLastResortCost = 20.0;
// With at least this many workers per service image, services of different
// images are placed on separate workers.
constexpr std::size_t kMinWorkersPerImage = 3;

// Best-effort tasks may reach these percentages of a worker's CPU: in general,
// and for the next task of a starved job. The platform does not count their CPU
// against a worker's capacity; the limit bounds how much they slow each other.
constexpr std::int64_t kAllCpuPercent = 100;
constexpr std::int64_t kOvercommittedCpuPercent = 200;

// Even overdue tasks wait for the end of a back-off after a refusal, which is
// at most this far away. They would be refused again and again, while workers
// in quarantine, which cost no less, get none of them.
constexpr Duration kLongestBackoff = std::chrono::milliseconds(250);

bool IsBackingOff(const WorkerRow& worker, Instant now) {
  return worker.rests_until() > now &&
         worker.rests_until() - now <= kLongestBackoff;
}

bool HasLabel(const WorkerDescription& facts, const std::string& label) {
  return std::find(facts.labels().begin(), facts.labels().end(), label) !=
         facts.labels().end();
}

// Returns the placement cost; lower is better. Reduces interference by packing
// services on few workers and best-effort tasks on the others. Reduces data
// transfer by preferring workers in the rack of the step's data.
double Cost(const JobStep& step, const WorkerDescription& facts,
            const WorkerUse& use, const PlacementPolicy& policy,
            bool low_interference, double other_image_cost) {
  const auto cpu = static_cast<double>(std::max<std::int64_t>(facts.cpu(), 1));
  const auto reserved_share = static_cast<double>(use.cpu()) / cpu;
  const auto best_effort_share = static_cast<double>(use.fill_cpu()) / cpu;
  const auto service_share = static_cast<double>(use.serving_cpu()) / cpu;
  const bool same_rack =
      !step.data_rack().empty() && HasLabel(facts, step.data_rack());
  const double rack_cost = same_rack ? -policy.data_rack_bonus() : 0.0;
  if (step.fills()) {
    // Best-effort tasks that barely interfere go to workers with services,
    // which leaves workers without services to the others.
    const double service_cost =
        low_interference ? -policy.serving_cost() : policy.serving_cost();
    return rack_cost + reserved_share + best_effort_share +
           (service_share > 0.0 ? service_cost : 0.0);
  }
  // Services are packed by image: the fewer images serve on a worker, the more
  // best-effort tasks can run beside all of them.
  if (step.target() > Duration()) {
    return rack_cost + best_effort_share - service_share + other_image_cost;
  }
  return rack_cost + best_effort_share -
         (service_share > 0.0 ? policy.serving_cost() : 0.0) + reserved_share;
}

// Returns true if services of another image run on the worker.
bool RunsOtherServices(const MemberName& name, const std::string& image,
                       const SchedulerTables& tables) {
  const auto& services = tables.tasks_.ImagesOnWorker(name).serving_;
  return services.size() > services.count(image);
}

// Returns the cost of placing a service beside services of another image.
double OtherImageCost(const SchedulerTables& tables,
                      const PlacementPolicy& policy) {
  const std::size_t images = tables.tasks_.serving_images().size();
  const bool has_ample_workers =
      tables.workers_.size() >= kMinWorkersPerImage * images;
  return has_ample_workers ? policy.roomy_image_cost()
                           : policy.other_image_cost();
}

// Returns true if one more best-effort task keeps the tail latencies on the
// worker within their limit. No task is added while those on the worker are
// throttled. Pairs of images without measurements are tried one task at a time.
bool AllowsBestEffortTask(const WorkerRow& worker,
                          const WorkerForecast& services,
                          const InterferenceForecast& forecast,
                          const PlacementPolicy& policy) {
  constexpr std::int32_t kFullRate = 100;
  if (worker.fill_pace() != kFullRate) return false;
  if (forecast.tail_percent_ > policy.highest_tail_percent()) return false;
  return !forecast.unmeasured_ || !services.unmeasured_;
}

// Returns true if a worker with this use has the capacity for one more task of
// the step, where best-effort tasks may reach this percentage of its CPU.
bool FitsWithin(std::int64_t best_effort_percent, const JobStep& step,
                const WorkerDescription& facts, const WorkerUse& use,
                const PlacementPolicy& policy) {
  if (use.memory_mb() + step.memory_mb() > facts.memory_mb()) return false;
  if (use.gpu() + step.gpu() > facts.gpu()) return false;
  // The capacity may have shrunk below what is reserved. The runner refuses
  // every start then, also of best-effort tasks.
  if (use.cpu() > facts.cpu()) return false;
  // Best-effort tasks may use the unreserved CPU and the part of the services'
  // reservations that is assumed unused. They do not reduce the CPU that other
  // tasks can reserve.
  const std::int64_t unused = use.serving_cpu() * policy.unused_percent() / 100;
  const std::int64_t taken =
      step.fills() ? use.cpu() + use.fill_cpu() - unused : use.cpu();
  const std::int64_t limit =
      step.fills() ? facts.cpu() * best_effort_percent / 100 : facts.cpu();
  return taken + step.cpu() <= limit;
}

}  // namespace

ClosedCause FindClosedCause(const MemberName& name, const WorkerRow& worker,
                            const SchedulerTables& tables, Instant now) {
  if (!worker.reported() || !worker.facts()) return ClosedCause::kUnlisted;
  if (worker.facts()->draining()) return ClosedCause::kDraining;
  if (worker.silent()) return ClosedCause::kUnresponsive;
  const MemberRow* member = tables.members_.Find(name);
  const bool in_touch =
      member != nullptr && member->connection() &&
      tables.attention_ - member->heard_attention() <= kMaxHeartbeatAge &&
      now - worker.granted_at() <= kMaxGrantAge;
  if (!in_touch) return ClosedCause::kOutOfTouch;
  if (tables.orphaned_runs_.count(name) > 0) return ClosedCause::kOrphanedRuns;
  if (tables.confirmed_lost_.count(name) > 0) return ClosedCause::kRecordedLost;
  if (IsHandedOver(name, tables)) return ClosedCause::kHandedOver;
  if (!worker.leased()) return ClosedCause::kUnleased;
  return ClosedCause::kOpen;
}

std::vector<MemberName> SchedulableWorkers(const SchedulerTables& tables,
                                           Instant now) {
  std::vector<MemberName> schedulable;
  for (const auto& [name, worker] : tables.workers_) {
    if (FindClosedCause(name, worker, tables, now) == ClosedCause::kOpen) {
      schedulable.push_back(name);
    }
  }
  return schedulable;
}

bool IsSound(ClosedCause cause) {
  return cause == ClosedCause::kOpen || cause == ClosedCause::kOrphanedRuns ||
         cause == ClosedCause::kRecordedLost ||
         cause == ClosedCause::kHandedOver || cause == ClosedCause::kUnleased;
}

bool IsStarved(std::uint64_t job, const SchedulerTables& tables) {
  const IdleJob* idle = tables.idle_jobs_.Find(job);
  return idle != nullptr && idle->starved();
}

bool IsSuitable(const JobStep& step, const ServiceName& service,
                const WorkerDescription& facts) {
  return facts.service() == service && (step.required_label().empty() ||
                                        HasLabel(facts, step.required_label()));
}

bool AllowsTask(const StepKey& key, const JobStep& step, const MemberName& name,
                std::int32_t added, const SchedulerTables& tables) {
  return step.most_per_worker() == 0 ||
         tables.tasks_.CountOnWorker(key, name) + added <
             step.most_per_worker();
}

bool Fits(const JobStep& step, const WorkerDescription& facts,
          const WorkerUse& use, const PlacementPolicy& policy) {
  return FitsWithin(kAllCpuPercent, step, facts, use, policy);
}

namespace {

// Evaluates a worker for a step whose best-effort tasks may use this percentage
// of its CPU.
std::optional<WorkerCandidate> Evaluate(
    const StepKey& key, const JobStep& step, const ServiceName& service,
    std::int64_t best_effort_percent, std::size_t row, std::size_t position,
    const SchedulerTables& tables, PlacementPass& pass, WaitCauses& causes) {
  const PlacementPolicy& policy = tables.policy_.placement();
  const MemberName& name = pass.workers_[position].name_;
  const WorkerRow& worker = *pass.workers_[position].row_;
  const WorkerUse& use = pass.workers_[position].use_;
  const WorkerDescription& facts = *worker.facts();
  if (!IsSuitable(step, service, facts) ||
      !AllowsTask(key, step, name, 0, tables)) {
    ++causes.unsuitable_;
    return std::nullopt;
  }
  if (!FitsWithin(best_effort_percent, step, facts, use, policy)) {
    ++causes.no_capacity_;
    return std::nullopt;
  }
  if (IsBackingOff(worker, tables.last_tick_)) {
    ++causes.quarantined_;
    return std::nullopt;
  }
  const bool quarantined = worker.rests_until() > tables.last_tick_;
  WorkerCandidate candidate;
  candidate.worker_ = position;
  // Long-running services have to run somewhere; other tasks wait until the
  // quarantine ends or they are overdue.
  candidate.quarantined_ = quarantined && !step.long_running();
  if (candidate.quarantined_) ++causes.quarantined_;
  bool low_interference = false;
  if (step.fills() && use.serving_cpu() > 0) {
    const WorkerForecast& services = ForecastOf(position, tables, pass);
    const InterferenceForecast forecast =
        PredictInterference(services, row, step.cpu(), pass.interference_);
    candidate.interferes_ =
        !AllowsBestEffortTask(worker, services, forecast, policy);
    low_interference = !forecast.unmeasured_ &&
                       forecast.added_percent_ < policy.quiet_percent();
  }
  if (candidate.interferes_) ++causes.interference_;
  const bool joins_other_images = step.target() > Duration() &&
                                  RunsOtherServices(name, step.image(), tables);
  const double image_cost =
      joins_other_images ? OtherImageCost(tables, policy) : 0.0;
  const bool cleared =
      step.target() > Duration() && worker.clear_until() > tables.last_tick_;
  candidate.cost_ =
      Cost(step, facts, use, policy, low_interference, image_cost) +
      (quarantined || cleared ? kLastResortCost : 0.0);
  return candidate;
}

std::int64_t BestEffortPercent(const StepKey& key,
                               const SchedulerTables& tables) {
  return IsStarved(key.job(), tables) ? kOvercommittedCpuPercent
                                      : kAllCpuPercent;
}

}  // namespace

std::optional<WorkerCandidate> EvaluateWorker(
    const StepKey& key, const JobStep& step, const ServiceName& service,
    std::size_t position, const SchedulerTables& tables, PlacementPass& pass,
    WaitCauses& causes) {
  return Evaluate(key, step, service, BestEffortPercent(key, tables),
                  pass.interference_.RowOf(step.image()), position, tables,
                  pass, causes);
}

std::vector<WorkerCandidate> FindCandidates(
    const StepKey& key, const JobStep& step, const ServiceName& service,
    const SchedulerTables& tables, PlacementPass& pass, WaitCauses& causes) {
  const std::int64_t best_effort_percent = BestEffortPercent(key, tables);
  const std::size_t row = pass.interference_.RowOf(step.image());
  std::vector<WorkerCandidate> candidates;
  for (std::size_t i = 0; i < pass.workers_.size(); ++i) {
    auto candidate = Evaluate(key, step, service, best_effort_percent, row, i,
                              tables, pass, causes);
    if (candidate) candidates.push_back(*candidate);
  }
  return candidates;
}

std::optional<std::size_t> BestCandidate(
    const std::vector<WorkerCandidate>& candidates, bool overdue,
    const MemberName& failed_on, const PlacementPass& pass) {
  std::optional<std::size_t> best;
  double least = 0.0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const WorkerCandidate& candidate = candidates[i];
    const bool avoided = candidate.interferes_ || candidate.quarantined_;
    if (avoided && !overdue) continue;
    const bool failed_there =
        !failed_on.empty() &&
        pass.workers_[candidate.worker_].name_ == failed_on;
    const double cost =
        candidate.cost_ + (failed_there ? kLastResortCost : 0.0);
    if (best && cost >= least) continue;
    best = i;
    least = cost;
  }
  return best;
}

}  // namespace quetzalline
