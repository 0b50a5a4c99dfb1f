#ifndef QUETZALLINE_TABLES_JOURNAL_WRITE_H_
#define QUETZALLINE_TABLES_JOURNAL_WRITE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call appends an entry to the cell's journal.
class JournalWrite {
 public:
  class Builder;

  static constexpr std::string_view kName = "journal-write";

  friend auto operator<=>(const JournalWrite&, const JournalWrite&) = default;

 private:
  QUETZALLINE_VALUE(JournalWrite)
};

/// Builds a JournalWrite; fields that are not set keep their defaults.
class JournalWrite::Builder : public ValueBuilder<JournalWrite, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOURNAL_WRITE_H_
