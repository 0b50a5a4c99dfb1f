#ifndef QUETZALLINE_RECORDS_CELL_SNAPSHOT_H_
#define QUETZALLINE_RECORDS_CELL_SNAPSHOT_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "records/task.h"

namespace quetzalline {

/// A snapshot of the tasks of a cell after a journal entry.
class CellSnapshot {
 public:
  class Builder;

  static constexpr std::string_view kName = "cell-snapshot";

  /// Sequence number of the last journal entry that the snapshot includes.
  std::uint64_t sequence() const { return sequence_; }
  /// Fencing token of the holder that wrote the snapshot.
  std::uint64_t epoch() const { return epoch_; }
  /// Incarnation of the holder that wrote the snapshot.
  std::uint64_t nonce() const { return nonce_; }
  const std::vector<Task>& tasks() const { return tasks_; }

  friend auto operator<=>(const CellSnapshot&, const CellSnapshot&) = default;

 private:
  QUETZALLINE_VALUE(CellSnapshot, sequence_, epoch_, nonce_, tasks_)

  std::uint64_t sequence_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t nonce_ = 0;
  std::vector<Task> tasks_;
};

/// Builds a CellSnapshot; fields that are not set keep their defaults.
class CellSnapshot::Builder : public ValueBuilder<CellSnapshot, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& sequence(std::uint64_t value) {
    return Set(value_.sequence_, value);
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& nonce(std::uint64_t value) { return Set(value_.nonce_, value); }
  Builder& tasks(std::vector<Task> value) {
    return Set(value_.tasks_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_CELL_SNAPSHOT_H_
