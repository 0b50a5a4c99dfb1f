#include "systems/scheduler/scheduler_node.h"

#include "systems/scheduler/commit_progress.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/dispatch_inputs.h"
#include "systems/scheduler/explain_idle_jobs.h"
#include "systems/scheduler/hand_over_workers.h"
#include "systems/scheduler/isolate_suspects.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/load_stored_state.h"
#include "systems/scheduler/observe_handovers.h"
#include "systems/scheduler/place_runs.h"
#include "systems/scheduler/reclaim_capacity.h"
#include "systems/scheduler/reconcile_tasks.h"
#include "systems/scheduler/track_attention.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_members.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {

SchedulerNode::SchedulerNode(const SchedulerPolicy& policy, std::uint64_t seed)
    : random_(seed) {
  tables_.policy_ = policy;
}

std::vector<SchedulerEffect> SchedulerNode::RunTick(
    Instant now, std::span<const SchedulerInput> inputs) {
  SchedulerTick tick(now, random_, tables_.counters_);
  DetectStall(tables_, tick);
  TrackAttention(tables_, tick);
  DispatchInputs(inputs, tables_, tick);
  RunLeaderElection(tables_, tick);
  ObserveHandovers(tables_, tick);
  RetryLoading(tables_, tick);
  RetryReads(tables_, tick);
  const bool walk_due = IsWalkDue(tables_, tick);
  if (walk_due) {
    TrackMajority(tables_, tick);
    ExpireWorkers(tables_, tick);
  }
  ReconcileTasks(tables_, tick);
  if (walk_due) {
    TrackAbsentWorkers(tables_, tick);
    EvictFromDrainingWorkers(tables_, tick);
  }
  GrantLeases(tables_, tick);
  ReleaseDueOccurrences(tables_, tick);
  IsolateSuspects(tables_, tick);
  PlaceRuns(tables_, tick);
  ExplainIdleJobs(tables_, tick);
  PreemptLongRunning(tables_, tick);
  ConsolidateServices(tables_, tick);
  CommitProgress(tables_, tick);
  ReleaseCell(tables_, tick);
  SendEntryHeartbeats(tables_, tick);
  wake_at_ = tick.wake_at();
  return tick.TakeEffects();
}

}  // namespace quetzalline
