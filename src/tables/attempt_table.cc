#include "tables/attempt_table.h"

namespace quetzalline {

void AttemptTable::Put(const Attempt& row) {
  by_endpoint_[row.endpoint()].insert(row.id());
  leases_.Set(row.id(), row.lease_end());
  rows_.Put(row.id(), row);
}

void AttemptTable::Erase(const AttemptId& id) {
  const Attempt* row = rows_.Find(id);
  if (row == nullptr) return;
  const auto of_endpoint = by_endpoint_.find(row->endpoint());
  of_endpoint->second.erase(id);
  if (of_endpoint->second.empty()) by_endpoint_.erase(of_endpoint);
  leases_.Clear(id);
  rows_.Erase(id);
}

const Attempt* AttemptTable::FindByRequest(const RequestId& request) const {
  const AttemptId first = AttemptId::Builder().request(request).Build();
  const auto found = rows_.LowerBound(first);
  if (found == rows_.end() || found->first.request() != request) return nullptr;
  return &found->second;
}

std::vector<AttemptId> AttemptTable::AttemptsOfEndpoint(
    const EndpointId& endpoint) const {
  const auto found = by_endpoint_.find(endpoint);
  if (found == by_endpoint_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

}  // namespace quetzalline
