#ifndef QUETZALLINE_TABLES_JOB_ROW_H_
#define QUETZALLINE_TABLES_JOB_ROW_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/job_queue.h"
#include "core/job_state.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"
#include "records/job_record.h"

namespace quetzalline {

/// A job as the holder tracks it.
class JobRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-row";

  const Shared<JobRecord>& record() const { return record_; }
  /// Configuration of the queue at the time at which the job was opened.
  const Shared<JobQueue>& queue() const { return queue_; }
  Instant accepted_at() const { return accepted_at_; }
  /// Deadline of the job.
  Instant due() const { return due_; }
  JobState state() const { return state_; }
  /// Returns true once the job is stored.
  bool stored() const { return stored_; }
  /// Returns true once the final state is stored.
  bool closed() const { return closed_; }
  /// Time at which this holder observed that the job was closed.
  Instant closed_at() const { return closed_at_; }
  /// Returns true once a task has been started.
  bool began() const { return began_; }
  /// Number of tasks that are not done.
  std::int32_t tasks_left() const { return tasks_left_; }
  /// Declared work of the tasks that are not done, in core-milliseconds.
  std::int64_t work_left() const { return work_left_; }
  /// Time for which the job had nothing running although a task was ready, in
  /// this term and up to the present idle spell.
  Duration idle_time() const { return idle_time_; }

  friend auto operator<=>(const JobRow&, const JobRow&) = default;

 private:
  QUETZALLINE_VALUE(JobRow, record_, queue_, accepted_at_, due_, state_,
                    stored_, closed_, closed_at_, began_, tasks_left_,
                    work_left_, idle_time_)

  Shared<JobRecord> record_;
  Shared<JobQueue> queue_;
  Instant accepted_at_ = Instant{};
  Instant due_ = Instant{};
  JobState state_ = JobState{};
  bool stored_ = false;
  bool closed_ = false;
  Instant closed_at_ = Instant{};
  bool began_ = false;
  std::int32_t tasks_left_ = 0;
  std::int64_t work_left_ = 0;
  Duration idle_time_ = Duration{};
};

/// Builds a JobRow; fields that are not set keep their defaults.
class JobRow::Builder : public ValueBuilder<JobRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& record(Shared<JobRecord> value) {
    return Set(value_.record_, std::move(value));
  }
  Builder& queue(Shared<JobQueue> value) {
    return Set(value_.queue_, std::move(value));
  }
  Builder& accepted_at(Instant value) {
    return Set(value_.accepted_at_, value);
  }
  Builder& due(Instant value) { return Set(value_.due_, value); }
  Builder& state(JobState value) { return Set(value_.state_, value); }
  Builder& stored(bool value) { return Set(value_.stored_, value); }
  Builder& closed(bool value) { return Set(value_.closed_, value); }
  Builder& closed_at(Instant value) { return Set(value_.closed_at_, value); }
  Builder& began(bool value) { return Set(value_.began_, value); }
  Builder& tasks_left(std::int32_t value) {
    return Set(value_.tasks_left_, value);
  }
  Builder& work_left(std::int64_t value) {
    return Set(value_.work_left_, value);
  }
  Builder& idle_time(Duration value) { return Set(value_.idle_time_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOB_ROW_H_
