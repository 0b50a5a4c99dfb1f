#ifndef QUETZALLINE_TABLES_JOURNAL_READ_H_
#define QUETZALLINE_TABLES_JOURNAL_READ_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call reads the cell's journal and snapshot.
class JournalRead {
 public:
  class Builder;

  static constexpr std::string_view kName = "journal-read";

  friend auto operator<=>(const JournalRead&, const JournalRead&) = default;

 private:
  QUETZALLINE_VALUE(JournalRead)
};

/// Builds a JournalRead; fields that are not set keep their defaults.
class JournalRead::Builder : public ValueBuilder<JournalRead, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOURNAL_READ_H_
