#ifndef QUETZALLINE_TABLES_KEY_RING_H_
#define QUETZALLINE_TABLES_KEY_RING_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace quetzalline {

/// Consistent hashing of idempotency keys over the endpoints of each service.
/// Endpoints stay on the ring while they are merely silent, so that a repeated
/// key leads to the agents that remember it.
class KeyRing {
 public:
  void Add(const ServiceName& service, const EndpointId& endpoint);
  void Remove(const ServiceName& service, const EndpointId& endpoint);

  /// The first endpoints on the ring behind the key, without repetition; fewer
  /// than wanted where there are fewer.
  std::vector<EndpointId> Successors(const ServiceName& service,
                                     std::string_view key,
                                     std::size_t wanted) const;

 private:
  using Ring = std::multimap<std::uint64_t, EndpointId>;

  std::map<ServiceName, Ring> rings_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KEY_RING_H_
