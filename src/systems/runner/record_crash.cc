#include "systems/runner/record_crash.h"

#include <algorithm>
#include <utility>

#include "systems/cell/log_fields.h"

namespace quetzalline {
namespace {

// Maximum number of crashes that wait for an acknowledgement. Only a holder
// causes runs, so there are few without one.
constexpr std::size_t kMaxCrashes = 16;

// Delays of the polls after the start of a suspect: beyond the age of a prime
// suspect, and beyond the age that clears it.
constexpr Duration kSurvivalCheckDelays[] = {std::chrono::milliseconds(100),
                                             std::chrono::milliseconds(600)};

std::int64_t ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// Returns the age of the run at the worker's last answer. Negative for a run
// that the worker has neither confirmed nor listed: it may have been gone
// already, since an answer that comes after a start may be that of an earlier
// call.
Duration AgeOf(const TrackedRun& run, const RunnerTables& tables) {
  const Duration age = tables.worker_heard_at_ - run.started_at();
  if (run.confirmed_at() != Instant()) return age;
  return std::min<Duration>(age, -std::chrono::milliseconds(1));
}

// Returns the runs that the known incarnation may have started. One whose call
// was sent after the incarnation had stopped answering is not among them.
LostIncarnation LostIncarnationOf(const RunnerTables& tables, Instant now) {
  const Instant lost_at = tables.worker_lost_at_.value_or(now);
  std::vector<LostRun> runs;
  for (const auto& [key, run] : tables.runs_) {
    if (run.started_at() == Instant() || run.started_at() > lost_at) continue;
    runs.push_back(LostRun::Builder()
                       .run(RunKey::Builder().task(key).run(run.run()).Build())
                       .age_ms(ToMilliseconds(AgeOf(run, tables)))
                       .Build());
  }
  return LostIncarnation::Builder()
      .born_ms(tables.facts_->born_ms())
      .lost_at(lost_at)
      .runs(std::move(runs))
      .Build();
}

void AddCrash(LostIncarnation lost, RunnerTables& tables, RunnerTick& tick) {
  LogLine(tick, "worker-crashed", 0,
          {Field("born_ms", lost.born_ms()), Field("runs", lost.runs().size()),
           FieldMs("since_ms", tick.now() - lost.lost_at())});
  auto& crashes = tables.crashes_;
  crashes.push_back(std::move(lost));
  if (crashes.size() > kMaxCrashes) crashes.erase(crashes.begin());
  tables.report_due_ = true;
}

}  // namespace

void RecordCrash(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.facts_ || tables.facts_->draining()) return;
  AddCrash(LostIncarnationOf(tables, tick.now()), tables, tick);
}

void KeepUnresponsive(RunnerTables& tables, Instant now) {
  if (!tables.facts_ || tables.facts_->draining()) return;
  tables.unresponsive_ = LostIncarnationOf(tables, now);
}

void ResolveUnresponsive(const WorkerDescription& facts, RunnerTables& tables,
                         RunnerTick& tick) {
  if (!tables.unresponsive_) return;
  LostIncarnation lost = *std::exchange(tables.unresponsive_, std::nullopt);
  if (lost.born_ms() == facts.born_ms()) return;
  AddCrash(std::move(lost), tables, tick);
}

void RecordAnswer(bool answered, RunnerTables& tables, Instant now) {
  if (answered) {
    tables.worker_heard_at_ = now;
    tables.worker_lost_at_.reset();
  } else if (!tables.worker_lost_at_) {
    tables.worker_lost_at_ = now;
  }
}

void ScheduleSurvivalChecks(RunnerTables& tables, Instant now) {
  for (const Duration delay : kSurvivalCheckDelays) {
    tables.survival_checks_.insert(now + delay);
  }
}

std::vector<WorkerCrash> CollectCrashes(const RunnerTables& tables,
                                        Instant now) {
  std::vector<WorkerCrash> crashes;
  for (const LostIncarnation& lost : tables.crashes_) {
    crashes.push_back(WorkerCrash::Builder()
                          .born_ms(lost.born_ms())
                          .since_ms(ToMilliseconds(now - lost.lost_at()))
                          .runs(lost.runs())
                          .Build());
  }
  return crashes;
}

void HandleAcknowledgedCrash(const AcknowledgeCrash& noted,
                             RunnerTables& tables) {
  std::erase_if(tables.crashes_, [&](const LostIncarnation& lost) {
    return lost.born_ms() == noted.born_ms();
  });
}

}  // namespace quetzalline
