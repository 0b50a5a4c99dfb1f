#ifndef QUETZALLINE_RECORDS_HOLDER_RECORD_H_
#define QUETZALLINE_RECORDS_HOLDER_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Names the holder of a cell, the process that holds its leader lease. The
/// epoch increases with each holder and the sequence with each of its commits,
/// so that a commit that arrives late fails.
class HolderRecord {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-record";

  std::int64_t epoch() const { return epoch_; }
  std::int64_t sequence() const { return sequence_; }
  const std::string& instance() const { return instance_; }

  friend auto operator<=>(const HolderRecord&, const HolderRecord&) = default;

 private:
  QUETZALLINE_VALUE(HolderRecord, epoch_, sequence_, instance_)

  std::int64_t epoch_ = 0;
  std::int64_t sequence_ = 0;
  std::string instance_;
};

/// Builds a HolderRecord; fields that are not set keep their defaults.
class HolderRecord::Builder : public ValueBuilder<HolderRecord, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
  Builder& sequence(std::int64_t value) { return Set(value_.sequence_, value); }
  Builder& instance(std::string value) {
    return Set(value_.instance_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_HOLDER_RECORD_H_
