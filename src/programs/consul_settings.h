#ifndef QUETZALLINE_PROGRAMS_CONSUL_SETTINGS_H_
#define QUETZALLINE_PROGRAMS_CONSUL_SETTINGS_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Settings of a store that is accessed through Consul's HTTP API.
class ConsulSettings {
 public:
  class Builder;

  static constexpr std::string_view kName = "consul-settings";

  /// Numeric address and port of the store.
  const std::string& address() const { return address_; }

  friend auto operator<=>(const ConsulSettings&,
                          const ConsulSettings&) = default;

 private:
  QUETZALLINE_VALUE(ConsulSettings, address_)

  std::string address_;
};

/// Builds a ConsulSettings; fields that are not set keep their defaults.
class ConsulSettings::Builder : public ValueBuilder<ConsulSettings, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& address(std::string value) {
    return Set(value_.address_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_CONSUL_SETTINGS_H_
