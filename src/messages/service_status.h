#ifndef QUETZALLINE_MESSAGES_SERVICE_STATUS_H_
#define QUETZALLINE_MESSAGES_SERVICE_STATUS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Describes one service in the status report.
class ServiceStatus {
 public:
  class Builder;

  static constexpr std::string_view kName = "service-status";

  const ServiceName& service() const { return service_; }
  /// Revision under which the service was last published.
  std::int64_t revision() const { return revision_; }
  const std::string& author() const { return author_; }

  friend auto operator<=>(const ServiceStatus&, const ServiceStatus&) = default;

 private:
  QUETZALLINE_VALUE(ServiceStatus, service_, revision_, author_)

  ServiceName service_;
  std::int64_t revision_ = 0;
  std::string author_;
};

/// Builds a ServiceStatus; fields that are not set keep their defaults.
class ServiceStatus::Builder : public ValueBuilder<ServiceStatus, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
  Builder& author(std::string value) {
    return Set(value_.author_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SERVICE_STATUS_H_
