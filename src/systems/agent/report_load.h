#ifndef QUETZALLINE_SYSTEMS_AGENT_REPORT_LOAD_H_
#define QUETZALLINE_SYSTEMS_AGENT_REPORT_LOAD_H_

#include "core/load_report.h"
#include "tables/agent_policy.h"
#include "tables/concurrency_limit.h"
#include "tables/execution_table.h"

namespace quetzalline {

/// Returns the load that the agent reports to entries.
LoadReport ReportLoad(const AgentPolicy& policy, const ConcurrencyLimit& limit,
                      const ExecutionTable& executions);

/// Returns the expected duration of one call to the endpoint: the smoothed
/// measurement, or the configured assumption until the first call completes.
Duration ExpectedServiceTime(const AgentPolicy& policy,
                             const ConcurrencyLimit& limit);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_REPORT_LOAD_H_
