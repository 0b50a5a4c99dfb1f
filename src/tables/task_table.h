#ifndef QUETZALLINE_TABLES_TASK_TABLE_H_
#define QUETZALLINE_TABLES_TASK_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "core/ids.h"
#include "core/resources.h"
#include "core/table.h"
#include "core/time.h"
#include "core/time_index.h"
#include "records/task.h"

namespace quetzalline {

/// The tasks of a cell as recorded in its journal, with the indexes that
/// placement uses.
class TaskTable {
 public:
  using Rows = Table<TaskId, Task>;
  /// Ready tasks: urgent ones first, then by the time that they have waited.
  using Order = std::set<std::tuple<bool, Instant, TaskId>>;

  const Task* Find(const TaskId& id) const { return rows_.Find(id); }
  void Put(const Task& row);
  void Erase(const TaskId& id);
  void Clear() { *this = TaskTable(); }

  /// Returns the waiting tasks that placement may consider.
  const Order& ready() const { return ready_; }
  /// Returns the waiting tasks that placement passed over and may consider
  /// again.
  std::vector<TaskId> DeferredDue(Instant now) const {
    return deferred_.Due(now);
  }
  std::optional<Instant> NextDeferred() const { return deferred_.Earliest(); }
  /// Returns the total needs of the tasks that are assigned, or being assigned,
  /// to an endpoint.
  Resources CommittedTo(const EndpointId& endpoint) const;
  std::vector<TaskId> AssignedTo(const EndpointId& endpoint) const;
  std::vector<EndpointId> EndpointsInUse() const;
  std::vector<TaskId> TasksOfJob(const JobId& job) const;
  /// Returns the total needs of a team's assigned tasks.
  Resources UsedBy(const TeamName& team) const;

  /// Returns the tasks whose start or stop command is to be sent.
  std::vector<TaskId> DueToSend(Instant now) const { return sends_.Due(now); }
  std::optional<Instant> NextSend() const { return sends_.Earliest(); }
  /// Returns the tasks that ended at or before this time.
  std::vector<TaskId> EndedBy(Instant time) const { return ended_.Due(time); }

  std::size_t size() const { return rows_.size(); }
  const Rows& rows() const { return rows_; }

 private:
  void Index(const Task& row);
  void Unindex(const Task& row);
  void Commit(const Task& row, const EndpointId& endpoint);
  void Release(const Task& row, const EndpointId& endpoint);

  Rows rows_;
  Order ready_;
  TimeIndex<TaskId> deferred_;
  std::map<EndpointId, std::set<TaskId>> by_endpoint_;
  std::map<EndpointId, Resources> committed_;
  std::map<JobId, std::set<TaskId>> by_job_;
  std::map<TeamName, Resources> used_;
  TimeIndex<TaskId> sends_;
  TimeIndex<TaskId> ended_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TASK_TABLE_H_
