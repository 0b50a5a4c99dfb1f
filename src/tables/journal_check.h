#ifndef QUETZALLINE_TABLES_JOURNAL_CHECK_H_
#define QUETZALLINE_TABLES_JOURNAL_CHECK_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call reads back whether an append was applied.
class JournalCheck {
 public:
  class Builder;

  static constexpr std::string_view kName = "journal-check";

  friend auto operator<=>(const JournalCheck&, const JournalCheck&) = default;

 private:
  QUETZALLINE_VALUE(JournalCheck)
};

/// Builds a JournalCheck; fields that are not set keep their defaults.
class JournalCheck::Builder : public ValueBuilder<JournalCheck, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOURNAL_CHECK_H_
