#ifndef QUETZALLINE_TABLES_READING_EPOCH_H_
#define QUETZALLINE_TABLES_READING_EPOCH_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads the epoch before a leader election.
class ReadingEpoch {
 public:
  class Builder;

  static constexpr std::string_view kName = "reading-epoch";

  friend auto operator<=>(const ReadingEpoch&, const ReadingEpoch&) = default;

 private:
  QUETZALLINE_VALUE(ReadingEpoch)
};

/// Builds a ReadingEpoch; fields that are not set keep their defaults.
class ReadingEpoch::Builder : public ValueBuilder<ReadingEpoch, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_READING_EPOCH_H_
