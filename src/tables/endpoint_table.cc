#include "tables/endpoint_table.h"

#include <algorithm>

namespace quetzalline {
namespace {

bool IsRoutable(const Endpoint& row) {
  return row.reachable() && row.announced()->state() == EndpointState::kActive;
}

// Key of the group that holds every routable endpoint of any service and
// region.
const std::pair<ServiceName, Region> kActiveGroup;

std::pair<ServiceName, Region> GroupOf(const Endpoint& row) {
  return {row.announced()->service(), row.announced()->location().region()};
}

bool SameGroup(const Endpoint& a, const Endpoint& b) {
  return IsRoutable(a) == IsRoutable(b) &&
         (a.announced()->service() == b.announced()->service()) &&
         (a.announced()->location().region() ==
          b.announced()->location().region());
}

}  // namespace

void EndpointTable::Put(const Endpoint& row) {
  const EndpointId& id = row.announced()->endpoint();
  const Endpoint* old = rows_.Find(id);
  const bool moves = old == nullptr || !SameGroup(*old, row);
  if (old != nullptr && moves && IsRoutable(*old)) {
    Leave(id, GroupOf(*old));
    Leave(id, kActiveGroup);
  }
  if (old == nullptr || old->connection() != row.connection()) {
    if (old != nullptr) by_connection_.erase(old->connection());
    by_connection_[row.connection()] = id;
  }
  rows_.Put(id, row);
  if (moves && IsRoutable(row)) {
    Join(id, GroupOf(row));
    Join(id, kActiveGroup);
  }
}

void EndpointTable::Erase(const EndpointId& id) {
  const Endpoint* row = rows_.Find(id);
  if (row == nullptr) return;
  if (IsRoutable(*row)) {
    Leave(id, GroupOf(*row));
    Leave(id, kActiveGroup);
  }
  by_connection_.erase(row->connection());
  checks_.Clear(id);
  rows_.Erase(id);
}

const Endpoint* EndpointTable::FindByConnection(ConnectionId connection) const {
  const auto found = by_connection_.find(connection);
  return found == by_connection_.end() ? nullptr : rows_.Find(found->second);
}

const EndpointTable::Group& EndpointTable::Routable(
    const ServiceName& service, const Region& region) const {
  static const Group kNone;
  const auto found = groups_.find({service, region});
  return found == groups_.end() ? kNone : found->second;
}

const std::vector<Region>& EndpointTable::RegionsOf(
    const ServiceName& service) const {
  static const std::vector<Region> kNone;
  const auto found = regions_.find(service);
  return found == regions_.end() ? kNone : found->second;
}

void EndpointTable::Join(const EndpointId& id, const GroupKey& key) {
  Group& group = groups_[key];
  positions_[{id, key}] = group.size();
  group.push_back(id);
  std::vector<Region>& regions = regions_[key.first];
  if (std::find(regions.begin(), regions.end(), key.second) == regions.end()) {
    regions.push_back(key.second);
  }
}

void EndpointTable::Leave(const EndpointId& id, const GroupKey& key) {
  Group& group = groups_[key];
  const auto place = positions_.find({id, key});
  positions_[{group.back(), key}] = place->second;
  group[place->second] = group.back();
  group.pop_back();
  positions_.erase({id, key});
}

}  // namespace quetzalline
