#include "support/promise_log.h"

#include "core/overloaded.h"

namespace quetzalline {
namespace {

std::string Text(const RequestId& id) {
  return "request " + std::to_string(id.origin()) + "-" +
         std::to_string(id.sequence());
}

}  // namespace

void PromiseLog::Breach(const std::string& what) { breaches_.push_back(what); }

void PromiseLog::CallerAsked(const RequestId& id, const std::string& key) {
  requests_[id].key_ = key;
}

void PromiseLog::CallerAnswered(const RequestId& id,
                                const AttemptOutcome& outcome) {
  Request& request = requests_[id];
  if (request.answered_) Breach(Text(id) + " was answered twice");
  request.answered_ = true;
  const Overloaded check{
      [&](const Done& done) {
        ++done_;
        const bool keyed = !request.key_.empty();
        const std::string own = keyed ? "key " + request.key_ : Text(id);
        if (done.response()->body().bytes() != own) {
          Breach(Text(id) + " received the response of " +
                 done.response()->body().bytes());
        }
      },
      [&](const NotRun&) {
        ++not_run_;
        request.said_not_run_ = true;
        if (request.starts_ > 0) {
          Breach(Text(id) + " was reported as not run, but had started");
        }
      },
      [&](const Unknown&) { ++unknown_; },
  };
  std::visit(check, outcome);
}

void PromiseLog::RequestStarted(const RequestId& id,
                                const EndpointId& endpoint) {
  Request& request = requests_[id];
  ++request.starts_;
  if (request.said_not_run_) {
    Breach(Text(id) + " started after it was reported as not run");
  }
  if (!request.running_at_.empty()) {
    Breach(Text(id) + " runs at two endpoints at once");
  }
  request.running_at_.insert(endpoint);
  if (request.key_.empty()) return;
  if (++key_starts_[request.key_] > 1) {
    Breach("idempotency key " + request.key_ + " was executed twice");
  }
}

void PromiseLog::RequestEnded(const RequestId& id, const EndpointId& endpoint) {
  requests_[id].running_at_.erase(endpoint);
}

void PromiseLog::TaskRan(const TaskAttemptId& task,
                         const EndpointId& instance) {
  auto& places = places_[task.task()];
  if (!places.empty()) {
    Breach("task " + task.task().value() + " runs on two instances at once");
  }
  places.insert({task, instance});
  ++task_runs_[task.task()];
}

void PromiseLog::TaskEnded(const TaskAttemptId& task,
                           const EndpointId& instance) {
  const auto found = places_.find(task.task());
  if (found == places_.end()) return;
  found->second.erase({task, instance});
  if (found->second.empty()) places_.erase(found);
}

void PromiseLog::TaskResumed(const TaskAttemptId& task,
                             const std::string& checkpoint) {
  if (checkpoint.empty()) return;
  const auto [first, added] = resumed_from_.emplace(checkpoint, task);
  // An attempt that ends before it takes a checkpoint of its own leaves the
  // earlier one to the next attempt, so two attempts may resume from the same
  // checkpoint. One attempt must not resume from it twice.
  if (!added && first->second == task) {
    Breach("task " + task.task().value() + " resumed twice from checkpoint " +
           checkpoint);
  }
  first->second = task;
}

std::size_t PromiseLog::unanswered() const {
  std::size_t count = 0;
  for (const auto& [id, request] : requests_) {
    if (!request.answered_) ++count;
  }
  return count;
}

std::int64_t PromiseLog::Starts(const RequestId& id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? 0 : found->second.starts_;
}

std::int64_t PromiseLog::TaskRuns(const TaskId& task) const {
  const auto found = task_runs_.find(task);
  return found == task_runs_.end() ? 0 : found->second;
}

}  // namespace quetzalline
