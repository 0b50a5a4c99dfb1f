#ifndef QUETZALLINE_MESSAGES_CONFIGURATION_UPDATE_H_
#define QUETZALLINE_MESSAGES_CONFIGURATION_UPDATE_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/published_service.h"
#include "core/value.h"

namespace quetzalline {

/// Lists all services that changed within a range of revisions.
class ConfigurationUpdate {
 public:
  class Builder;

  static constexpr std::string_view kName = "configuration-update";

  /// The range starts after this revision.
  std::int64_t after() const { return after_; }
  /// The range ends with this revision.
  std::int64_t upto() const { return upto_; }
  const std::vector<PublishedService>& services() const { return services_; }

  friend auto operator<=>(const ConfigurationUpdate&,
                          const ConfigurationUpdate&) = default;

 private:
  QUETZALLINE_VALUE(ConfigurationUpdate, after_, upto_, services_)

  std::int64_t after_ = 0;
  std::int64_t upto_ = 0;
  std::vector<PublishedService> services_;
};

/// Builds a ConfigurationUpdate; fields that are not set keep their defaults.
class ConfigurationUpdate::Builder
    : public ValueBuilder<ConfigurationUpdate, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& after(std::int64_t value) { return Set(value_.after_, value); }
  Builder& upto(std::int64_t value) { return Set(value_.upto_, value); }
  Builder& services(std::vector<PublishedService> value) {
    return Set(value_.services_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CONFIGURATION_UPDATE_H_
