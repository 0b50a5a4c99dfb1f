#include "tables/task_table.h"

#include "core/overloaded.h"
#include "core/resources_arithmetic.h"

namespace quetzalline {
void TaskTable::Put(const Task& row) {
  const Task* old = rows_.Find(row.id());
  if (old != nullptr) Unindex(*old);
  Index(row);
  rows_.Put(row.id(), row);
}

void TaskTable::Erase(const TaskId& id) {
  const Task* row = rows_.Find(id);
  if (row == nullptr) return;
  Unindex(*row);
  const auto job = by_job_.find(row->job());
  job->second.erase(id);
  if (job->second.empty()) by_job_.erase(job);
  rows_.Erase(id);
}

Resources TaskTable::CommittedTo(const EndpointId& endpoint) const {
  const auto found = committed_.find(endpoint);
  return found == committed_.end() ? Resources() : found->second;
}

std::vector<TaskId> TaskTable::AssignedTo(const EndpointId& endpoint) const {
  const auto found = by_endpoint_.find(endpoint);
  if (found == by_endpoint_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

std::vector<EndpointId> TaskTable::EndpointsInUse() const {
  std::vector<EndpointId> endpoints;
  for (const auto& [endpoint, tasks] : by_endpoint_) {
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

std::vector<TaskId> TaskTable::TasksOfJob(const JobId& job) const {
  const auto found = by_job_.find(job);
  if (found == by_job_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

Resources TaskTable::UsedBy(const TeamName& team) const {
  const auto found = used_.find(team);
  return found == used_.end() ? Resources() : found->second;
}

void TaskTable::Commit(const Task& row, const EndpointId& endpoint) {
  const Resources& needs = row.work()->needs();
  by_endpoint_[endpoint].insert(row.id());
  committed_[endpoint] = Sum(committed_[endpoint], needs);
  used_[row.team()] = Sum(used_[row.team()], needs);
}

void TaskTable::Release(const Task& row, const EndpointId& endpoint) {
  const Resources& needs = row.work()->needs();
  used_[row.team()] = Difference(used_[row.team()], needs);
  committed_[endpoint] = Difference(committed_[endpoint], needs);
  by_endpoint_[endpoint].erase(row.id());
  if (!by_endpoint_[endpoint].empty()) return;
  by_endpoint_.erase(endpoint);
  committed_.erase(endpoint);
}

void TaskTable::Index(const Task& row) {
  by_job_[row.job()].insert(row.id());
  const Overloaded index{
      [&](const Waiting& state) {
        if (state.not_before() > state.since()) {
          deferred_.Set(row.id(), state.not_before());
        } else {
          ready_.insert({!row.work()->urgent(), state.since(), row.id()});
        }
      },
      [&](const Assigning& state) { Commit(row, state.endpoint()); },
      [&](const Assigned& state) {
        Commit(row, state.endpoint());
        const bool confirmed =
            state.running() && state.stopping() == Reason::kNone;
        if (!confirmed) sends_.Set(row.id(), state.next_send());
      },
      [&](const Finished& state) { ended_.Set(row.id(), state.at()); },
      [&](const GivenUp& state) { ended_.Set(row.id(), state.at()); },
      [&](const Cancelled& state) { ended_.Set(row.id(), state.at()); },
  };
  std::visit(index, row.state());
}

void TaskTable::Unindex(const Task& row) {
  sends_.Clear(row.id());
  ended_.Clear(row.id());
  deferred_.Clear(row.id());
  const Overloaded unindex{
      [&](const Waiting& state) {
        ready_.erase({!row.work()->urgent(), state.since(), row.id()});
      },
      [&](const Assigning& state) { Release(row, state.endpoint()); },
      [&](const Assigned& state) { Release(row, state.endpoint()); },
      [](const Finished&) {},
      [](const GivenUp&) {},
      [](const Cancelled&) {},
  };
  std::visit(unindex, row.state());
}

}  // namespace quetzalline
