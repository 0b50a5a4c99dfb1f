#include "systems/agent/send_heartbeats.h"

#include <vector>

#include "systems/agent/report_load.h"

namespace quetzalline {
namespace {

// Returns the task attempts that the agent reports as present. An ended attempt
// is reported until the holder of the cell has acknowledged its end.
std::vector<TaskAttemptId> HeldAttempts(const TrackedTaskTable& tasks) {
  std::vector<TaskAttemptId> held;
  for (const auto& [id, row] : tasks) {
    if (!row.acknowledged()) held.push_back(row.task());
  }
  return held;
}

Announce MakeAnnounce(const AgentTables& tables, const EntryLink& link) {
  const AgentPolicy& policy = tables.policy_;
  Announce::Builder builder;
  builder.endpoint(policy.endpoint())
      .service(policy.service())
      .incarnation(policy.incarnation())
      .sequence(tables.stage_.sequence())
      .location(policy.location())
      .slots(policy.slots())
      .capacity(policy.capacity())
      .state(tables.stage_.state())
      .load(ReportLoad(policy, tables.limit_, tables.executions_))
      .configuration(tables.services_.revision());
  // Only the holder of the cell needs the tasks. The list is left out until the
  // worker has listed its tasks, since an incomplete one would make running
  // tasks appear lost.
  const bool include_tasks = link.epoch() > 0 && tables.stage_.worker_listed();
  if (include_tasks) builder.tasks(HeldAttempts(tables.tasks_));
  return builder.Build();
}

void SendHeartbeat(const EntryLink& link, AgentTables& tables,
                   AgentTick& tick) {
  const std::uint64_t sequence = tables.stage_.sequence() + 1;
  tables.stage_ = AgentStage::Builder(tables.stage_).sequence(sequence).Build();
  tables.links_.Put(
      link.connection(),
      EntryLink::Builder(link)
          .next_heartbeat(tick.now() + tables.policy_.heartbeat_interval())
          .sent_sequence(sequence)
          .sent_at(tick.now())
          .Build());
  tick.counters().Add(Counter::kHeartbeatsSent);
  tick.Emit(SendToEntry::Builder()
                .connection(link.connection())
                .message(MakeAnnounce(tables, link))
                .Build());
}

}  // namespace

void SendHeartbeats(AgentTables& tables, AgentTick& tick) {
  std::vector<EntryLink> due;
  for (const auto& [connection, link] : tables.links_) {
    if (link.next_heartbeat() <= tick.now()) due.push_back(link);
  }
  for (const EntryLink& link : due) SendHeartbeat(link, tables, tick);
  for (const auto& [connection, link] : tables.links_) {
    tick.WakeAt(link.next_heartbeat());
  }
}

void MakeHeartbeatsDue(EntryLinkTable& links, Instant now) {
  std::vector<EntryLink> links_to_update;
  for (const auto& [connection, link] : links) links_to_update.push_back(link);
  for (const EntryLink& link : links_to_update) {
    links.Put(link.connection(),
              EntryLink::Builder(link).next_heartbeat(now).Build());
  }
}

}  // namespace quetzalline
