#include "systems/scheduler/load_stored_state.h"

#include <algorithm>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/hand_over_workers.h"
#include "systems/scheduler/observe_handovers.h"
#include "systems/scheduler/split_progress.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_members.h"

namespace quetzalline {
namespace {

// Delay before failed reads are repeated.
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
// The age of a job is computed from the clocks of two processes, which may
// differ; it is limited to this.
constexpr std::int64_t kMaxJobAgeMs = 600'000;

void ReadPrefix(const std::string& prefix, SchedulerTables& tables,
                SchedulerTick& tick) {
  const KvsPurpose purpose =
      LoadingStoredState::Builder().prefix(prefix).Build();
  if (prefix == kConfigurationKey) {
    return GetKey(prefix, purpose, tables, tick);
  }
  ListKeys(prefix, purpose, tables, tick);
}

// Returns the monotonic time at which a stored job was accepted.
Instant AcceptedAt(const JobRecord& record, const SchedulerTables& tables,
                   Instant now) {
  const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() +
                      tables.wall_offset_ms_;
  const std::int64_t age_ms =
      std::clamp<std::int64_t>(now_ms - record.accepted_ms(), 0, kMaxJobAgeMs);
  return now - std::chrono::milliseconds(age_ms);
}

// Restores a job of which only the final state is stored.
void AddClosedJob(std::uint64_t job, const JobProgress& progress, Instant now,
                  SchedulerTables& tables) {
  tables.jobs_.Put(job, JobRow::Builder()
                            .state(progress.state())
                            .stored(true)
                            .closed(true)
                            .closed_at(now)
                            .Build());
}

void RestoreJobs(SchedulerTables& tables, Instant now) {
  std::map<std::uint64_t, std::map<std::size_t, JobProgress>> parts;
  for (const KvsItem& item : tables.loaded_items_) {
    const auto part = ParseProgressKey(item.key());
    const auto* stored =
        item.record() ? std::get_if<JobProgress>(&*item.record()) : nullptr;
    if (part && stored != nullptr) parts[part->job_][part->part_] = *stored;
  }
  std::map<std::uint64_t, JobProgress> progress;
  for (const auto& [job, stored] : parts) progress[job] = MergeProgress(stored);
  for (const KvsItem& item : tables.loaded_items_) {
    const auto job = ParseJobId(StripPrefix(item.key(), kJobPrefix));
    const auto* stored =
        item.record() ? std::get_if<JobRecord>(&*item.record()) : nullptr;
    if (!job || stored == nullptr) continue;
    const auto known = progress.find(*job);
    const JobProgress so_far =
        known == progress.end() ? JobProgress() : known->second;
    if (IsFinalState(so_far.state())) continue;
    RestoreJob(*job, *stored, so_far, AcceptedAt(*stored, tables, now), tables);
    const std::size_t count = CountProgressParts(*stored->definition());
    if (count == 1) continue;
    std::vector<JobProgress>& known_parts = tables.stored_progress_[*job];
    known_parts.resize(count);
    for (const auto& [number, part] : parts[*job]) {
      if (number < count) known_parts[number] = part;
    }
  }
  for (const auto& [job, stored] : progress) {
    if (IsFinalState(stored.state())) AddClosedJob(job, stored, now, tables);
  }
}

// Applies everything that was read and begins to act as the holder.
void BeginActing(SchedulerTables& tables, SchedulerTick& tick) {
  for (const KvsItem& item : tables.loaded_items_) {
    if (!item.record()) continue;
    std::visit(
        Overloaded{
            [&](const SchedulerConfiguration& configuration) {
              tables.configuration_ = configuration;
            },
            [&](const MemberRecord& member) {
              const auto lost = StripPrefix(item.key(), kConfirmedLostPrefix);
              if (!lost.empty()) {
                tables.confirmed_lost_.insert(MemberName(std::string(lost)));
                tables.stored_lost_.insert(MemberName(std::string(lost)));
                return;
              }
              const MemberName name(
                  std::string(StripPrefix(item.key(), kMemberPrefix)));
              AddMember(name, member, tables, tick);
            },
            [&](const WorkerHandover& handover) {
              const auto name = StripPrefix(item.key(), kHandoverPrefix);
              RestoreHandover(MemberName(std::string(name)), handover,
                              FirstSeenAt(item, tick.now(), tables), tables,
                              tick);
            },
            [](const JobRecord&) {},
            [](const JobProgress&) {},
            [](const HolderRecord&) {},
        },
        *item.record());
  }
  RestoreJobs(tables, tick.now());
  tables.loaded_items_.clear();
  tables.stage_ = HolderActing::Builder().since(tick.now()).Build();
  LogLine(
      tick, "cell-loaded", 0,
      {Field("epoch", tables.term_.epoch()), Field("jobs", tables.jobs_.size()),
       Field("tasks_in_doubt", tables.tasks_.unreconciled().size()),
       Field("members", tables.members_.size())});
  WatchMembers(tables, tick);
  WatchConfiguration(tables, tick);
}

}  // namespace

void BeginLoading(SchedulerTables& tables, SchedulerTick& tick) {
  const HolderTerm term = tables.term_;
  ClearTermState(tables);
  tables.term_ = term;
  tables.stage_ = HolderLoading();
  tick.Emit(ReadWallClock());
  tables.pending_loads_ = {
      std::string(kJobPrefix),      std::string(kProgressPrefix),
      std::string(kMemberPrefix),   std::string(kConfirmedLostPrefix),
      std::string(kHandoverPrefix), std::string(kConfigurationKey)};
  for (const std::string& prefix : tables.pending_loads_) {
    ReadPrefix(prefix, tables, tick);
  }
}

void RetryLoading(SchedulerTables& tables, SchedulerTick& tick) {
  const auto* loading = std::get_if<HolderLoading>(&tables.stage_);
  if (loading == nullptr || tables.failed_loads_.empty()) return;
  if (tick.now() < loading->retry_at()) return tick.WakeAt(loading->retry_at());
  const std::set<std::string> failed = std::move(tables.failed_loads_);
  tables.failed_loads_.clear();
  for (const std::string& prefix : failed) ReadPrefix(prefix, tables, tick);
}

void HandleLoadResult(const std::string& prefix, const KvsResult& result,
                      SchedulerTables& tables, SchedulerTick& tick) {
  if (!std::holds_alternative<HolderLoading>(tables.stage_)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) {
    tables.failed_loads_.insert(prefix);
    tables.stage_ =
        HolderLoading::Builder().retry_at(tick.now() + kRetryDelay).Build();
    return;
  }
  for (const KvsItem& item : read->items()) {
    if (!item.record()) ReportOddItem(item, tick);
    tables.loaded_items_.push_back(item);
  }
  if (prefix == kMemberPrefix) tables.members_revision_ = read->revision();
  if (prefix == kConfigurationKey) {
    tables.configuration_revision_ = read->revision();
  }
  tables.pending_loads_.erase(prefix);
  if (tables.pending_loads_.empty()) BeginActing(tables, tick);
}

void ClearTermState(SchedulerTables& tables) {
  SchedulerTables cleared;
  cleared.policy_ = tables.policy_;
  cleared.counters_ = tables.counters_;
  cleared.last_ticket_ = tables.last_ticket_;
  cleared.store_calls_ = tables.store_calls_;
  cleared.store_round_trip_ = tables.store_round_trip_;
  cleared.stopping_ = tables.stopping_;
  cleared.observed_handovers_ = tables.observed_handovers_;
  cleared.handovers_revision_ = tables.handovers_revision_;
  cleared.observing_since_ = tables.observing_since_;
  cleared.wall_offset_ms_ = tables.wall_offset_ms_;
  cleared.last_tick_ = tables.last_tick_;
  cleared.attention_ = tables.attention_;
  cleared.attended_at_ = tables.attended_at_;
  cleared.starts_per_tick_ = tables.starts_per_tick_;
  cleared.term_number_ = tables.term_number_ + 1;
  tables = std::move(cleared);
}

}  // namespace quetzalline
