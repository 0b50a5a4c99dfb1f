#include "systems/scheduler/scheduler_node.h"

#include "systems/scheduler/campaign.h"
#include "systems/scheduler/commit_progress.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/follow_members.h"
#include "systems/scheduler/load_kept.h"
#include "systems/scheduler/make_room.h"
#include "systems/scheduler/open_job.h"
#include "systems/scheduler/place_runs.h"
#include "systems/scheduler/settle_doubt.h"
#include "systems/scheduler/take_inputs.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {

SchedulerNode::SchedulerNode(const SchedulerPolicy& policy, std::uint64_t seed)
    : random_(seed) {
  tables_.policy_ = policy;
}

std::vector<SchedulerEffect> SchedulerNode::RunTick(
    Instant now, std::span<const SchedulerInput> inputs) {
  SchedulerTick tick(now, random_, tables_.counters_);
  NoticePause(tables_, tick);
  TakeInputs(inputs, tables_, tick);
  Campaign(tables_, tick);
  RetryLoading(tables_, tick);
  RetryReads(tables_, tick);
  ExpireWorkers(tables_, tick);
  SettleDoubt(tables_, tick);
  LeaveDrainingWorkers(tables_, tick);
  GrantLeases(tables_, tick);
  OpenOccurrences(tables_, tick);
  PlaceRuns(tables_, tick);
  PreemptLasting(tables_, tick);
  ConsolidateServing(tables_, tick);
  CommitProgress(tables_, tick);
  BeatEntries(tables_, tick);
  wake_at_ = tick.wake_at();
  return tick.TakeEffects();
}

}  // namespace quetzalline
