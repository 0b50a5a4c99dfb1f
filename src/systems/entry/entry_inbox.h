#ifndef QUETZALLINE_SYSTEMS_ENTRY_ENTRY_INBOX_H_
#define QUETZALLINE_SYSTEMS_ENTRY_ENTRY_INBOX_H_

#include <span>
#include <vector>

#include "core/ids.h"
#include "messages/entry_input.h"
#include "messages/store_result.h"
#include "systems/received.h"
#include "tables/store_call_table.h"

namespace quetzalline {

/// Holds the result of a store call and the purpose of the call.
struct CompletedStoreCall {
  StorePurpose purpose_;
  StoreResult result_;
};

/// Holds the inputs of one tick, sorted by kind.
struct EntryInbox {
  std::vector<CallerRequest> requests_;
  std::vector<RequestId> disconnected_callers_;
  std::vector<OperatorCommand> commands_;
  std::vector<ConnectionId> closed_connections_;
  std::vector<Received<Announce>> announces_;
  std::vector<Received<Answer>> answers_;
  std::vector<Received<TaskReport>> task_reports_;
  std::vector<CompletedStoreCall> completed_store_calls_;
  bool stop_requested_ = false;
};

/// Sorts the inputs by kind and pairs each store result with its pending call.
/// A result without a pending call is dropped.
EntryInbox SortEntryInputs(std::span<const EntryInput> inputs,
                           StoreCallTable& calls);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_ENTRY_INBOX_H_
