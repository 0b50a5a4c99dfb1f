#ifndef QUETZALLINE_TABLES_IDLE_SPELLS_H_
#define QUETZALLINE_TABLES_IDLE_SPELLS_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"
#include "tables/idle_reason.h"

namespace quetzalline {

/// The times for which a job has had nothing running although it could be
/// expected to run, as observed at intervals. Decides nothing.
class IdleSpells {
 public:
  class Builder;

  static constexpr std::string_view kName = "idle-spells";

  /// Number of spells, with the present one.
  std::int32_t count() const { return count_; }
  /// Total time of the spells that have ended.
  Duration ended() const { return ended_; }
  /// Returns true if the last spell has not ended.
  bool idle() const { return idle_; }
  /// Start of the last spell.
  Instant since() const { return since_; }
  /// Last time at which the job was observed to be idle.
  Instant seen_at() const { return seen_at_; }
  /// Returns true if a task was sent since then that a worker may yet refuse.
  bool sent() const { return sent_; }
  /// Number of the job's tasks that were not done then.
  std::int32_t tasks_left() const { return tasks_left_; }
  /// Why the job was idle then.
  const IdleReason& reason() const { return reason_; }
  /// Time since which a reason of this kind was observed.
  Instant reason_since() const { return reason_since_; }
  /// Earliest time of the next log line about a job that is not held by
  /// placement.
  Instant next_line() const { return next_line_; }

  friend auto operator<=>(const IdleSpells&, const IdleSpells&) = default;

 private:
  QUETZALLINE_VALUE(IdleSpells, count_, ended_, idle_, since_, seen_at_, sent_,
                    tasks_left_, reason_, reason_since_, next_line_)

  std::int32_t count_ = 0;
  Duration ended_ = Duration{};
  bool idle_ = false;
  Instant since_ = Instant{};
  Instant seen_at_ = Instant{};
  bool sent_ = false;
  std::int32_t tasks_left_ = 0;
  IdleReason reason_;
  Instant reason_since_ = Instant{};
  Instant next_line_ = Instant{};
};

/// Builds IdleSpells; fields that are not set keep their defaults.
class IdleSpells::Builder : public ValueBuilder<IdleSpells, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& count(std::int32_t value) { return Set(value_.count_, value); }
  Builder& ended(Duration value) { return Set(value_.ended_, value); }
  Builder& idle(bool value) { return Set(value_.idle_, value); }
  Builder& since(Instant value) { return Set(value_.since_, value); }
  Builder& seen_at(Instant value) { return Set(value_.seen_at_, value); }
  Builder& sent(bool value) { return Set(value_.sent_, value); }
  Builder& tasks_left(std::int32_t value) {
    return Set(value_.tasks_left_, value);
  }
  Builder& reason(IdleReason value) {
    return Set(value_.reason_, std::move(value));
  }
  Builder& reason_since(Instant value) {
    return Set(value_.reason_since_, value);
  }
  Builder& next_line(Instant value) { return Set(value_.next_line_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_IDLE_SPELLS_H_
