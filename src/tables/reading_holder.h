#ifndef QUETZALLINE_TABLES_READING_HOLDER_H_
#define QUETZALLINE_TABLES_READING_HOLDER_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads which process holds the cell.
class ReadingHolder {
 public:
  class Builder;

  static constexpr std::string_view kName = "reading-holder";

  friend auto operator<=>(const ReadingHolder&, const ReadingHolder&) = default;

 private:
  QUETZALLINE_VALUE(ReadingHolder)
};

/// Builds a ReadingHolder; fields that are not set keep their defaults.
class ReadingHolder::Builder : public ValueBuilder<ReadingHolder, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_READING_HOLDER_H_
