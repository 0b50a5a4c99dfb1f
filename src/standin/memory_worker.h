#ifndef QUETZALLINE_STANDIN_MEMORY_WORKER_H_
#define QUETZALLINE_STANDIN_MEMORY_WORKER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "core/task_attempt_id.h"
#include "core/time.h"
#include "messages/start_work.h"
#include "messages/worker_task_event.h"
#include "standin/worker_faults.h"
#include "standin/worker_task.h"

namespace quetzalline {

/// An in-memory replacement for a worker of the platform. A task attempt runs
/// for its declared run time; stopping it yields a checkpoint.
class MemoryWorker {
 public:
  /// Tasks run this many times faster than declared.
  explicit MemoryWorker(std::int64_t speed = 1) : speed_(speed) {}

  /// Starts a task attempt, or refuses it if it does not fit. Does nothing if
  /// it runs already.
  void Start(const StartWork& start, Instant now);
  /// Stops a task attempt. Does nothing if it is not running.
  void Stop(const TaskAttemptId& task, Instant now);
  /// Extends the lease under which the tasks run. A time before the end of the
  /// current lease is ignored.
  void Renew(Instant until) { lease_end_ = std::max(lease_end_, until); }
  void SetFaults(const WorkerFaults& faults) { faults_ = faults; }

  /// Removes and returns the reports up to now, in order. Stops all tasks if
  /// the lease has expired.
  std::vector<WorkerTaskEvent> DrainNews(Instant now);
  /// Returns the time of the next report, or nothing if no task runs.
  std::optional<Instant> NextNewsTime() const;

  /// The running task attempts.
  const std::map<TaskAttemptId, WorkerTask>& tasks() const { return tasks_; }

 private:
  void StopAll(Instant now);
  /// Ends all task attempts, whose work is lost.
  void Crash();
  bool HasRoom(const Resources& needs) const;
  void Report(const TaskAttemptId& task, const TaskEvent& news);

  std::map<TaskAttemptId, WorkerTask> tasks_;
  std::vector<WorkerTaskEvent> reports_;
  WorkerFaults faults_;
  std::int64_t speed_;
  Instant lease_end_ = Instant{};
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_MEMORY_WORKER_H_
