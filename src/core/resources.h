#ifndef QUETZALLINE_CORE_RESOURCES_H_
#define QUETZALLINE_CORE_RESOURCES_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Amounts of each resource, as the capacity of a worker or the needs of a
/// task.
class Resources {
 public:
  class Builder;

  static constexpr std::string_view kName = "resources";

  /// CPU in thousandths of a core.
  std::int64_t milli_cores() const { return milli_cores_; }
  /// Memory in MiB.
  std::int64_t memory_mib() const { return memory_mib_; }
  /// Number of whole accelerators.
  std::int32_t accelerators() const { return accelerators_; }

  friend auto operator<=>(const Resources&, const Resources&) = default;

 private:
  QUETZALLINE_VALUE(Resources, milli_cores_, memory_mib_, accelerators_)

  std::int64_t milli_cores_ = 0;
  std::int64_t memory_mib_ = 0;
  std::int32_t accelerators_ = 0;
};

/// Builds a Resources; fields that are not set keep their defaults.
class Resources::Builder : public ValueBuilder<Resources, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& milli_cores(std::int64_t value) {
    return Set(value_.milli_cores_, value);
  }
  Builder& memory_mib(std::int64_t value) {
    return Set(value_.memory_mib_, value);
  }
  Builder& accelerators(std::int32_t value) {
    return Set(value_.accelerators_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_RESOURCES_H_
