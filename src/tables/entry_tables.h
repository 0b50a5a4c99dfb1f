#ifndef QUETZALLINE_TABLES_ENTRY_TABLES_H_
#define QUETZALLINE_TABLES_ENTRY_TABLES_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/counters.h"
#include "tables/attempt_table.h"
#include "tables/cell_holding.h"
#include "tables/command_table.h"
#include "tables/endpoint_table.h"
#include "tables/entry_policy.h"
#include "tables/entry_stage.h"
#include "tables/journal_queue.h"
#include "tables/key_bucket_table.h"
#include "tables/link_budget.h"
#include "tables/request_table.h"
#include "tables/retry_budget.h"
#include "tables/service_table.h"
#include "tables/store_call_table.h"
#include "tables/task_table.h"
#include "tables/worker_health_table.h"

namespace quetzalline {

/// The state of an entry.
struct EntryTables {
  EntryPolicy policy_;
  EntryStage stage_;
  EndpointTable endpoints_;
  KeyBucketTable key_buckets_;
  RequestTable requests_;
  AttemptTable attempts_;
  RetryBudget retry_budget_;
  LinkBudget link_budget_;
  ServiceTable services_;
  CommandTable commands_;
  StoreCallTable store_calls_;
  std::uint64_t last_ticket_ = 0;
  /// Time of the next configuration read; empty while a watch is open.
  std::optional<Instant> next_configuration_read_;
  /// Configuration revision that was last sent to the agents.
  std::int64_t distributed_revision_ = 0;
  /// Time at which agents with outdated configuration are looked up again.
  Instant next_distribution_ = Instant{};
  CellHolding cell_;
  JournalQueue journal_;
  /// Maximum size of all checkpoints in a snapshot, in bytes.
  std::size_t snapshot_checkpoint_bytes_ = SIZE_MAX;
  TaskTable tasks_;
  /// Time of the next placement pass.
  Instant next_placement_ = Instant{};
  /// Time of the next check for lost instances.
  Instant next_loss_check_ = Instant{};
  WorkerHealthTable worker_health_;
  Counters counters_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENTRY_TABLES_H_
