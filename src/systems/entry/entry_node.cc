#include "systems/entry/entry_node.h"

#include "systems/entry/accept_requests.h"
#include "systems/entry/append_journal.h"
#include "systems/entry/commit_journal.h"
#include "systems/entry/distribute_configuration.h"
#include "systems/entry/drain_entry.h"
#include "systems/entry/entry_inbox.h"
#include "systems/entry/expire_requests.h"
#include "systems/entry/handle_answers.h"
#include "systems/entry/maintain_cell_lease.h"
#include "systems/entry/place_tasks.h"
#include "systems/entry/publish_services.h"
#include "systems/entry/register_keys.h"
#include "systems/entry/route_requests.h"
#include "systems/entry/run_commands.h"
#include "systems/entry/track_endpoints.h"
#include "systems/entry/track_tasks.h"
#include "systems/entry/watch_configuration.h"

namespace quetzalline {
namespace {

// Initializes the tables. The configuration is read in the first tick, without
// waiting for a change.
void InitializeTables(EntryTables& tables, Instant now) {
  tables.next_configuration_read_ = now;
  tables.link_budget_ = LinkBudget::Builder()
                            .bytes(tables.policy_.region_bytes_per_second())
                            .refilled(now)
                            .Build();
  tables.retry_budget_ =
      RetryBudget::Builder()
          .hundredths(tables.policy_.retry_burst() * std::int64_t{100})
          .Build();
}

}  // namespace

EntryNode::EntryNode(const EntryPolicy& policy, std::uint64_t seed)
    : random_(seed) {
  tables_.policy_ = policy;
}

std::vector<EntryEffect> EntryNode::RunTick(
    Instant now, std::span<const EntryInput> inputs) {
  if (!started_) InitializeTables(tables_, now);
  started_ = true;
  const EntryInbox inbox = SortEntryInputs(inputs, tables_.store_calls_);
  EntryTick tick(now, random_, tables_.counters_);
  TrackEndpoints(inbox, tables_, tick);
  WatchConfiguration(inbox, tables_, tick);
  PublishServices(inbox, tables_, tick);
  CommitJournal(inbox, tables_, tick);
  MaintainCellLease(inbox, tables_, tick);
  RunCommands(inbox, tables_, tick);
  TrackTasks(inbox, tables_, tick);
  PlaceTasks(tables_, tick);
  AppendJournal(tables_, tick);
  DistributeConfiguration(tables_, tick);
  HandleAnswers(inbox, tables_, tick);
  AcceptRequests(inbox, tables_, tick);
  ExpireRequests(tables_, tick);
  RouteRequests(tables_, tick);
  RegisterKeys(inbox, tables_, tick);
  DrainEntry(inbox, tables_, tick);
  wake_at_ = tick.wake_at();
  return tick.TakeEffects();
}

}  // namespace quetzalline
