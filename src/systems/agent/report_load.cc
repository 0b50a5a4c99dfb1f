#include "systems/agent/report_load.h"

namespace quetzalline {
Duration ExpectedServiceTime(const AgentPolicy& policy,
                             const ConcurrencyLimit& limit) {
  if (limit.service_time() > Duration::zero()) return limit.service_time();
  return policy.expected_service_time();
}

LoadReport ReportLoad(const AgentPolicy& policy, const ConcurrencyLimit& limit,
                      const ExecutionTable& executions) {
  return LoadReport::Builder()
      .running(executions.running())
      .queued(executions.queued())
      .limit(static_cast<std::int32_t>(limit.slots()))
      .service_time(ExpectedServiceTime(policy, limit))
      .Build();
}

}  // namespace quetzalline
