#ifndef QUETZALLINE_CORE_LOCATION_H_
#define QUETZALLINE_CORE_LOCATION_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Region, availability zone and rack of an instance.
class Location {
 public:
  class Builder;

  static constexpr std::string_view kName = "location";

  const Region& region() const { return region_; }
  const AvailabilityZone& zone() const { return zone_; }
  const RackName& rack() const { return rack_; }

  friend auto operator<=>(const Location&, const Location&) = default;

 private:
  QUETZALLINE_VALUE(Location, region_, zone_, rack_)

  Region region_;
  AvailabilityZone zone_;
  RackName rack_;
};

/// Builds a Location; fields that are not set keep their defaults.
class Location::Builder : public ValueBuilder<Location, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& region(Region value) {
    return Set(value_.region_, std::move(value));
  }
  Builder& zone(AvailabilityZone value) {
    return Set(value_.zone_, std::move(value));
  }
  Builder& rack(RackName value) { return Set(value_.rack_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_LOCATION_H_
