#ifndef QUETZALLINE_TABLES_REQUEST_TABLE_H_
#define QUETZALLINE_TABLES_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/request_id.h"
#include "core/table.h"
#include "core/time.h"
#include "core/time_index.h"
#include "tables/request.h"

namespace quetzalline {

/// The callers' unanswered requests, indexed by deadline and by the time of the
/// next attempt.
class RequestTable {
 public:
  using Rows = Table<RequestId, Request>;

  const Request* Find(const RequestId& id) const { return rows_.Find(id); }
  void Put(const Request& row);
  void Erase(const RequestId& id);

  /// Returns the requests without an attempt in flight whose deadline has
  /// passed.
  std::vector<RequestId> Expired(Instant now) const {
    return deadlines_.Due(now);
  }
  /// Returns the requests for which an attempt may be sent now.
  std::vector<RequestId> Ready(Instant now) const { return tries_.Due(now); }
  std::optional<Instant> NextDeadline() const { return deadlines_.Earliest(); }
  std::optional<Instant> NextTry() const { return tries_.Earliest(); }

  std::size_t size() const { return rows_.size(); }
  /// Returns the total size of the request bodies, in bytes.
  std::int64_t bytes() const { return bytes_; }
  const Rows& rows() const { return rows_; }

 private:
  Rows rows_;
  TimeIndex<RequestId> deadlines_;
  TimeIndex<RequestId> tries_;
  std::int64_t bytes_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REQUEST_TABLE_H_
