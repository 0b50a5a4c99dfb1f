#ifndef QUETZALLINE_TABLES_HANDOVER_ROW_H_
#define QUETZALLINE_TABLES_HANDOVER_ROW_H_

#include <compare>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "core/task_key.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// What the previous holder left about a worker, and what this one leaves to
/// the next.
class HandoverRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "handover-row";

  /// Time by which the leases of all earlier holders have expired there; empty
  /// if the previous holder left no record.
  const std::optional<Instant>& earlier_end() const { return earlier_end_; }
  /// The tasks that may be on the worker according to the previous holder;
  /// empty if any may, or once the worker has listed its runs.
  const std::optional<std::set<TaskKey>>& earlier_tasks() const {
    return earlier_tasks_;
  }
  /// Time since which the worker has not answered; empty while it does.
  const std::optional<Instant>& absent_since() const { return absent_since_; }
  /// Returns true if the store may contain a record of this epoch.
  bool recorded() const { return recorded_; }
  /// Time for which leases remain by that record, counted from recorded_at().
  Duration remaining() const { return remaining_; }
  Instant recorded_at() const { return recorded_at_; }

  friend auto operator<=>(const HandoverRow&, const HandoverRow&) = default;

 private:
  QUETZALLINE_VALUE(HandoverRow, earlier_end_, earlier_tasks_, absent_since_,
                    recorded_, remaining_, recorded_at_)

  std::optional<Instant> earlier_end_;
  std::optional<std::set<TaskKey>> earlier_tasks_;
  std::optional<Instant> absent_since_;
  bool recorded_ = false;
  Duration remaining_{};
  Instant recorded_at_ = Instant{};
};

/// Builds a HandoverRow; fields that are not set keep their defaults.
class HandoverRow::Builder : public ValueBuilder<HandoverRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& earlier_end(std::optional<Instant> value) {
    return Set(value_.earlier_end_, value);
  }
  Builder& earlier_tasks(std::optional<std::set<TaskKey>> value) {
    return Set(value_.earlier_tasks_, std::move(value));
  }
  Builder& absent_since(std::optional<Instant> value) {
    return Set(value_.absent_since_, value);
  }
  Builder& recorded(bool value) { return Set(value_.recorded_, value); }
  Builder& remaining(Duration value) { return Set(value_.remaining_, value); }
  Builder& recorded_at(Instant value) {
    return Set(value_.recorded_at_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HANDOVER_ROW_H_
