#ifndef QUETZALLINE_TABLES_CONFIGURATION_WATCH_H_
#define QUETZALLINE_TABLES_CONFIGURATION_WATCH_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call waits for a change of the configuration.
class ConfigurationWatch {
 public:
  class Builder;

  static constexpr std::string_view kName = "configuration-watch";

  friend auto operator<=>(const ConfigurationWatch&,
                          const ConfigurationWatch&) = default;

 private:
  QUETZALLINE_VALUE(ConfigurationWatch)
};

/// Builds a ConfigurationWatch; fields that are not set keep their defaults.
class ConfigurationWatch::Builder
    : public ValueBuilder<ConfigurationWatch, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CONFIGURATION_WATCH_H_
