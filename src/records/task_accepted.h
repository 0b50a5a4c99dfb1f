#ifndef QUETZALLINE_RECORDS_TASK_ACCEPTED_H_
#define QUETZALLINE_RECORDS_TASK_ACCEPTED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/task_template.h"
#include "core/value.h"

namespace quetzalline {

/// A task was submitted and accepted.
class TaskAccepted {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-accepted";

  const TaskId& id() const { return id_; }
  const JobId& job() const { return job_; }
  const ServiceName& service() const { return service_; }
  const TeamName& team() const { return team_; }
  const TaskTemplate& work() const { return work_; }

  friend auto operator<=>(const TaskAccepted&, const TaskAccepted&) = default;

 private:
  QUETZALLINE_VALUE(TaskAccepted, id_, job_, service_, team_, work_)

  TaskId id_;
  JobId job_;
  ServiceName service_;
  TeamName team_;
  TaskTemplate work_;
};

/// Builds a TaskAccepted; fields that are not set keep their defaults.
class TaskAccepted::Builder : public ValueBuilder<TaskAccepted, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(TaskId value) { return Set(value_.id_, std::move(value)); }
  Builder& job(JobId value) { return Set(value_.job_, std::move(value)); }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& team(TeamName value) { return Set(value_.team_, std::move(value)); }
  Builder& work(TaskTemplate value) {
    return Set(value_.work_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_TASK_ACCEPTED_H_
