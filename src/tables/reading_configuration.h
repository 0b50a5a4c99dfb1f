#ifndef QUETZALLINE_TABLES_READING_CONFIGURATION_H_
#define QUETZALLINE_TABLES_READING_CONFIGURATION_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads the configuration.
class ReadingConfiguration {
 public:
  class Builder;

  static constexpr std::string_view kName = "reading-configuration";

  friend auto operator<=>(const ReadingConfiguration&,
                          const ReadingConfiguration&) = default;

 private:
  QUETZALLINE_VALUE(ReadingConfiguration)
};

/// Builds a ReadingConfiguration; fields that are not set keep their defaults.
class ReadingConfiguration::Builder
    : public ValueBuilder<ReadingConfiguration, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_READING_CONFIGURATION_H_
