#ifndef QUETZALLINE_TABLES_JOURNAL_CHECK_H_
#define QUETZALLINE_TABLES_JOURNAL_CHECK_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call reads back whether an append took effect.
class JournalCheck {
 public:
  class Builder;

  static constexpr std::string_view kName = "journal-check";

  friend auto operator<=>(const JournalCheck&, const JournalCheck&) = default;

 private:
  QUETZALLINE_VALUE(JournalCheck)
};

/// Builds one JournalCheck; what is not set keeps its default.
class JournalCheck::Builder : public ValueBuilder<JournalCheck, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOURNAL_CHECK_H_
