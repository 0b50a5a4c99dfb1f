#ifndef QUETZALLINE_TABLES_JOB_TASK_TABLE_H_
#define QUETZALLINE_TABLES_JOB_TASK_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/step_key.h"
#include "core/task_key.h"
#include "tables/image_use.h"
#include "tables/job_task.h"
#include "tables/worker_use.h"

namespace quetzalline {

/// Returns the step that a task belongs to.
StepKey StepOf(const TaskKey& task);

/// Returns the use with one more task of the step.
WorkerUse WithTask(const WorkerUse& use, const JobStep& step);

/// Returns the use with one task of the step less.
WorkerUse WithoutTask(const WorkerUse& use, const JobStep& step);

/// Hash function for task keys.
struct TaskKeyHash {
  std::size_t operator()(const TaskKey& key) const;
};

/// The tasks of all jobs that have not ended, with the indexes that placement
/// uses: the ready tasks by step, the tasks whose state is unknown and the
/// tasks assigned to each worker.
class JobTaskTable {
 public:
  /// Indexes of the ready tasks of each step.
  using ReadySteps = std::map<StepKey, std::set<std::int32_t>>;

  const JobTask* Find(const TaskKey& key) const;
  void Put(const TaskKey& key, JobTask row);
  void Erase(const TaskKey& key);

  const ReadySteps& ready() const { return ready_; }
  /// Returns the tasks whose state is unknown until they are reconciled.
  const std::set<TaskKey>& unreconciled() const { return unreconciled_; }
  /// Returns the tasks assigned to a worker.
  const std::set<TaskKey>& TasksOnWorker(const MemberName& worker) const;
  /// Returns the resources of a worker that its assigned tasks take.
  const WorkerUse& UseOf(const MemberName& worker) const;
  /// Returns the tasks assigned to a worker, by image.
  const ImageUse& ImagesOnWorker(const MemberName& worker) const;
  /// Returns the number of assigned tasks with a tail target, by image.
  const std::map<std::string, std::int32_t>& serving_images() const {
    return serving_images_;
  }
  /// Returns the number of tasks of this step that are assigned to a worker.
  std::int32_t CountOnWorker(const StepKey& step,
                             const MemberName& worker) const;
  /// Returns the number of tasks of the job that are assigned to a worker or
  /// whose state is unknown.
  std::int32_t ActiveIn(std::uint64_t job) const;
  std::size_t size() const { return rows_.size(); }

 private:
  void AddToIndexes(const TaskKey& key, const JobTask& row);
  void RemoveFromIndexes(const TaskKey& key, const JobTask& row);

  std::unordered_map<TaskKey, JobTask, TaskKeyHash> rows_;
  ReadySteps ready_;
  std::set<TaskKey> unreconciled_;
  std::unordered_map<std::uint64_t, std::int32_t> active_;
  std::map<MemberName, std::set<TaskKey>> on_worker_;
  std::map<MemberName, WorkerUse> use_;
  std::map<MemberName, ImageUse> images_;
  std::map<std::string, std::int32_t> serving_images_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOB_TASK_TABLE_H_
