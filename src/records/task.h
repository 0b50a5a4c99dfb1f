#ifndef QUETZALLINE_RECORDS_TASK_H_
#define QUETZALLINE_RECORDS_TASK_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/reason.h"
#include "core/shared.h"
#include "core/task_template.h"
#include "core/time.h"
#include "core/value.h"
#include "records/task_state.h"

namespace quetzalline {

/// A task that was submitted and is durable.
class Task {
 public:
  class Builder;

  static constexpr std::string_view kName = "task";

  const TaskId& id() const { return id_; }
  const JobId& job() const { return job_; }
  const ServiceName& service() const { return service_; }
  const Shared<TaskTemplate>& work() const { return work_; }
  /// Team that owns the service.
  const TeamName& team() const { return team_; }
  /// Time of the submission, or of its load by a new holder.
  Instant handed_in() const { return handed_in_; }
  /// Number of attempts assigned so far.
  std::int32_t attempts() const { return attempts_; }
  /// Distinct endpoints on which an attempt failed.
  const std::vector<EndpointId>& failed_on() const { return failed_on_; }
  /// Reason for which the last attempt failed or ended.
  Reason last_reason() const { return last_reason_; }
  const TaskState& state() const { return state_; }

  friend auto operator<=>(const Task&, const Task&) = default;

 private:
  QUETZALLINE_VALUE(Task, id_, job_, service_, work_, team_, handed_in_,
                    attempts_, failed_on_, last_reason_, state_)

  TaskId id_;
  JobId job_;
  ServiceName service_;
  Shared<TaskTemplate> work_;
  TeamName team_;
  Instant handed_in_ = Instant{};
  std::int32_t attempts_ = 0;
  std::vector<EndpointId> failed_on_;
  Reason last_reason_ = Reason{};
  TaskState state_;
};

/// Builds a Task; fields that are not set keep their defaults.
class Task::Builder : public ValueBuilder<Task, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(TaskId value) { return Set(value_.id_, std::move(value)); }
  Builder& job(JobId value) { return Set(value_.job_, std::move(value)); }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& work(Shared<TaskTemplate> value) {
    return Set(value_.work_, std::move(value));
  }
  Builder& team(TeamName value) { return Set(value_.team_, std::move(value)); }
  Builder& handed_in(Instant value) { return Set(value_.handed_in_, value); }
  Builder& attempts(std::int32_t value) { return Set(value_.attempts_, value); }
  Builder& failed_on(std::vector<EndpointId> value) {
    return Set(value_.failed_on_, std::move(value));
  }
  Builder& last_reason(Reason value) { return Set(value_.last_reason_, value); }
  Builder& state(TaskState value) {
    return Set(value_.state_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_TASK_H_
