#ifndef QUETZALLINE_TABLES_WATCHING_CONFIGURATION_H_
#define QUETZALLINE_TABLES_WATCHING_CONFIGURATION_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Waits for a change of the configuration.
class WatchingConfiguration {
 public:
  class Builder;

  static constexpr std::string_view kName = "watching-configuration";

  friend auto operator<=>(const WatchingConfiguration&,
                          const WatchingConfiguration&) = default;

 private:
  QUETZALLINE_VALUE(WatchingConfiguration)
};

/// Builds a WatchingConfiguration; fields that are not set keep their defaults.
class WatchingConfiguration::Builder
    : public ValueBuilder<WatchingConfiguration, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WATCHING_CONFIGURATION_H_
