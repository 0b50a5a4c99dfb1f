#ifndef QUETZALLINE_MESSAGES_CONFIGURATION_NOTICE_H_
#define QUETZALLINE_MESSAGES_CONFIGURATION_NOTICE_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/scheduler_configuration.h"
#include "core/shared.h"
#include "core/value.h"

namespace quetzalline {

/// Sends the configuration that is in force at the holder to an entry.
class ConfigurationNotice {
 public:
  class Builder;

  static constexpr std::string_view kName = "configuration-notice";

  const Shared<SchedulerConfiguration>& configuration() const {
    return configuration_;
  }

  friend auto operator<=>(const ConfigurationNotice&,
                          const ConfigurationNotice&) = default;

 private:
  QUETZALLINE_VALUE(ConfigurationNotice, configuration_)

  Shared<SchedulerConfiguration> configuration_;
};

/// Builds a ConfigurationNotice; fields that are not set keep their defaults.
class ConfigurationNotice::Builder
    : public ValueBuilder<ConfigurationNotice, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& configuration(Shared<SchedulerConfiguration> value) {
    return Set(value_.configuration_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CONFIGURATION_NOTICE_H_
