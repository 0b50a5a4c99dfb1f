#ifndef QUETZALLINE_TABLES_HELD_TASK_H_
#define QUETZALLINE_TABLES_HELD_TASK_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_event.h"
#include "core/task_template.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A task attempt that this instance was asked to run.
class HeldTask {
 public:
  class Builder;

  static constexpr std::string_view kName = "held-task";

  const TaskAttemptId& task() const { return task_; }
  std::uint64_t epoch() const { return epoch_; }
  const TaskTemplate& work() const { return work_; }
  /// Last news; empty until the worker has reported.
  const std::optional<TaskEvent>& news() const { return news_; }
  bool stopping() const { return stopping_; }
  /// When the news was last sent.
  Instant reported() const { return reported_; }
  /// The holder has recorded the terminal news.
  bool acknowledged() const { return acknowledged_; }

  friend auto operator<=>(const HeldTask&, const HeldTask&) = default;

 private:
  QUETZALLINE_VALUE(HeldTask, task_, epoch_, work_, news_, stopping_, reported_,
                    acknowledged_)

  TaskAttemptId task_;
  std::uint64_t epoch_ = 0;
  TaskTemplate work_;
  std::optional<TaskEvent> news_;
  bool stopping_ = false;
  Instant reported_ = Instant{};
  bool acknowledged_ = false;
};

/// Builds one HeldTask; what is not set keeps its default.
class HeldTask::Builder : public ValueBuilder<HeldTask, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& work(TaskTemplate value) {
    return Set(value_.work_, std::move(value));
  }
  Builder& news(std::optional<TaskEvent> value) {
    return Set(value_.news_, std::move(value));
  }
  Builder& stopping(bool value) { return Set(value_.stopping_, value); }
  Builder& reported(Instant value) { return Set(value_.reported_, value); }
  Builder& acknowledged(bool value) { return Set(value_.acknowledged_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HELD_TASK_H_
