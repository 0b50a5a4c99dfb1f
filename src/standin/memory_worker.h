#ifndef QUETZALLINE_STANDIN_MEMORY_WORKER_H_
#define QUETZALLINE_STANDIN_MEMORY_WORKER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "core/task_attempt_id.h"
#include "core/time.h"
#include "messages/start_work.h"
#include "messages/worker_news.h"
#include "standin/worker_faults.h"
#include "standin/worker_task.h"

namespace quetzalline {

/// A worker of the platform in memory: it runs task attempts by letting their
/// declared time pass, and names a checkpoint when it stops one.
class MemoryWorker {
 public:
  /// Work passes this many times faster than the declared time.
  explicit MemoryWorker(std::int64_t speed = 1) : speed_(speed) {}

  void Start(const StartWork& start, Instant now);
  void Stop(const TaskAttemptId& task, Instant now);
  /// Lets the tasks run until this time; an earlier time than the one known
  /// changes nothing.
  void Renew(Instant until) { lease_end_ = std::max(lease_end_, until); }
  void SetFaults(const WorkerFaults& faults) { faults_ = faults; }

  /// What there is to report by now, in order.
  std::vector<WorkerNews> TakeNews(Instant now);
  /// When there will be something to report next.
  std::optional<Instant> NextNews() const;

  /// The task attempts that run now.
  const std::map<TaskAttemptId, WorkerTask>& tasks() const { return tasks_; }

 private:
  void StopAll(Instant now);
  void Report(const TaskAttemptId& task, const TaskEvent& news);

  std::map<TaskAttemptId, WorkerTask> tasks_;
  std::vector<WorkerNews> reports_;
  WorkerFaults faults_;
  std::int64_t speed_;
  Instant lease_end_ = Instant{};
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_MEMORY_WORKER_H_
