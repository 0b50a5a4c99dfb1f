#include "systems/agent/drain_agent.h"

#include <vector>

#include "systems/agent/run_tasks.h"
#include "systems/agent/send_heartbeats.h"

namespace quetzalline {
namespace {

// Changes the endpoint's state, logs it and announces it at once. A leaving
// endpoint never changes its state again.
void ChangeState(EndpointState state, Reason reason, AgentTables& tables,
                 AgentTick& tick) {
  const EndpointState old = tables.stage_.state();
  if (old == state || old == EndpointState::kLeaving) return;
  tables.stage_ = AgentStage::Builder(tables.stage_).state(state).Build();
  MakeHeartbeatsDue(tables.links_, tick.now());
  tick.Emit(LogChange::Builder()
                .event("endpoint-state-changed")
                .subject(tables.policy_.endpoint().value())
                .reason(reason)
                .Build());
}

// Stops every task that has neither ended nor been told to stop.
void StopTasks(AgentTables& tables, AgentTick& tick) {
  std::vector<TrackedTask> running;
  for (const auto& [id, row] : tables.tasks_) {
    const bool ended = row.news() && IsTerminal(*row.news());
    if (!ended && !row.stopping()) running.push_back(row);
  }
  for (const TrackedTask& row : running) {
    tables.tasks_.Put(row.task().task(),
                      TrackedTask::Builder(row).stopping(true).Build());
    tick.Emit(StopWork::Builder().task(row.task()).Build());
  }
}

// Returns true if the end of every task is acknowledged.
bool AllTasksAcknowledged(const TrackedTaskTable& tasks) {
  for (const auto& [id, row] : tasks) {
    if (!row.acknowledged()) return false;
  }
  return true;
}

// Returns true if only refusals are left. Answers of attempts that may have run
// are removed by their acknowledgement or after their retention time; refusals
// need no acknowledgement.
bool OnlyRefusalsLeft(const ExecutionTable& executions) {
  for (const auto& [id, row] : executions.rows()) {
    const auto* answered = std::get_if<Answered>(&row.state());
    if (answered == nullptr) return false;
    if (!std::holds_alternative<NotRun>(answered->outcome())) return false;
  }
  return true;
}

}  // namespace

void DrainAgent(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick) {
  for (const Received<DrainEndpoint>& received : inbox.drains_) {
    const EndpointState state = received.message_.undo()
                                    ? EndpointState::kActive
                                    : EndpointState::kDrained;
    ChangeState(state, Reason::kDrain, tables, tick);
  }
  if (inbox.stop_requested_) {
    ChangeState(EndpointState::kLeaving, Reason::kLeaving, tables, tick);
  }
  if (tables.stage_.state() == EndpointState::kActive) return;
  StopTasks(tables, tick);
  const bool leaving = tables.stage_.state() == EndpointState::kLeaving;
  if (!leaving || tables.stage_.finished()) return;
  if (!OnlyRefusalsLeft(tables.executions_)) return;
  if (!AllTasksAcknowledged(tables.tasks_)) return;
  tables.stage_ = AgentStage::Builder(tables.stage_).finished(true).Build();
  tick.Emit(ProcessFinished());
}

}  // namespace quetzalline
