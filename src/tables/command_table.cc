#include "tables/command_table.h"

#include "core/overloaded.h"

namespace quetzalline {
namespace {

// Returns the job that a command concerns; empty if it concerns none.
JobId JobOf(const Command& command) {
  return std::visit(
      Overloaded{[](const PublishService&) { return JobId(); },
                 [](const SubmitJob& submit) { return submit.job(); },
                 [](const CancelJob& cancel) { return cancel.job(); },
                 [](const DrainCommand&) { return JobId(); },
                 [](const ReadStatus&) { return JobId(); }},
      command);
}

}  // namespace

void CommandTable::Put(std::uint64_t id, const PendingCommand& row) {
  const JobId job = JobOf(row.command());
  if (!job.empty()) by_job_[job].insert(id);
  rows_.Put(id, row);
}

void CommandTable::Erase(std::uint64_t id) {
  const PendingCommand* row = rows_.Find(id);
  if (row == nullptr) return;
  const auto of_job = by_job_.find(JobOf(row->command()));
  if (of_job != by_job_.end()) {
    of_job->second.erase(id);
    if (of_job->second.empty()) by_job_.erase(of_job);
  }
  rows_.Erase(id);
}

std::vector<std::uint64_t> CommandTable::CommandsOfJob(const JobId& job) const {
  const auto found = by_job_.find(job);
  if (found == by_job_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

}  // namespace quetzalline
