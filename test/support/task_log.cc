#include "support/task_log.h"

#include "systems/cell/cell_keys.h"

namespace quetzalline {
namespace {

// A worker may start a task of a cancelled job for this long.
constexpr Duration kCancelTime = std::chrono::milliseconds(3000);

std::string Text(const RunKey& run) {
  const TaskKey& task = run.task();
  return FormatJobId(task.job()) + "." + std::to_string(task.step()) + "." +
         std::to_string(task.index()) + " run " + std::to_string(run.run());
}

}  // namespace

void TaskLog::CheckOrder(const TaskKey& task, const JobDefinition& definition,
                         const std::string& text) {
  const JobStep& step =
      definition.steps()[static_cast<std::size_t>(task.step())];
  for (const std::int32_t before : step.after()) {
    const JobStep& earlier =
        definition.steps()[static_cast<std::size_t>(before)];
    for (std::int32_t index = 0; index < earlier.count(); ++index) {
      const TaskKey key =
          TaskKey::Builder(task).step(before).index(index).Build();
      if (done_.count(key) == 0) Break("started before its turn: " + text);
    }
  }
}

void TaskLog::Started(const RunKey& run, const std::string& worker, bool late,
                      Instant now) {
  const std::string text = Text(run) + " on " + worker;
  const std::uint64_t job = run.task().job();
  ++starts_;
  ++job_starts_[job];
  const auto known = submitted_.find(job);
  if (known == submitted_.end()) return Break("nobody asked for: " + text);
  // An end that is lost with its worker may be repeated; one that was noted, or
  // is noted later, may not.
  if (noted_.count(run.task()) > 0) Break("started after it was done: " + text);
  if (done_.count(run.task()) > 0) {
    started_after_done_[run.task()] = run.run();
  }
  const auto cancelled = cancelled_.find(job);
  if (!late && cancelled != cancelled_.end() &&
      now > cancelled->second + kCancelTime) {
    Break("started after the job was cancelled: " + text);
  }
  CheckOrder(run.task(), known->second, text);
  std::set<std::string>& places = running_[run.task()];
  places.insert(worker);
  if (places.size() > 1) Break("runs in two places: " + text);
}

void TaskLog::Ended(const RunKey& run, const std::string& worker,
                    RunOutcome outcome, Instant /*now*/) {
  running_[run.task()].erase(worker);
  if (outcome == RunOutcome::kDone) done_.insert(run.task());
}

void TaskLog::Noted(const RunEnd& end, bool lapsed_since) {
  if (end.outcome() != RunOutcome::kDone || lapsed_since) return;
  const TaskKey& task = end.run().task();
  noted_.insert(task);
  const auto restarted = started_after_done_.find(task);
  if (restarted != started_after_done_.end() &&
      restarted->second > end.run().run()) {
    Break("started again before its end was noted: " + Text(end.run()));
  }
}

void TaskLog::CheckRefused() {
  for (const auto& [job, starts] : job_starts_) {
    const bool only_refused = refused_.count(job) > 0 &&
                              accepted_.count(job) == 0 &&
                              undecided_.count(job) == 0;
    if (only_refused) Break("refused, and started: " + FormatJobId(job));
  }
}

void TaskLog::Overfilled(const std::string& worker, Instant now) {
  Break("more than it holds: " + worker + " at " +
        std::to_string(now.time_since_epoch().count()));
}

void TaskLog::Completed(std::uint64_t job) {
  const auto known = submitted_.find(job);
  if (known == submitted_.end()) return Break("told of a job nobody handed in");
  const auto& steps = known->second.steps();
  for (std::size_t step = 0; step < steps.size(); ++step) {
    for (std::int32_t index = 0; index < steps[step].count(); ++index) {
      const TaskKey key = TaskKey::Builder()
                              .job(job)
                              .step(static_cast<std::int32_t>(step))
                              .index(index)
                              .Build();
      if (done_.count(key) == 0) {
        Break("told as completed and is not: " + FormatJobId(job));
      }
    }
  }
}

std::int64_t TaskLog::StartsOf(std::uint64_t job) const {
  const auto found = job_starts_.find(job);
  return found == job_starts_.end() ? 0 : found->second;
}

}  // namespace quetzalline
