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
#include "tables/run_listing.h"

namespace quetzalline {

/// A worker with its runner, as the holder tracks it.
class WorkerRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-row";

  /// Facts about the worker; empty while the runner has no worker.
  const std::optional<WorkerDescription>& facts() const { return facts_; }
  RunListing listing() const { return listing_; }
  /// Returns true if the worker has shown in this session that it is alive.
  bool alive() const {
    return listing_ == RunListing::kTruncated ||
           listing_ == RunListing::kComplete;
  }
  /// Returns true once all runs have been listed in this session.
  bool reported() const { return listing_ == RunListing::kComplete; }
  /// Returns true once this incarnation has listed all its runs to this holder.
  bool reconciled() const { return reconciled_; }
  /// Time at which the worker's lease was last granted, or at which the worker
  /// last began to list its runs in a session; unset before.
  Instant granted_at() const { return granted_at_; }
  /// Time at which a lease was last sent to the runner.
  Instant grant_sent_at() const { return grant_sent_at_; }
  /// Number of the last report in this session, to which a lease grant refers.
  std::int64_t last_report() const { return last_report_; }
  /// Returns true once a lease was granted in this session, so that a start
  /// finds one.
  bool leased() const { return leased_; }
  /// Time by which the leases of the worker that were meant for another
  /// incarnation have certainly expired; unset if there can be none.
  Instant foreign_lease_end() const { return foreign_lease_end_; }
  /// Highest number of an end that was processed.
  std::int64_t ends_seen() const { return ends_seen_; }
  /// Highest number of an end that was acknowledged, so that the runner may
  /// drop it.
  std::int64_t ends_noted() const { return ends_noted_; }
  /// Number of consecutive failed runs.
  std::int32_t failures() const { return failures_; }
  /// End of the quarantine after failures, or of the back-off after a refusal.
  Instant rests_until() const { return rests_until_; }
  /// Returns true if the runner reports its worker as unresponsive.
  bool silent() const { return silent_; }
  /// Until this time, services avoid the worker, since services were moved away
  /// from it.
  Instant clear_until() const { return clear_until_; }
  /// CPU rate limit of best-effort tasks, in percent of full speed.
  std::int32_t fill_pace() const { return fill_pace_; }

  friend auto operator<=>(const WorkerRow&, const WorkerRow&) = default;

 private:
  QUETZALLINE_VALUE(WorkerRow, facts_, listing_, granted_at_, grant_sent_at_,
                    ends_seen_, ends_noted_, failures_, rests_until_, silent_,
                    clear_until_, fill_pace_, reconciled_, last_report_,
                    leased_, foreign_lease_end_)

  std::optional<WorkerDescription> facts_;
  RunListing listing_ = RunListing::kNone;
  Instant granted_at_ = Instant{};
  Instant grant_sent_at_ = Instant{};
  std::int64_t ends_seen_ = 0;
  std::int64_t ends_noted_ = 0;
  std::int32_t failures_ = 0;
  Instant rests_until_ = Instant{};
  bool silent_ = false;
  Instant clear_until_ = Instant{};
  std::int32_t fill_pace_ = 100;
  bool reconciled_ = false;
  std::int64_t last_report_ = 0;
  bool leased_ = false;
  Instant foreign_lease_end_ = Instant{};
};

/// Builds a WorkerRow; fields that are not set keep their defaults.
class WorkerRow::Builder : public ValueBuilder<WorkerRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& facts(std::optional<WorkerDescription> value) {
    return Set(value_.facts_, std::move(value));
  }
  Builder& listing(RunListing value) { return Set(value_.listing_, value); }
  Builder& reconciled(bool value) { return Set(value_.reconciled_, value); }
  Builder& granted_at(Instant value) { return Set(value_.granted_at_, value); }
  Builder& grant_sent_at(Instant value) {
    return Set(value_.grant_sent_at_, value);
  }
  Builder& last_report(std::int64_t value) {
    return Set(value_.last_report_, value);
  }
  Builder& leased(bool value) { return Set(value_.leased_, value); }
  Builder& foreign_lease_end(Instant value) {
    return Set(value_.foreign_lease_end_, value);
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
