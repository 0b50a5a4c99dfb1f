#ifndef QUETZALLINE_TABLES_COMMITTING_BATCH_H_
#define QUETZALLINE_TABLES_COMMITTING_BATCH_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Stores the changed records.
class CommittingBatch {
 public:
  class Builder;

  static constexpr std::string_view kName = "committing-batch";

  friend auto operator<=>(const CommittingBatch&,
                          const CommittingBatch&) = default;

 private:
  QUETZALLINE_VALUE(CommittingBatch)
};

/// Builds a CommittingBatch; fields that are not set keep their defaults.
class CommittingBatch::Builder : public ValueBuilder<CommittingBatch, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_COMMITTING_BATCH_H_
