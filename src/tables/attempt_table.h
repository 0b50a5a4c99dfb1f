#ifndef QUETZALLINE_TABLES_ATTEMPT_TABLE_H_
#define QUETZALLINE_TABLES_ATTEMPT_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/attempt_id.h"
#include "core/ids.h"
#include "core/table.h"
#include "core/time.h"
#include "core/time_index.h"
#include "tables/attempt.h"

namespace quetzalline {

/// The attempts whose outcome is not known, indexed by endpoint and by the end
/// of their lease.
class AttemptTable {
 public:
  using Rows = Table<AttemptId, Attempt>;

  const Attempt* Find(const AttemptId& id) const { return rows_.Find(id); }
  void Put(const Attempt& row);
  void Erase(const AttemptId& id);

  /// Returns the open attempt of a request, or null. A request has at most one.
  const Attempt* FindByRequest(const RequestId& request) const;
  std::vector<AttemptId> AttemptsOfEndpoint(const EndpointId& endpoint) const;
  /// Returns the attempts whose lease ended at or before this time.
  std::vector<AttemptId> LeaseEndedBy(Instant time) const {
    return leases_.Due(time);
  }
  std::optional<Instant> NextLeaseEnd() const { return leases_.Earliest(); }

  std::size_t size() const { return rows_.size(); }
  const Rows& rows() const { return rows_; }

 private:
  Rows rows_;
  std::map<EndpointId, std::set<AttemptId>> by_endpoint_;
  TimeIndex<AttemptId> leases_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ATTEMPT_TABLE_H_
