#ifndef QUETZALLINE_TABLES_WORKER_ROW_H_
#define QUETZALLINE_TABLES_WORKER_ROW_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"
#include "core/worker_description.h"

namespace quetzalline {

/// A worker with its runner, as the holder sees it.
class WorkerRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-row";

  /// Empty while the runner knows no worker.
  const std::optional<WorkerDescription>& facts() const { return facts_; }
  /// Whether this session has listed all its runs.
  bool reported() const { return reported_; }
  /// When its lease was granted last.
  Instant granted_at() const { return granted_at_; }
  /// When the runner was last sent a grant.
  Instant grant_sent_at() const { return grant_sent_at_; }
  /// The highest number of an end that was taken up.
  std::int64_t ends_seen() const { return ends_seen_; }
  /// The highest number that the runner may forget.
  std::int64_t ends_noted() const { return ends_noted_; }
  /// Failed runs in a row.
  std::int32_t failures() const { return failures_; }
  Instant rests_until() const { return rests_until_; }
  /// Whether it has answered no call of its runner for a while.
  bool silent() const { return silent_; }
  /// Until then, no task that serves joins, since others were moved away.
  Instant clear_until() const { return clear_until_; }
  /// Share of their speed that tasks that fill work at.
  std::int32_t fill_pace() const { return fill_pace_; }

  friend auto operator<=>(const WorkerRow&, const WorkerRow&) = default;

 private:
  QUETZALLINE_VALUE(WorkerRow, facts_, reported_, granted_at_, grant_sent_at_,
                    ends_seen_, ends_noted_, failures_, rests_until_, silent_,
                    clear_until_, fill_pace_)

  std::optional<WorkerDescription> facts_;
  bool reported_ = false;
  Instant granted_at_ = Instant{};
  Instant grant_sent_at_ = Instant{};
  std::int64_t ends_seen_ = 0;
  std::int64_t ends_noted_ = 0;
  std::int32_t failures_ = 0;
  Instant rests_until_ = Instant{};
  bool silent_ = false;
  Instant clear_until_ = Instant{};
  std::int32_t fill_pace_ = 100;
};

/// Builds one WorkerRow; what is not set keeps its default.
class WorkerRow::Builder : public ValueBuilder<WorkerRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& facts(std::optional<WorkerDescription> value) {
    return Set(value_.facts_, std::move(value));
  }
  Builder& reported(bool value) { return Set(value_.reported_, value); }
  Builder& granted_at(Instant value) { return Set(value_.granted_at_, value); }
  Builder& grant_sent_at(Instant value) {
    return Set(value_.grant_sent_at_, value);
  }
  Builder& ends_seen(std::int64_t value) {
    return Set(value_.ends_seen_, value);
  }
  Builder& ends_noted(std::int64_t value) {
    return Set(value_.ends_noted_, value);
  }
  Builder& failures(std::int32_t value) { return Set(value_.failures_, value); }
  Builder& rests_until(Instant value) {
    return Set(value_.rests_until_, value);
  }
  Builder& silent(bool value) { return Set(value_.silent_, value); }
  Builder& clear_until(Instant value) {
    return Set(value_.clear_until_, value);
  }
  Builder& fill_pace(std::int32_t value) {
    return Set(value_.fill_pace_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_ROW_H_
