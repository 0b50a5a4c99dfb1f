#include "support/invariant_log.h"

#include "core/overloaded.h"

namespace quetzalline {
namespace {

std::string RequestText(const RequestId& id) {
  return "request " + std::to_string(id.origin()) + "-" +
         std::to_string(id.sequence());
}

}  // namespace

void InvariantLog::Fail(const std::string& description) {
  violations_.push_back(description);
}

void InvariantLog::RequestSent(const RequestId& id, const std::string& key) {
  requests_[id].key_ = key;
}

void InvariantLog::RequestAnswered(const RequestId& id,
                                   const AttemptOutcome& outcome) {
  Request& request = requests_[id];
  if (request.answered_) Fail(RequestText(id) + " was answered twice");
  request.answered_ = true;
  const Overloaded check{
      [&](const Done& done) {
        ++done_;
        const bool has_key = !request.key_.empty();
        const std::string expected_body =
            has_key ? "key " + request.key_ : RequestText(id);
        if (done.response()->body().bytes() != expected_body) {
          Fail(RequestText(id) + " received the response of " +
               done.response()->body().bytes());
        }
      },
      [&](const NotRun&) {
        ++not_run_;
        request.reported_not_run_ = true;
        if (request.starts_ > 0) {
          Fail(RequestText(id) + " was reported as not run, but had started");
        }
      },
      [&](const Unknown&) { ++unknown_; },
  };
  std::visit(check, outcome);
}

void InvariantLog::RequestStarted(const RequestId& id,
                                  const EndpointId& endpoint) {
  Request& request = requests_[id];
  ++request.starts_;
  if (request.reported_not_run_) {
    Fail(RequestText(id) + " started after it was reported as not run");
  }
  if (!request.running_at_.empty()) {
    Fail(RequestText(id) + " runs at two endpoints at once");
  }
  request.running_at_.insert(endpoint);
  if (request.key_.empty()) return;
  if (++key_starts_[request.key_] > 1) {
    Fail("idempotency key " + request.key_ + " was executed twice");
  }
}

void InvariantLog::RequestEnded(const RequestId& id,
                                const EndpointId& endpoint) {
  requests_[id].running_at_.erase(endpoint);
}

void InvariantLog::TaskRunStarted(const TaskAttemptId& task,
                                  const EndpointId& instance) {
  auto& running = running_tasks_[task.task()];
  if (!running.empty()) {
    Fail("task " + task.task().value() + " runs on two instances at once");
  }
  running.insert({task, instance});
  ++task_runs_[task.task()];
}

void InvariantLog::TaskRunEnded(const TaskAttemptId& task,
                                const EndpointId& instance) {
  const auto found = running_tasks_.find(task.task());
  if (found == running_tasks_.end()) return;
  found->second.erase({task, instance});
  if (found->second.empty()) running_tasks_.erase(found);
}

void InvariantLog::TaskResumed(const TaskAttemptId& task,
                               const std::string& checkpoint) {
  if (checkpoint.empty()) return;
  const auto [first, added] = resumed_from_.emplace(checkpoint, task);
  // An attempt that ends before it takes a checkpoint of its own leaves the
  // earlier one to the next attempt, so two attempts may resume from the same
  // checkpoint. One attempt must not resume from it twice.
  if (!added && first->second == task) {
    Fail("task " + task.task().value() + " resumed twice from checkpoint " +
         checkpoint);
  }
  first->second = task;
}

std::size_t InvariantLog::unanswered() const {
  std::size_t count = 0;
  for (const auto& [id, request] : requests_) {
    if (!request.answered_) ++count;
  }
  return count;
}

std::int64_t InvariantLog::Starts(const RequestId& id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? 0 : found->second.starts_;
}

std::int64_t InvariantLog::TaskRuns(const TaskId& task) const {
  const auto found = task_runs_.find(task);
  return found == task_runs_.end() ? 0 : found->second;
}

}  // namespace quetzalline
