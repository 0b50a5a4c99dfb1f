#include "systems/agent/apply_configuration.h"

namespace quetzalline {
void ApplyConfiguration(const AgentInbox& inbox, AgentTables& tables,
                        AgentTick& tick) {
  for (const Received<ConfigurationUpdate>& received : inbox.updates_) {
    const ConfigurationUpdate& update = received.message_;
    const std::int64_t applied_revision = tables.services_.revision();
    if (update.after() > applied_revision ||
        update.upto() <= applied_revision) {
      tick.counters().Add(Counter::kConfigurationUpdatesIgnored);
      continue;
    }
    for (const PublishedService& service : update.services()) {
      tables.services_.Apply(service);
    }
    tables.services_.RaiseRevision(update.upto());
    tick.counters().Add(Counter::kConfigurationUpdatesApplied);
  }
}

}  // namespace quetzalline
