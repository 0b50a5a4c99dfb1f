#include "programs/local_layout.h"

namespace quetzalline {
namespace {

constexpr int kExecutors = 11;
constexpr int kExecutorsPerRack = 3;
constexpr int kEntries = 2;

struct RegionAndZone {
  const char* region_;
  const char* zone_;
};

LocalInstance MakeInstance(const std::string& name, const RegionAndZone& zone,
                           int number) {
  const int rack = (number - 1) / kExecutorsPerRack + 1;
  return {name + "-" + std::to_string(number),
          Location::Builder()
              .region(Region(zone.region_))
              .zone(AvailabilityZone(zone.zone_))
              .rack(RackName("rack-" + std::to_string(rack)))
              .Build()};
}

LocalLayout MakeLayout(const std::string& example, const std::string& service,
                       const std::vector<RegionAndZone>& zones) {
  LocalLayout layout;
  layout.example_ = example;
  layout.service_ = ServiceName(service);
  layout.token_ = "local";
  for (int i = 1; i <= kEntries; ++i) {
    layout.entries_.push_back(MakeInstance("entry", zones[0], i));
  }
  for (int i = 1; i <= kExecutors; ++i) {
    const RegionAndZone& zone =
        zones[static_cast<std::size_t>(i - 1) % zones.size()];
    layout.instances_.push_back(MakeInstance("executor", zone, i));
  }
  return layout;
}

}  // namespace

LocalLayout ExampleLayout(const std::string& example) {
  if (example == "chikushi") {
    return MakeLayout(example, "listings",
                      {{"fukuoka", "hakata"},
                       {"fukuoka", "kokura"},
                       {"kagoshima", "taniyama"}});
  }
  if (example == "brunner") {
    return MakeLayout(example, "werkstatt",
                      {{"mittelland", "bern-a"},
                       {"mittelland", "olten-b"},
                       {"ticino", "lugano-a"}});
  }
  return {};
}

}  // namespace quetzalline
