#ifndef QUETZALLINE_TABLES_AGENT_TABLES_H_
#define QUETZALLINE_TABLES_AGENT_TABLES_H_

#include "core/counters.h"
#include "tables/agent_policy.h"
#include "tables/agent_stage.h"
#include "tables/concurrency_limit.h"
#include "tables/entry_link_table.h"
#include "tables/execution_table.h"
#include "tables/key_table.h"
#include "tables/service_table.h"
#include "tables/tracked_task_table.h"

namespace quetzalline {

/// The state of an agent.
struct AgentTables {
  AgentPolicy policy_;
  AgentStage stage_;
  ConcurrencyLimit limit_;
  EntryLinkTable links_;
  ExecutionTable executions_;
  KeyTable keys_;
  TrackedTaskTable tasks_;
  ServiceTable services_;
  Counters counters_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_AGENT_TABLES_H_
