#ifndef QUETZALLINE_TABLES_IDLE_JOB_H_
#define QUETZALLINE_TABLES_IDLE_JOB_H_

#include <compare>
#include <optional>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A job that has nothing running although a task of it is ready.
class IdleJob {
 public:
  class Builder;

  static constexpr std::string_view kName = "idle-job";

  /// Time since which the job has nothing running and a ready task. Earlier
  /// idle spells count in JobRow::idle_time().
  Instant since() const { return since_; }
  /// Returns true if the job has been idle so long in all its spells, beside
  /// unreserved CPU, that its next task goes before those of other jobs and may
  /// overcommit the CPU of best-effort tasks.
  bool starved() const { return starved_; }
  /// Time at which a task of the job was sent to a worker, until it is known
  /// whether that worker refuses it.
  const std::optional<Instant>& tried_at() const { return tried_at_; }
  /// Earliest time of the next log line about the job.
  Instant next_line() const { return next_line_; }

  friend auto operator<=>(const IdleJob&, const IdleJob&) = default;

 private:
  QUETZALLINE_VALUE(IdleJob, since_, starved_, tried_at_, next_line_)

  Instant since_ = Instant{};
  bool starved_ = false;
  std::optional<Instant> tried_at_;
  Instant next_line_ = Instant{};
};

/// Builds an IdleJob; fields that are not set keep their defaults.
class IdleJob::Builder : public ValueBuilder<IdleJob, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& since(Instant value) { return Set(value_.since_, value); }
  Builder& starved(bool value) { return Set(value_.starved_, value); }
  Builder& tried_at(std::optional<Instant> value) {
    return Set(value_.tried_at_, value);
  }
  Builder& next_line(Instant value) { return Set(value_.next_line_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_IDLE_JOB_H_
