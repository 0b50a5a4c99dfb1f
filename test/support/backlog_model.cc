#include "support/backlog_model.h"

#include <algorithm>
#include <set>

#include "systems/scheduler/finish_job.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kStartTime = milliseconds(40);
constexpr Duration kEndTime = milliseconds(60);

}  // namespace

std::uint64_t BacklogModel::AddJob(const std::vector<JobStep>& steps,
                                   std::int32_t priority) {
  const std::uint64_t job =
      fleet_.AddJobOfSteps(steps, priority, std::chrono::seconds(10));
  for (const JobStep& step : steps) tasks_left_[job] += step.count();
  gaps_[job] = JobGaps();
  return job;
}

void BacklogModel::RunFor(Duration time) {
  const Instant until = fleet_.now() + time;
  while (fleet_.now() < until && !tasks_left_.empty()) Step();
}

void BacklogModel::Step() {
  fleet_.Advance(kStep);
  Work();
  EndRuns();
  HandleEnds();
  Place();
  UpdateGaps();
  CheckCapacity();
}

// Best-effort tasks share the CPU that is left of their worker in proportion to
// what they ask for.
void BacklogModel::Work() {
  std::map<MemberName, std::int64_t> asked;
  for (const auto& [task, run] : runs_) {
    if (!IsRunning(run)) continue;
    asked[run.worker_] += fleet_.tables().tasks_.Find(task)->step()->cpu();
  }
  for (auto& [task, run] : runs_) {
    if (!IsRunning(run)) continue;
    const std::int64_t free =
        kFleetMillicores - fleet_.tables().tasks_.UseOf(run.worker_).cpu();
    const double share =
        std::min(1.0, static_cast<double>(free) /
                          static_cast<double>(asked[run.worker_]));
    run.left_ -= std::chrono::duration_cast<Duration>(kStep * share);
  }
}

// The tasks of a gang end together.
void BacklogModel::EndRuns() {
  std::map<StepKey, std::int32_t> through;
  for (const auto& [task, run] : runs_) {
    if (IsRunning(run) && run.left_ <= Duration()) ++through[StepOf(task)];
  }
  for (auto& [task, run] : runs_) {
    if (!IsRunning(run) || run.left_ > Duration()) continue;
    const JobStep& step = *fleet_.tables().tasks_.Find(task)->step();
    if (step.gang() && through[StepOf(task)] < step.count()) continue;
    run.heard_at_ = fleet_.now() + kEndTime;
    if (--tasks_left_[task.job()] > 0) continue;
    tasks_left_.erase(task.job());
    completions_[task.job()] = fleet_.now() - kFleetNow;
  }
}

void BacklogModel::HandleEnds() {
  for (auto it = runs_.begin(); it != runs_.end();) {
    const Run run = it->second;
    if (!run.heard_at_ || fleet_.now() < *run.heard_at_) {
      ++it;
      continue;
    }
    const RunKey key =
        RunKey::Builder().task(it->first).run(run.number_).Build();
    fleet_.Run([&](SchedulerTables& tables, SchedulerTick& tick) {
      HandleRunEnd(
          run.worker_,
          RunEnd::Builder().run(key).outcome(RunOutcome::kDone).Build(), tables,
          tick);
    });
    it = runs_.erase(it);
  }
}

void BacklogModel::Place() {
  for (const SchedulerEffect& effect : fleet_.Run(PlaceRuns)) {
    const auto* sent = std::get_if<SendToRunner>(&effect);
    if (sent == nullptr) continue;
    const auto* start = std::get_if<StartRun>(&sent->message());
    if (start == nullptr) continue;
    const TaskKey& task = start->run().task();
    const Duration work = milliseconds(1000 + random_() % 1000);
    total_work_ += static_cast<double>(start->cpu()) *
                   std::chrono::duration<double>(work).count();
    runs_[task] =
        Run{fleet_.tables().tasks_.Find(task)->worker(), start->run().run(),
            fleet_.now() + kStartTime, work, std::nullopt};
  }
}

// Returns true if the next step of the job fits by the platform's account,
// which does not count the CPU of best-effort tasks; or if the holder has not
// heard of the end of what is before it.
bool BacklogModel::HasRoom(std::uint64_t job) {
  const auto& ready = fleet_.tables().tasks_.ready();
  const auto next = ready.lower_bound(StepKey::Builder().job(job).Build());
  if (next == ready.end() || next->first.job() != job) return true;
  const JobStep& step =
      fleet_.tables()
          .jobs_.Find(job)
          ->record()
          ->definition()
          ->steps()[static_cast<std::size_t>(next->first.step())];
  std::int64_t fitting = 0;
  for (const auto& [name, worker] : fleet_.tables().workers_) {
    const WorkerUse& use = fleet_.tables().tasks_.UseOf(name);
    const WorkerDescription& facts = *worker.facts();
    if (use.cpu() + step.cpu() > facts.cpu()) continue;
    std::int64_t tasks =
        (facts.memory_mb() - use.memory_mb()) / step.memory_mb();
    if (step.gpu() > 0) {
      tasks = std::min(tasks, (facts.gpu() - use.gpu()) / step.gpu());
    }
    fitting += tasks;
  }
  return fitting >= (step.gang() ? step.count() : 1);
}

void BacklogModel::UpdateGaps() {
  std::set<std::uint64_t> running;
  for (const auto& [task, run] : runs_) {
    if (IsRunning(run)) running.insert(task.job());
  }
  for (const auto& [job, tasks] : tasks_left_) {
    JobGaps& gaps = gaps_[job];
    if (running.count(job) > 0) {
      if (gaps.current_ == Duration()) continue;
      ++gaps.ended_;
      gaps.waits_ += gaps.current_ > kReactionTime ? 1 : 0;
      gaps.current_ = Duration();
    } else if (!HasRoom(job)) {
      gaps.current_ = Duration();
      gaps.waited_ = Duration();
      gaps.ended_ = 0;
    } else {
      gaps.current_ += kStep;
      if (gaps.current_ > kReactionTime) gaps.waited_ += kStep;
      gaps.longest_ = std::max(gaps.longest_, gaps.current_);
      gaps.most_waited_ = std::max(gaps.most_waited_, gaps.waited_);
      if (gaps.ended_ == 0) continue;
      gaps.longest_later_ = std::max(gaps.longest_later_, gaps.current_);
    }
  }
}

void BacklogModel::CheckCapacity() {
  for (const auto& [name, worker] : fleet_.tables().workers_) {
    const WorkerUse& use = fleet_.tables().tasks_.UseOf(name);
    const WorkerDescription& facts = *worker.facts();
    if (use.memory_mb() > facts.memory_mb() || use.gpu() > facts.gpu() ||
        use.cpu() > facts.cpu()) {
      ++overcommitted_;
    }
    highest_percent_ =
        std::max(highest_percent_, 100 * use.fill_cpu() / facts.cpu());
  }
}

}  // namespace quetzalline
