#ifndef QUETZALLINE_TABLES_EXECUTION_TABLE_H_
#define QUETZALLINE_TABLES_EXECUTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/attempt_id.h"
#include "core/ids.h"
#include "core/table.h"
#include "core/time.h"
#include "core/time_index.h"
#include "tables/execution.h"

namespace quetzalline {

/// The attempts that an agent tracks. Indexed by the queues of the callers and
/// by the next deadline of each attempt.
class ExecutionTable {
 public:
  using Rows = Table<AttemptId, Execution>;
  using Arrival = std::pair<Instant, AttemptId>;
  /// Waiting attempts of one urgency class, by caller and then by arrival.
  using Queues = std::map<CallerName, std::set<Arrival>>;

  const Execution* Find(const AttemptId& id) const { return rows_.Find(id); }
  void Put(const Execution& row);
  void Erase(const AttemptId& id);

  const Queues& queues(bool urgent) const { return queues_[urgent ? 1 : 0]; }
  std::int32_t queued() const { return queued_; }
  /// Returns the number of attempts that take a slot, including abandoned ones.
  std::int32_t running() const { return running_; }
  /// Returns the number of slots taken by attempts of one caller.
  std::int32_t SlotsUsedBy(const CallerName& caller) const;
  std::int32_t answered() const {
    return static_cast<std::int32_t>(rows_.size()) - queued_ - running_;
  }
  /// Returns the total size of the retained answers, in bytes.
  std::int64_t answer_bytes() const { return answer_bytes_; }

  /// Returns the queued and running attempts whose lease has ended.
  std::vector<AttemptId> LeaseEnded(Instant now) const {
    return leases_.Due(now);
  }
  /// Returns the abandoned attempts whose slot is to be freed.
  std::vector<AttemptId> SlotHoldEnded(Instant now) const {
    return holds_.Due(now);
  }
  /// Returns the attempts answered at or before this time, oldest first.
  std::vector<AttemptId> AnsweredBy(Instant time) const {
    return answers_.Due(time);
  }
  std::optional<Instant> NextLeaseEnd() const { return leases_.Earliest(); }
  std::optional<Instant> NextSlotHoldEnd() const { return holds_.Earliest(); }
  std::optional<Instant> OldestAnswer() const { return answers_.Earliest(); }

  std::size_t size() const { return rows_.size(); }
  const Rows& rows() const { return rows_; }

 private:
  void Index(const Execution& row);
  void Unindex(const Execution& row);
  void ReleaseSlot(const CallerName& caller);

  Rows rows_;
  Queues queues_[2];
  std::map<CallerName, std::int32_t> running_of_;
  TimeIndex<AttemptId> leases_;
  TimeIndex<AttemptId> holds_;
  TimeIndex<AttemptId> answers_;
  std::int32_t queued_ = 0;
  std::int32_t running_ = 0;
  std::int64_t answer_bytes_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_EXECUTION_TABLE_H_
