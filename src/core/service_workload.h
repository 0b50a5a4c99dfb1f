#ifndef QUETZALLINE_CORE_SERVICE_WORKLOAD_H_
#define QUETZALLINE_CORE_SERVICE_WORKLOAD_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A long-running service with a fixed number of replicas.
class ServiceWorkload {
 public:
  class Builder;

  static constexpr std::string_view kName = "service-workload";

  std::int32_t replicas() const { return replicas_; }

  friend auto operator<=>(const ServiceWorkload&,
                          const ServiceWorkload&) = default;

 private:
  QUETZALLINE_VALUE(ServiceWorkload, replicas_)

  std::int32_t replicas_ = 1;
};

/// Builds a ServiceWorkload; fields that are not set keep their defaults.
class ServiceWorkload::Builder : public ValueBuilder<ServiceWorkload, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& replicas(std::int32_t value) { return Set(value_.replicas_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_SERVICE_WORKLOAD_H_
