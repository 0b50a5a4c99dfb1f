#include "systems/entry/submit_jobs.h"

#include <algorithm>
#include <string>

#include "core/overloaded.h"
#include "systems/entry/report_status.h"
#include "systems/entry/run_commands.h"

namespace quetzalline {
namespace {

// Maximum number of tasks in a cell, so that the cell's snapshot fits into one
// value of the store.
constexpr std::size_t kMaxTasks = 2000;

bool IsHolder(const EntryTables& tables) {
  return std::holds_alternative<Holding>(tables.cell_.stage());
}

void Refuse(std::uint64_t command, Reason reason, std::string detail,
            EntryTables& tables, EntryTick& tick) {
  AnswerCommand(command,
                CommandRefused::Builder()
                    .reason(reason)
                    .detail(std::move(detail))
                    .Build(),
                tables, tick);
}

void RefuseNotHolder(std::uint64_t command, EntryTables& tables,
                     EntryTick& tick) {
  const std::optional<CellLease>& lease = tables.cell_.lease();
  Refuse(command, Reason::kNotHolder, lease ? lease->address() : std::string(),
         tables, tick);
}

const TaskTemplate* FindTemplate(const ServiceFile& file,
                                 const std::string& name) {
  const auto found = std::find_if(
      file.tasks().begin(), file.tasks().end(),
      [&](const TaskTemplate& work) { return work.name() == name; });
  return found == file.tasks().end() ? nullptr : &*found;
}

std::int32_t TaskCount(const Workload& workload) {
  return std::visit(
      Overloaded{[](const ServiceWorkload& w) { return w.replicas(); },
                 [](const BatchWorkload&) { return 1; },
                 [](const WatcherWorkload&) { return 1; }},
      workload);
}

void QueueTasks(const JobId& job, const ServiceFile& file,
                const TaskTemplate& work, JournalQueue& journal) {
  for (std::int32_t i = 1; i <= TaskCount(work.workload()); ++i) {
    journal.Push(TaskAccepted::Builder()
                     .id(TaskId(job.value() + "/" + std::to_string(i)))
                     .job(job)
                     .service(file.name())
                     .team(file.team())
                     .work(work)
                     .Build());
  }
}

void AddPendingCommand(std::uint64_t id, const Command& command,
                       EntryTables& tables) {
  tables.commands_.Put(
      id, PendingCommand::Builder().id(id).command(command).Build());
}

// Returns true if a command of type `Kind` is pending for the job.
template <typename Kind>
bool IsPending(const JobId& job, const CommandTable& commands) {
  const std::vector<std::uint64_t> ids = commands.CommandsOfJob(job);
  return std::any_of(ids.begin(), ids.end(), [&](std::uint64_t id) {
    return std::holds_alternative<Kind>(commands.Find(id)->command());
  });
}

bool HasEnded(const Task& task) {
  return std::visit(Overloaded{[](const Waiting&) { return false; },
                               [](const Assigning&) { return false; },
                               [](const Assigned&) { return false; },
                               [](const Finished&) { return true; },
                               [](const GivenUp&) { return true; },
                               [](const Cancelled&) { return true; }},
                    task.state());
}

// Returns the first task of the job that has not ended, or nullptr.
const Task* FindActive(const JobId& job, const TaskTable& tasks) {
  for (const TaskId& id : tasks.TasksOfJob(job)) {
    const Task* task = tasks.Find(id);
    if (!HasEnded(*task)) return task;
  }
  return nullptr;
}

}  // namespace

void HandleSubmitJob(std::uint64_t command, const SubmitJob& submit,
                     EntryTables& tables, EntryTick& tick) {
  if (!IsHolder(tables)) return RefuseNotHolder(command, tables, tick);
  if (!tables.tasks_.TasksOfJob(submit.job()).empty()) {
    return AnswerCommand(command,
                         JobAccepted::Builder().job(submit.job()).Build(),
                         tables, tick);
  }
  const PublishedService* service = tables.services_.Find(submit.service());
  if (service == nullptr) {
    return Refuse(command, Reason::kUnknownService, submit.service().value(),
                  tables, tick);
  }
  const TaskTemplate* work = FindTemplate(service->file(), submit.task());
  if (work == nullptr) {
    return Refuse(command, Reason::kInvalid, "no task named " + submit.task(),
                  tables, tick);
  }
  if (tables.tasks_.size() + tables.journal_.waiting() >= kMaxTasks) {
    return Refuse(command, Reason::kTableFull, "", tables, tick);
  }
  const bool pending = IsPending<SubmitJob>(submit.job(), tables.commands_);
  AddPendingCommand(command, submit, tables);
  if (!pending) {
    QueueTasks(submit.job(), service->file(), *work, tables.journal_);
  }
}

void HandleCancelJob(std::uint64_t command, const CancelJob& cancel,
                     EntryTables& tables, EntryTick& tick) {
  if (!IsHolder(tables)) return RefuseNotHolder(command, tables, tick);
  const std::vector<TaskId> ids = tables.tasks_.TasksOfJob(cancel.job());
  if (ids.empty()) {
    return Refuse(command, Reason::kUnknownJob, cancel.job().value(), tables,
                  tick);
  }
  if (FindActive(cancel.job(), tables.tasks_) == nullptr) {
    const std::string state = StateName(*tables.tasks_.Find(ids.front()));
    return AnswerCommand(
        command, JobCancelled::Builder().job(cancel.job()).state(state).Build(),
        tables, tick);
  }
  const bool pending = IsPending<CancelJob>(cancel.job(), tables.commands_);
  AddPendingCommand(command, cancel, tables);
  if (!pending) {
    tables.journal_.Push(JobCancellation::Builder().job(cancel.job()).Build());
  }
}

}  // namespace quetzalline
