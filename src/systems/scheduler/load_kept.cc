#include "systems/scheduler/load_kept.h"

#include <algorithm>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/follow_members.h"
#include "systems/scheduler/open_job.h"

namespace quetzalline {
namespace {

// Pause before a failed reading is repeated.
constexpr Duration kRetryPause = std::chrono::milliseconds(100);
// Ages of jobs come from clocks that may differ; none is taken for older.
constexpr std::int64_t kOldestJobMs = 600'000;

void Load(const std::string& prefix, SchedulerTables& tables,
          SchedulerTick& tick) {
  const KvsPurpose purpose =
      LoadingStoredState::Builder().prefix(prefix).Build();
  if (prefix == kConfigurationKey) {
    return GetKey(prefix, purpose, tables, tick);
  }
  ListKeys(prefix, purpose, tables, tick);
}

Instant AcceptedAt(const JobRecord& record, const SchedulerTables& tables,
                   Instant now) {
  const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() +
                      tables.wall_offset_ms_;
  const std::int64_t age_ms =
      std::clamp<std::int64_t>(now_ms - record.accepted_ms(), 0, kOldestJobMs);
  return now - std::chrono::milliseconds(age_ms);
}

// A job of which only the final state is kept.
void LoadClosedJob(std::uint64_t job, const JobProgress& progress, Instant now,
                   SchedulerTables& tables) {
  tables.jobs_.Put(job, JobRow::Builder()
                            .state(progress.state())
                            .stored(true)
                            .closed(true)
                            .closed_at(now)
                            .Build());
}

void LoadJobs(SchedulerTables& tables, Instant now) {
  std::map<std::uint64_t, JobProgress> progress;
  for (const KvsItem& item : tables.loaded_items_) {
    const auto job = ParseJobText(AfterPrefix(item.key(), kProgressPrefix));
    const auto* kept =
        item.record() ? std::get_if<JobProgress>(&*item.record()) : nullptr;
    if (job && kept != nullptr) progress[*job] = *kept;
  }
  for (const KvsItem& item : tables.loaded_items_) {
    const auto job = ParseJobText(AfterPrefix(item.key(), kJobPrefix));
    const auto* kept =
        item.record() ? std::get_if<JobRecord>(&*item.record()) : nullptr;
    if (!job || kept == nullptr) continue;
    const auto known = progress.find(*job);
    const JobProgress so_far =
        known == progress.end() ? JobProgress() : known->second;
    if (IsOver(so_far.state())) continue;
    OpenKeptJob(*job, *kept, so_far, AcceptedAt(*kept, tables, now), tables);
  }
  for (const auto& [job, kept] : progress) {
    if (IsOver(kept.state())) LoadClosedJob(job, kept, now, tables);
  }
}

void Act(SchedulerTables& tables, SchedulerTick& tick) {
  for (const KvsItem& item : tables.loaded_items_) {
    if (!item.record()) continue;
    std::visit(
        Overloaded{
            [&](const SchedulerConfiguration& configuration) {
              tables.configuration_ = configuration;
            },
            [&](const MemberRecord& member) {
              const auto vacant = AfterPrefix(item.key(), kVacantPrefix);
              if (!vacant.empty()) {
                tables.confirmed_lost_.insert(MemberName(std::string(vacant)));
                return;
              }
              const MemberName name(
                  std::string(AfterPrefix(item.key(), kMemberPrefix)));
              AddMember(name, member, tables, tick);
            },
            [](const JobRecord&) {},
            [](const JobProgress&) {},
            [](const HolderRecord&) {},
        },
        *item.record());
  }
  LoadJobs(tables, tick.now());
  tables.loaded_items_.clear();
  tables.stage_ = HolderActing::Builder().since(tick.now()).Build();
  tables.term_ = HolderTerm::Builder(tables.term_)
                     .settled(tables.tasks_.unreconciled().empty())
                     .Build();
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
  ForgetTerm(tables);
  tables.term_ = term;
  tables.stage_ = HolderLoading();
  tick.Emit(ReadWallClock());
  tables.pending_loads_ = {
      std::string(kJobPrefix), std::string(kProgressPrefix),
      std::string(kMemberPrefix), std::string(kVacantPrefix),
      std::string(kConfigurationKey)};
  for (const std::string& prefix : tables.pending_loads_) {
    Load(prefix, tables, tick);
  }
}

void RetryLoading(SchedulerTables& tables, SchedulerTick& tick) {
  const auto* loading = std::get_if<HolderLoading>(&tables.stage_);
  if (loading == nullptr || tables.failed_loads_.empty()) return;
  if (tick.now() < loading->retry_at()) return tick.WakeAt(loading->retry_at());
  const std::set<std::string> failed = std::move(tables.failed_loads_);
  tables.failed_loads_.clear();
  for (const std::string& prefix : failed) Load(prefix, tables, tick);
}

void TakeLoaded(const std::string& prefix, const KvsResult& result,
                SchedulerTables& tables, SchedulerTick& tick) {
  if (!std::holds_alternative<HolderLoading>(tables.stage_)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) {
    tables.failed_loads_.insert(prefix);
    tables.stage_ =
        HolderLoading::Builder().retry_at(tick.now() + kRetryPause).Build();
    return;
  }
  for (const KvsItem& item : read->items()) {
    if (!item.record()) tick.counters().Add(Counter::kBadInputs);
    tables.loaded_items_.push_back(item);
  }
  if (prefix == kMemberPrefix) tables.members_revision_ = read->revision();
  if (prefix == kConfigurationKey) {
    tables.configuration_revision_ = read->revision();
  }
  tables.pending_loads_.erase(prefix);
  if (tables.pending_loads_.empty()) Act(tables, tick);
}

void ForgetTerm(SchedulerTables& tables) {
  SchedulerTables fresh;
  fresh.policy_ = tables.policy_;
  fresh.counters_ = tables.counters_;
  fresh.last_ticket_ = tables.last_ticket_;
  fresh.store_calls_ = tables.store_calls_;
  fresh.store_round_trip_ = tables.store_round_trip_;
  fresh.stopping_ = tables.stopping_;
  fresh.wall_offset_ms_ = tables.wall_offset_ms_;
  fresh.last_tick_ = tables.last_tick_;
  fresh.term_number_ = tables.term_number_ + 1;
  tables = std::move(fresh);
}

}  // namespace quetzalline
