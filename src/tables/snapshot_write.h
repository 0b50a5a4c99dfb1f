#ifndef QUETZALLINE_TABLES_SNAPSHOT_WRITE_H_
#define QUETZALLINE_TABLES_SNAPSHOT_WRITE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call replaces the cell's snapshot.
class SnapshotWrite {
 public:
  class Builder;

  static constexpr std::string_view kName = "snapshot-write";

  /// Sequence number of the last journal entry that the snapshot covers.
  std::uint64_t sequence() const { return sequence_; }

  friend auto operator<=>(const SnapshotWrite&, const SnapshotWrite&) = default;

 private:
  QUETZALLINE_VALUE(SnapshotWrite, sequence_)

  std::uint64_t sequence_ = 0;
};

/// Builds a SnapshotWrite; fields that are not set keep their defaults.
class SnapshotWrite::Builder : public ValueBuilder<SnapshotWrite, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& sequence(std::uint64_t value) {
    return Set(value_.sequence_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SNAPSHOT_WRITE_H_
