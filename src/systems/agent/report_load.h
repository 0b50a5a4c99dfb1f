#ifndef QUETZALLINE_SYSTEMS_AGENT_REPORT_LOAD_H_
#define QUETZALLINE_SYSTEMS_AGENT_REPORT_LOAD_H_

#include "core/load_report.h"
#include "tables/agent_policy.h"
#include "tables/concurrency_limit.h"
#include "tables/execution_table.h"

namespace quetzalline {

/// The agent's load as it tells it to entries.
LoadReport ReportLoad(const AgentPolicy& policy, const ConcurrencyLimit& limit,
                      const ExecutionTable& executions);

/// The time one call is expected to take.
Duration ExpectedServiceTime(const AgentPolicy& policy,
                             const ConcurrencyLimit& limit);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_REPORT_LOAD_H_
