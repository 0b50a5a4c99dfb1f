#ifndef QUETZALLINE_TABLES_CONFIRMING_COMMIT_H_
#define QUETZALLINE_TABLES_CONFIRMING_COMMIT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads the epoch's key to find out whether a commit without an answer was
/// applied.
class ConfirmingCommit {
 public:
  class Builder;

  static constexpr std::string_view kName = "confirming-commit";

  friend auto operator<=>(const ConfirmingCommit&,
                          const ConfirmingCommit&) = default;

 private:
  QUETZALLINE_VALUE(ConfirmingCommit)
};

/// Builds a ConfirmingCommit; fields that are not set keep their defaults.
class ConfirmingCommit::Builder
    : public ValueBuilder<ConfirmingCommit, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CONFIRMING_COMMIT_H_
