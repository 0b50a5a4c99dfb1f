#ifndef QUETZALLINE_TABLES_READING_EPOCH_H_
#define QUETZALLINE_TABLES_READING_EPOCH_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads the epoch before a claim.
class ReadingEpoch {
 public:
  class Builder;

  static constexpr std::string_view kName = "reading-epoch";

  friend auto operator<=>(const ReadingEpoch&, const ReadingEpoch&) = default;

 private:
  QUETZALLINE_VALUE(ReadingEpoch)
};

/// Builds one ReadingEpoch; what is not set keeps its default.
class ReadingEpoch::Builder : public ValueBuilder<ReadingEpoch, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_READING_EPOCH_H_
