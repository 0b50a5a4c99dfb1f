#include "systems/entry/distribute_configuration.h"

#include <algorithm>
#include <vector>

#include "systems/entry/send_message.h"

namespace quetzalline {
namespace {

void SendUpdate(const Endpoint& row, EntryTables& tables, EntryTick& tick) {
  const std::int64_t after = row.announced()->configuration();
  SendMessage(row.connection(),
              ConfigurationUpdate::Builder()
                  .after(after)
                  .upto(tables.services_.revision())
                  .services(tables.services_.ChangedAfter(after))
                  .Build(),
              tick);
  tick.counters().Add(Counter::kConfigurationUpdatesSent);
  tables.endpoints_.Put(
      Endpoint::Builder(row)
          .configuration_sent(tick.now())
          .configuration_sent_upto(tables.services_.revision())
          .Build());
}

bool NeedsUpdate(const Endpoint& row, const EntryTables& tables, Instant now) {
  const std::int64_t revision = tables.services_.revision();
  if (!row.reachable() || row.announced()->configuration() >= revision) {
    return false;
  }
  if (row.configuration_sent_upto() < revision) return true;
  return now >=
         row.configuration_sent() + tables.policy_.configuration_resend();
}

std::vector<EndpointId> LaggingEndpoints(const EntryTables& tables,
                                         Instant now) {
  std::vector<EndpointId> lagging;
  for (const auto& [id, row] : tables.endpoints_.rows()) {
    if (NeedsUpdate(row, tables, now)) lagging.push_back(id);
  }
  std::sort(lagging.begin(), lagging.end());
  return lagging;
}

}  // namespace

void DistributeConfiguration(EntryTables& tables, EntryTick& tick) {
  const std::int64_t revision = tables.services_.revision();
  const bool changed = tables.distributed_revision_ != revision;
  const bool due = tick.now() >= tables.next_distribution_;
  if (!changed && !due) return;
  for (const EndpointId& id : LaggingEndpoints(tables, tick.now())) {
    const Endpoint row = *tables.endpoints_.Find(id);
    SendUpdate(row, tables, tick);
  }
  tables.distributed_revision_ = revision;
  tables.next_distribution_ =
      tick.now() + tables.policy_.configuration_resend();
}

}  // namespace quetzalline
