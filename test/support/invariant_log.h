#ifndef QUETZALLINE_TEST_SUPPORT_INVARIANT_LOG_H_
#define QUETZALLINE_TEST_SUPPORT_INVARIANT_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/attempt_outcome.h"
#include "core/ids.h"
#include "core/request_id.h"
#include "core/task_attempt_id.h"
#include "core/time.h"

namespace quetzalline {

/// Observes callers, endpoints and workers and records every violated
/// guarantee: requests are answered once and run at most once at a time, a
/// request that is reported as not run never starts, an idempotency key runs
/// once, a task runs on one instance at a time, and an attempt resumes once
/// from a checkpoint. It does not read the system's own tables.
class InvariantLog {
 public:
  /// The key is the idempotency key, empty if the request has none.
  void RequestSent(const RequestId& id, const std::string& key);
  void RequestAnswered(const RequestId& id, const AttemptOutcome& outcome);
  void RequestStarted(const RequestId& id, const EndpointId& endpoint);
  void RequestEnded(const RequestId& id, const EndpointId& endpoint);

  void TaskRunStarted(const TaskAttemptId& task, const EndpointId& instance);
  void TaskRunEnded(const TaskAttemptId& task, const EndpointId& instance);
  void TaskResumed(const TaskAttemptId& task, const std::string& checkpoint);

  /// Records a failed check, described in words.
  void Fail(const std::string& description);
  const std::vector<std::string>& violations() const { return violations_; }

  /// Returns the number of requests that were sent and not answered.
  std::size_t unanswered() const;
  std::int64_t answered_done() const { return done_; }
  std::int64_t answered_not_run() const { return not_run_; }
  std::int64_t answered_unknown() const { return unknown_; }
  /// Returns how often the request was started at an endpoint.
  std::int64_t Starts(const RequestId& id) const;
  bool IsRunning(const TaskId& task) const {
    return running_tasks_.contains(task);
  }
  std::int64_t TaskRuns(const TaskId& task) const;

 private:
  struct Request {
    std::string key_;
    std::int64_t starts_ = 0;
    std::set<EndpointId> running_at_;
    bool answered_ = false;
    bool reported_not_run_ = false;
  };

  std::map<RequestId, Request> requests_;
  std::map<std::string, std::int64_t> key_starts_;
  std::map<TaskId, std::set<std::pair<TaskAttemptId, EndpointId>>>
      running_tasks_;
  std::map<TaskId, std::int64_t> task_runs_;
  std::map<std::string, TaskAttemptId> resumed_from_;
  std::vector<std::string> violations_;
  std::int64_t done_ = 0;
  std::int64_t not_run_ = 0;
  std::int64_t unknown_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_INVARIANT_LOG_H_
