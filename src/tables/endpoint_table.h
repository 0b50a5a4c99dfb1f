#ifndef QUETZALLINE_TABLES_ENDPOINT_TABLE_H_
#define QUETZALLINE_TABLES_ENDPOINT_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/table.h"
#include "core/time.h"
#include "core/time_index.h"
#include "tables/endpoint.h"

namespace quetzalline {

/// The announced endpoints, with the indexes that routing and membership use.
/// The cost of choosing an endpoint of a service does not depend on the number
/// of endpoints.
class EndpointTable {
 public:
  using Group = std::vector<EndpointId>;
  using Rows = HashTable<EndpointId, Endpoint>;

  const Endpoint* Find(const EndpointId& id) const { return rows_.Find(id); }
  void Put(const Endpoint& row);
  void Erase(const EndpointId& id);

  /// Returns the endpoint whose newest connection this is, or null.
  const Endpoint* FindByConnection(ConnectionId connection) const;

  /// Returns the reachable and active endpoints of a service in one region.
  const Group& Routable(const ServiceName& service, const Region& region) const;
  /// Returns the regions in which the service has ever had a routable endpoint.
  const std::vector<Region>& RegionsOf(const ServiceName& service) const;

  /// Returns every reachable and active endpoint of any service.
  const Group& Active() const { return Routable(ServiceName(), Region()); }

  /// Schedules the next check of the endpoint's heartbeat.
  void CheckAt(const EndpointId& id, Instant time) { checks_.Set(id, time); }
  std::vector<EndpointId> DueForCheck(Instant now) const {
    return checks_.Due(now);
  }
  std::optional<Instant> NextCheck() const { return checks_.Earliest(); }

  std::size_t size() const { return rows_.size(); }
  const Rows& rows() const { return rows_; }

 private:
  using GroupKey = std::pair<ServiceName, Region>;

  void Join(const EndpointId& id, const GroupKey& key);
  void Leave(const EndpointId& id, const GroupKey& key);

  Rows rows_;
  std::map<ConnectionId, EndpointId> by_connection_;
  std::map<GroupKey, Group> groups_;
  std::map<ServiceName, std::vector<Region>> regions_;
  std::map<std::pair<EndpointId, GroupKey>, std::size_t> positions_;
  TimeIndex<EndpointId> checks_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENDPOINT_TABLE_H_
