#include "standin/memory_worker.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "core/overloaded.h"
#include "core/resources_arithmetic.h"

namespace quetzalline {
namespace {

// Returns the work done as recorded in a checkpoint: the number of microseconds
// after the last colon.
Duration ParseCheckpoint(const std::string& checkpoint) {
  const std::size_t colon = checkpoint.rfind(':');
  if (colon == std::string::npos) return Duration::zero();
  std::int64_t done = 0;
  const char* first = checkpoint.data() + colon + 1;
  std::from_chars(first, checkpoint.data() + checkpoint.size(), done);
  return Duration(done);
}

std::string MakeCheckpoint(const TaskAttemptId& task, Duration done) {
  return task.task().value() + "@" + std::to_string(task.number()) + ":" +
         std::to_string(done.count());
}

// Returns the time at which the task finishes, or nothing if it runs until it
// is stopped.
std::optional<Instant> FinishTime(const Workload& workload, Duration done,
                                  std::int64_t speed, Instant now) {
  using Result = std::optional<Instant>;
  return std::visit(
      Overloaded{[](const ServiceWorkload&) { return Result(); },
                 [&](const BatchWorkload& batch) {
                   const Duration left = batch.run_time() - done;
                   return Result(now +
                                 std::max(left, Duration::zero()) / speed);
                 },
                 [](const WatcherWorkload&) { return Result(); }},
      workload);
}

// Returns the work that a stopped task resumes from: only complete checkpoint
// intervals count.
Duration CheckpointedWork(const WorkerTask& task, std::int64_t speed,
                          Instant now) {
  return std::visit(
      Overloaded{[](const ServiceWorkload&) { return Duration::zero(); },
                 [&](const BatchWorkload& batch) {
                   const Duration interval = batch.checkpoint_interval();
                   if (interval <= Duration::zero()) return task.resumed_from();
                   const Duration ran = (now - task.started()) * speed;
                   return task.resumed_from() + (ran / interval) * interval;
                 },
                 [](const WatcherWorkload&) { return Duration::zero(); }},
      task.work().workload());
}

}  // namespace

void MemoryWorker::Report(const TaskAttemptId& task, const TaskEvent& news) {
  reports_.push_back(WorkerTaskEvent::Builder().task(task).news(news).Build());
}

void MemoryWorker::Start(const StartWork& start, Instant now) {
  if (tasks_.contains(start.task())) return;
  Renew(start.lease_until());
  if (faults_.fail_every_task()) {
    return Report(start.task(),
                  TaskFailed::Builder().reason(Reason::kWorkerFailed).Build());
  }
  if (!HasRoom(start.work().needs())) {
    return Report(start.task(),
                  TaskRefused::Builder().reason(Reason::kDoesNotFit).Build());
  }
  const Duration done = ParseCheckpoint(start.checkpoint());
  tasks_.emplace(start.task(), WorkerTask::Builder()
                                   .task(start.task())
                                   .work(start.work())
                                   .started(now)
                                   .resumed_from(done)
                                   .ends(FinishTime(start.work().workload(),
                                                    done, speed_, now))
                                   .Build());
  Report(start.task(), TaskStarted());
  const std::string& crashing = faults_.crash_on_start();
  if (!crashing.empty() && start.work().name() == crashing) Crash();
}

bool MemoryWorker::HasRoom(const Resources& needs) const {
  if (!faults_.room()) return true;
  Resources sum = needs;
  for (const auto& [id, task] : tasks_) sum = Sum(sum, task.work().needs());
  return Fits(sum, *faults_.room());
}

void MemoryWorker::Crash() {
  for (const auto& [id, task] : tasks_) {
    Report(id, TaskFailed::Builder().reason(Reason::kInstanceLost).Build());
  }
  tasks_.clear();
}

void MemoryWorker::Stop(const TaskAttemptId& task, Instant now) {
  const auto found = tasks_.find(task);
  if (found == tasks_.end()) return;
  const Duration saved = CheckpointedWork(found->second, speed_, now);
  TaskStopped::Builder stopped;
  if (saved > Duration::zero()) stopped.checkpoint(MakeCheckpoint(task, saved));
  tasks_.erase(found);
  Report(task, stopped.Build());
}

void MemoryWorker::StopAll(Instant now) {
  std::vector<TaskAttemptId> running;
  for (const auto& [id, task] : tasks_) running.push_back(id);
  for (const TaskAttemptId& id : running) Stop(id, now);
}

std::vector<WorkerTaskEvent> MemoryWorker::DrainNews(Instant now) {
  const Instant until = std::min(now, lease_end_);
  std::vector<TaskAttemptId> finished;
  for (const auto& [id, task] : tasks_) {
    if (task.ends() && *task.ends() <= until) finished.push_back(id);
  }
  for (const TaskAttemptId& id : finished) {
    tasks_.erase(id);
    Report(id, TaskFinished());
  }
  if (lease_end_ <= now) StopAll(lease_end_);
  return std::exchange(reports_, {});
}

std::optional<Instant> MemoryWorker::NextNewsTime() const {
  std::optional<Instant> next;
  for (const auto& [id, task] : tasks_) {
    if (task.ends() && (!next || *task.ends() < *next)) next = task.ends();
  }
  const bool lease_ends_first =
      !tasks_.empty() && (!next || lease_end_ < *next);
  return lease_ends_first ? lease_end_ : next;
}

}  // namespace quetzalline
