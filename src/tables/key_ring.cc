#include "tables/key_ring.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace quetzalline {
namespace {

// Points of each endpoint on the ring.
constexpr int kPoints = 16;

std::uint64_t Hash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

std::uint64_t PointOf(const EndpointId& endpoint, int point) {
  return Hash(endpoint.value() + "#" + std::to_string(point));
}

}  // namespace

void KeyRing::Add(const ServiceName& service, const EndpointId& endpoint) {
  Remove(service, endpoint);
  Ring& ring = rings_[service];
  for (int point = 0; point < kPoints; ++point) {
    ring.emplace(PointOf(endpoint, point), endpoint);
  }
}

void KeyRing::Remove(const ServiceName& service, const EndpointId& endpoint) {
  Ring& ring = rings_[service];
  for (int point = 0; point < kPoints; ++point) {
    const auto [first, last] = ring.equal_range(PointOf(endpoint, point));
    const auto own = std::find_if(first, last, [&](const auto& entry) {
      return entry.second == endpoint;
    });
    if (own != last) ring.erase(own);
  }
}

std::vector<EndpointId> KeyRing::Successors(const ServiceName& service,
                                            std::string_view key,
                                            std::size_t wanted) const {
  std::vector<EndpointId> found;
  const auto entry = rings_.find(service);
  if (entry == rings_.end()) return found;
  const Ring& ring = entry->second;
  auto position = ring.lower_bound(Hash(key));
  for (std::size_t i = 0; i < ring.size() && found.size() < wanted; ++i) {
    if (position == ring.end()) position = ring.begin();
    const EndpointId& candidate = position->second;
    if (std::find(found.begin(), found.end(), candidate) == found.end()) {
      found.push_back(candidate);
    }
    ++position;
  }
  return found;
}

}  // namespace quetzalline
