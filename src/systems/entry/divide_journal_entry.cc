#include "systems/entry/divide_journal_entry.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/overloaded.h"
#include "systems/entry/append_journal.h"
#include "systems/entry/run_commands.h"

namespace quetzalline {
namespace {

std::string CheckpointOf(const TaskState& state) {
  return std::visit(
      Overloaded{[](const Waiting& s) { return s.checkpoint(); },
                 [](const Assigning& s) { return s.checkpoint(); },
                 [](const Assigned& s) { return s.checkpoint(); },
                 [](const Finished&) { return std::string(); },
                 [](const GivenUp&) { return std::string(); },
                 [](const Cancelled&) { return std::string(); }},
      state);
}

TaskState WithoutCheckpoint(const TaskState& state) {
  using Result = TaskState;
  return std::visit(
      Overloaded{[](const Waiting& s) {
                   return Result(Waiting::Builder(s).checkpoint("").Build());
                 },
                 [](const Assigning& s) {
                   return Result(Assigning::Builder(s).checkpoint("").Build());
                 },
                 [](const Assigned& s) {
                   return Result(Assigned::Builder(s).checkpoint("").Build());
                 },
                 [](const Finished& s) { return Result(s); },
                 [](const GivenUp& s) { return Result(s); },
                 [](const Cancelled& s) { return Result(s); }},
      state);
}

// Returns the record without the checkpoint of a stopped task; empty if it has
// none.
std::optional<JournalRecord> WithoutCheckpoint(const JournalRecord& record) {
  const auto* ended = std::get_if<TaskEnded>(&record);
  if (ended == nullptr) return std::nullopt;
  const auto* stopped = std::get_if<TaskStopped>(&ended->news());
  if (stopped == nullptr || stopped->checkpoint().empty()) return std::nullopt;
  return TaskEnded::Builder(*ended).news(TaskStopped()).Build();
}

void LogRejection(std::string subject, EntryTick& tick) {
  tick.counters().Add(Counter::kStoreFailures);
  tick.Emit(LogChange::Builder()
                .event("record-rejected")
                .subject(std::move(subject))
                .reason(Reason::kRecordRejected)
                .Build());
}

void RefuseSubmission(const TaskAccepted& record, EntryTables& tables,
                      EntryTick& tick) {
  for (const std::uint64_t id : tables.commands_.CommandsOfJob(record.job())) {
    const PendingCommand* row = tables.commands_.Find(id);
    if (!std::holds_alternative<SubmitJob>(row->command())) continue;
    AnswerCommand(id,
                  CommandRefused::Builder()
                      .reason(Reason::kRecordRejected)
                      .detail("the store does not accept the job's record")
                      .Build(),
                  tables, tick);
  }
}

// Writes the entry again later, since nothing can be left out of it.
void RetryLater(EntryTables& tables, EntryTick& tick) {
  const Instant retry_at = tick.now() + tables.policy_.store_retry();
  tables.cell_ = CellHolding::Builder(tables.cell_).check_at(retry_at).Build();
}

void HandleRejectedRecord(const JournalRecord& record, EntryTables& tables,
                          EntryTick& tick) {
  if (const auto reduced = WithoutCheckpoint(record)) {
    tables.journal_.SetInFlight(
        JournalEntry::Builder(*tables.journal_.in_flight())
            .records({*reduced})
            .Build());
    return WriteInFlight(tables, tick);
  }
  const auto* accepted = std::get_if<TaskAccepted>(&record);
  if (accepted == nullptr) return RetryLater(tables, tick);
  RefuseSubmission(*accepted, tables, tick);
  tables.journal_.ClearInFlight();
}

}  // namespace

void DivideRejectedEntry(EntryTables& tables, EntryTick& tick) {
  const std::vector<JournalRecord> records =
      tables.journal_.in_flight()->records();
  LogRejection("journal", tick);
  if (records.size() == 1) {
    return HandleRejectedRecord(records.front(), tables, tick);
  }
  tables.journal_.ClearInFlight();
  tables.journal_.Return(records);
  tables.journal_.LimitEntry(records.size() / 2);
}

void ShrinkSnapshot(EntryTables& tables, EntryTick& tick) {
  LogRejection("snapshot", tick);
  std::size_t bytes = 0;
  for (const Task& task : SnapshotTasks(tables)) {
    bytes += CheckpointOf(task.state()).size();
  }
  tables.snapshot_checkpoint_bytes_ = bytes / 2;
}

std::vector<Task> SnapshotTasks(const EntryTables& tables) {
  std::vector<Task> tasks;
  std::size_t bytes = 0;
  for (const auto& [id, task] : tables.tasks_.rows()) {
    const std::size_t size = CheckpointOf(task.state()).size();
    const bool fits = bytes + size <= tables.snapshot_checkpoint_bytes_;
    if (fits) bytes += size;
    tasks.push_back(fits ? task
                         : Task::Builder(task)
                               .state(WithoutCheckpoint(task.state()))
                               .Build());
  }
  return tasks;
}

}  // namespace quetzalline
