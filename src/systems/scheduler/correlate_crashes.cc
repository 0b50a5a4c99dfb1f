#include "systems/scheduler/correlate_crashes.h"

#include <algorithm>
#include <functional>
#include <set>
#include <vector>

#include "systems/cell/log_fields.h"

namespace quetzalline {
namespace {

// Workers that are lost within this time of each other may share the cause.
constexpr Duration kCorrelationWindow = std::chrono::milliseconds(1000);
// Number of workers from which a loss is a correlated one, if it has also taken
// at least half of those that share the zone or the label.
constexpr std::size_t kMinCorrelated = 3;

using IsInGroup = std::function<bool(const AvailabilityZone&,
                                     const std::vector<std::string>&)>;

bool Has(const std::vector<std::string>& labels, const std::string& label) {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Returns the crashes of the group at about the time of this one, or nothing if
// they are too few.
std::vector<CrashKey> FindLoss(const CrashRow& crash, const IsInGroup& in_group,
                               const SchedulerTables& tables) {
  std::vector<CrashKey> lost;
  std::set<MemberName> members;
  for (const auto& [key, row] : tables.crashes_) {
    const Duration apart = row.lost_at() > crash.lost_at()
                               ? row.lost_at() - crash.lost_at()
                               : crash.lost_at() - row.lost_at();
    if (apart > kCorrelationWindow) continue;
    if (!in_group(row.zone(), row.labels())) continue;
    lost.push_back(key);
    members.insert(key.first);
  }
  std::size_t size = members.size();
  for (const auto& [name, worker] : tables.workers_) {
    if (!worker.facts() || members.count(name) > 0) continue;
    if (in_group(worker.facts()->zone(), worker.facts()->labels())) ++size;
  }
  const bool correlated =
      members.size() >= kMinCorrelated && 2 * members.size() >= size;
  return correlated ? lost : std::vector<CrashKey>();
}

// Returns true if a task is blamed for two of the crashes, and may thereby be
// what they have in common.
bool BlamesOneTaskTwice(const std::vector<CrashKey>& crashes,
                        const SchedulerTables& tables) {
  std::set<TaskKey> blamed;
  for (const CrashKey& key : crashes) {
    std::set<TaskKey> tasks;
    for (const RunKey& run : tables.crashes_.Find(key)->blamed()) {
      tasks.insert(run.task());
    }
    for (const TaskKey& task : tasks) {
      if (!blamed.insert(task).second) return true;
    }
  }
  return false;
}

std::vector<CrashKey> FindCorrelated(const CrashRow& crash,
                                     const SchedulerTables& tables) {
  std::vector<CrashKey> lost;
  if (!crash.zone().empty()) {
    lost = FindLoss(
        crash,
        [&](const AvailabilityZone& zone, const std::vector<std::string>&) {
          return zone == crash.zone();
        },
        tables);
  }
  // The whole fleet may share a cause that no zone or label names.
  if (lost.empty()) {
    lost = FindLoss(
        crash,
        [](const AvailabilityZone&, const std::vector<std::string>&) {
          return true;
        },
        tables);
    if (BlamesOneTaskTwice(lost, tables)) lost.clear();
  }
  for (const std::string& label : crash.labels()) {
    if (!lost.empty()) break;
    lost = FindLoss(
        crash,
        [&](const AvailabilityZone&, const std::vector<std::string>& labels) {
          return Has(labels, label);
        },
        tables);
  }
  return lost;
}

// Lets the crash under one run speak against its task no longer.
void Excuse(const RunKey& run, SchedulerTables& tables, SchedulerTick& tick) {
  const SuspectRow* known = tables.suspects_.Find(run.task());
  if (known == nullptr) return;
  std::vector<CrashedRun> crashed = known->crashed_runs();
  const auto excused =
      std::find_if(crashed.begin(), crashed.end(), [&](const CrashedRun& r) {
        return r.run() == run.run() && r.conclusive();
      });
  if (excused == crashed.end()) return;
  *excused = CrashedRun::Builder(*excused).conclusive(false).Build();
  tables.suspects_.Put(run.task(), SuspectRow::Builder(*known)
                                       .crashed_runs(std::move(crashed))
                                       .stored(false)
                                       .Build());
  tables.dirty_jobs_.Add(run.task().job(), DirtyKind::kAwaited, tick.now());
}

}  // namespace

bool ExcuseCorrelated(const CrashKey& key, SchedulerTables& tables,
                      SchedulerTick& tick) {
  const std::vector<CrashKey> lost =
      FindCorrelated(*tables.crashes_.Find(key), tables);
  if (lost.empty()) return false;
  LogLine(tick, "crashes-correlated", 0,
          {Field("member", key.first.value()), Field("workers", lost.size())});
  for (const CrashKey& other : lost) {
    const std::vector<RunKey> blamed = tables.crashes_.Find(other)->blamed();
    for (const RunKey& run : blamed) Excuse(run, tables, tick);
  }
  return true;
}

void ClearSuspect(const TaskKey& key, SchedulerTables& tables,
                  SchedulerTick& tick) {
  if (!tables.suspects_.Erase(key)) return;
  LogLine(tick, "suspect-cleared", key.job(),
          {Field("step", key.step()), Field("index", key.index())});
  tables.dirty_jobs_.Add(key.job(), DirtyKind::kProgress, tick.now());
  const JobTask* task = tables.tasks_.Find(key);
  if (task == nullptr || task->stage() != TaskStage::kQuarantined) return;
  tables.tasks_.Put(key,
                    JobTask::Builder(*task).stage(TaskStage::kReady).Build());
  tables.placement_due_ = true;
}

}  // namespace quetzalline
