#ifndef QUETZALLINE_TABLES_CELL_HOLDING_H_
#define QUETZALLINE_TABLES_CELL_HOLDING_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/value.h"
#include "records/cell_lease.h"
#include "tables/cell_stage.h"

namespace quetzalline {

/// State of the cell's leader lease as this process sees it. The process that
/// has the lease is the holder of the cell: it alone places work and writes the
/// journal.
class CellHolding {
 public:
  class Builder;

  static constexpr std::string_view kName = "cell-holding";

  const CellStage& stage() const { return stage_; }
  /// The lease as last read; empty if the store has none.
  const std::optional<CellLease>& lease() const { return lease_; }
  /// Returns true once the lease has been read.
  bool lease_read() const { return lease_read_; }
  /// Store index of the lease; 0 if there is none.
  std::int64_t lease_index() const { return lease_index_; }
  /// Start of the time without a renewal after which the lease counts as
  /// expired: its last observed change or, if later, the last failed store call
  /// about it.
  Instant lease_changed() const { return lease_changed_; }
  /// End of this process's own lease, counted from the time at which it was
  /// requested.
  Instant valid_until() const { return valid_until_; }
  /// Time of the next lease renewal.
  Instant next_renewal() const { return next_renewal_; }
  /// Returns true while a watch on the lease is open.
  bool watching() const { return watching_; }
  /// Epoch of the cell that this process writes the journal under.
  std::uint64_t epoch() const { return epoch_; }
  /// Sequence number of the last durable journal entry.
  std::uint64_t sequence() const { return sequence_; }
  /// Store index of each journal slot; 0 if the slot was never written.
  const std::vector<std::int64_t>& slot_indexes() const {
    return slot_indexes_;
  }
  /// Store index of the snapshot.
  std::int64_t snapshot_index() const { return snapshot_index_; }
  /// Sequence number of the last journal entry that the snapshot covers.
  std::uint64_t snapshot_sequence() const { return snapshot_sequence_; }
  /// Returns true while a write of the snapshot is in flight.
  bool snapshot_pending() const { return snapshot_pending_; }
  /// Time at which an append without an answer is read back; empty if there is
  /// none.
  const std::optional<Instant>& check_at() const { return check_at_; }
  /// Earliest time of the next journal write.
  Instant next_write() const { return next_write_; }

  friend auto operator<=>(const CellHolding&, const CellHolding&) = default;

 private:
  QUETZALLINE_VALUE(CellHolding, stage_, lease_, lease_read_, lease_index_,
                    lease_changed_, valid_until_, next_renewal_, watching_,
                    epoch_, sequence_, slot_indexes_, snapshot_index_,
                    snapshot_sequence_, snapshot_pending_, check_at_,
                    next_write_)

  CellStage stage_;
  std::optional<CellLease> lease_;
  bool lease_read_ = false;
  std::int64_t lease_index_ = 0;
  Instant lease_changed_ = Instant{};
  Instant valid_until_ = Instant{};
  Instant next_renewal_ = Instant{};
  bool watching_ = false;
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;
  std::vector<std::int64_t> slot_indexes_;
  std::int64_t snapshot_index_ = 0;
  std::uint64_t snapshot_sequence_ = 0;
  bool snapshot_pending_ = false;
  std::optional<Instant> check_at_;
  Instant next_write_ = Instant{};
};

/// Builds a CellHolding; fields that are not set keep their defaults.
class CellHolding::Builder : public ValueBuilder<CellHolding, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& stage(CellStage value) {
    return Set(value_.stage_, std::move(value));
  }
  Builder& lease(std::optional<CellLease> value) {
    return Set(value_.lease_, std::move(value));
  }
  Builder& lease_read(bool value) { return Set(value_.lease_read_, value); }
  Builder& lease_index(std::int64_t value) {
    return Set(value_.lease_index_, value);
  }
  Builder& lease_changed(Instant value) {
    return Set(value_.lease_changed_, value);
  }
  Builder& valid_until(Instant value) {
    return Set(value_.valid_until_, value);
  }
  Builder& next_renewal(Instant value) {
    return Set(value_.next_renewal_, value);
  }
  Builder& watching(bool value) { return Set(value_.watching_, value); }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& sequence(std::uint64_t value) {
    return Set(value_.sequence_, value);
  }
  Builder& slot_indexes(std::vector<std::int64_t> value) {
    return Set(value_.slot_indexes_, std::move(value));
  }
  Builder& snapshot_index(std::int64_t value) {
    return Set(value_.snapshot_index_, value);
  }
  Builder& snapshot_sequence(std::uint64_t value) {
    return Set(value_.snapshot_sequence_, value);
  }
  Builder& snapshot_pending(bool value) {
    return Set(value_.snapshot_pending_, value);
  }
  Builder& check_at(std::optional<Instant> value) {
    return Set(value_.check_at_, std::move(value));
  }
  Builder& next_write(Instant value) { return Set(value_.next_write_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CELL_HOLDING_H_
