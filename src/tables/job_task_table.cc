#include "tables/job_task_table.h"

#include <utility>

namespace quetzalline {
namespace {

// Returns the use with one more task for a factor of 1, or one less for -1.
WorkerUse WithTaskChange(const WorkerUse& use, const JobStep& step,
                         std::int64_t factor) {
  WorkerUse::Builder builder(use);
  builder.memory_mb(use.memory_mb() + factor * step.memory_mb())
      .gpu(use.gpu() + factor * step.gpu());
  if (step.fills()) {
    builder.fill_cpu(use.fill_cpu() + factor * step.cpu());
  } else {
    builder.cpu(use.cpu() + factor * step.cpu());
  }
  if (step.target() > Duration()) {
    builder.serving_cpu(use.serving_cpu() + factor * step.cpu());
  }
  return builder.Build();
}

// Returns true if the task may be running.
bool IsActive(const JobTask& row) {
  return row.stage() == TaskStage::kAssigned ||
         row.stage() == TaskStage::kInDoubt;
}

// Adds to the entry of an image and removes the entry once it is zero.
template <typename Number>
void AddTo(std::map<std::string, Number>& images, const std::string& image,
           Number change) {
  const auto entry = images.try_emplace(image, 0).first;
  entry->second += change;
  if (entry->second == 0) images.erase(entry);
}

void UpdateImages(ImageUse& images,
                  std::map<std::string, std::int32_t>& serving,
                  const JobStep& step, std::int32_t factor) {
  if (step.fills()) AddTo(images.filling_, step.image(), factor * step.cpu());
  if (step.target() == Duration()) return;
  AddTo(images.serving_, step.image(), factor);
  AddTo(serving, step.image(), factor);
}

}  // namespace

StepKey StepOf(const TaskKey& task) {
  return StepKey::Builder()
      .job(task.job())
      .occurrence(task.occurrence())
      .step(task.step())
      .Build();
}

WorkerUse WithTask(const WorkerUse& use, const JobStep& step) {
  return WithTaskChange(use, step, 1);
}

WorkerUse WithoutTask(const WorkerUse& use, const JobStep& step) {
  return WithTaskChange(use, step, -1);
}

std::size_t TaskKeyHash::operator()(const TaskKey& key) const {
  // Callers choose job numbers at random, so a few bits of the other parts are
  // enough to distinguish the tasks of a job.
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
  const auto low = static_cast<std::uint64_t>(key.occurrence()) << 40 |
                   static_cast<std::uint64_t>(key.step()) << 20 |
                   static_cast<std::uint64_t>(key.index());
  return static_cast<std::size_t>(key.job() ^ (low * kGoldenRatio));
}

const JobTask* JobTaskTable::Find(const TaskKey& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : &found->second;
}

void JobTaskTable::Put(const TaskKey& key, JobTask row) {
  const auto [entry, added] = rows_.try_emplace(key);
  if (!added) RemoveFromIndexes(key, entry->second);
  entry->second = std::move(row);
  AddToIndexes(key, entry->second);
}

void JobTaskTable::Erase(const TaskKey& key) {
  const auto found = rows_.find(key);
  if (found == rows_.end()) return;
  RemoveFromIndexes(key, found->second);
  rows_.erase(found);
}

const std::set<TaskKey>& JobTaskTable::TasksOnWorker(
    const MemberName& worker) const {
  static const std::set<TaskKey> kNone;
  const auto found = on_worker_.find(worker);
  return found == on_worker_.end() ? kNone : found->second;
}

const WorkerUse& JobTaskTable::UseOf(const MemberName& worker) const {
  static const WorkerUse kNone;
  const auto found = use_.find(worker);
  return found == use_.end() ? kNone : found->second;
}

const ImageUse& JobTaskTable::ImagesOnWorker(const MemberName& worker) const {
  static const ImageUse kNone;
  const auto found = images_.find(worker);
  return found == images_.end() ? kNone : found->second;
}

std::int32_t JobTaskTable::CountOnWorker(const StepKey& step,
                                         const MemberName& worker) const {
  const std::set<TaskKey>& tasks = TasksOnWorker(worker);
  const TaskKey first = TaskKey::Builder()
                            .job(step.job())
                            .occurrence(step.occurrence())
                            .step(step.step())
                            .Build();
  std::int32_t count = 0;
  for (auto task = tasks.lower_bound(first);
       task != tasks.end() && StepOf(*task) == step; ++task) {
    ++count;
  }
  return count;
}

std::int32_t JobTaskTable::ActiveIn(std::uint64_t job) const {
  const auto found = active_.find(job);
  return found == active_.end() ? 0 : found->second;
}

void JobTaskTable::AddToIndexes(const TaskKey& key, const JobTask& row) {
  if (row.stage() == TaskStage::kReady) ready_[StepOf(key)].insert(key.index());
  if (row.stage() == TaskStage::kInDoubt) unreconciled_.insert(key);
  if (IsActive(row)) ++active_[key.job()];
  if (row.stage() != TaskStage::kAssigned) return;
  on_worker_[row.worker()].insert(key);
  WorkerUse& use = use_[row.worker()];
  use = WithTask(use, *row.step());
  UpdateImages(images_[row.worker()], serving_images_, *row.step(), 1);
}

void JobTaskTable::RemoveFromIndexes(const TaskKey& key, const JobTask& row) {
  if (row.stage() == TaskStage::kReady) {
    const auto step = ready_.find(StepOf(key));
    step->second.erase(key.index());
    if (step->second.empty()) ready_.erase(step);
  }
  if (row.stage() == TaskStage::kInDoubt) unreconciled_.erase(key);
  if (IsActive(row) && --active_[key.job()] == 0) active_.erase(key.job());
  if (row.stage() != TaskStage::kAssigned) return;
  on_worker_[row.worker()].erase(key);
  WorkerUse& use = use_[row.worker()];
  use = WithoutTask(use, *row.step());
  UpdateImages(images_[row.worker()], serving_images_, *row.step(), -1);
}

}  // namespace quetzalline
