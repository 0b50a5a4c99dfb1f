#include "systems/gateway/read_configuration.h"

#include <algorithm>

#include "systems/cell/cell_keys.h"
#include "systems/gateway/handle_job_calls.h"

namespace quetzalline {
namespace {

// Minimum delay before a failed read is retried; a random delay of up to the
// same length is added.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(150);

}  // namespace

void ReadConfiguration(GatewayTables& tables, GatewayTick& tick) {
  if (tables.configuration_ticket_ != 0) return;
  if (tick.now() < tables.next_configuration_read_) {
    return tick.WakeAt(tables.next_configuration_read_);
  }
  tables.configuration_ticket_ = ++tables.last_ticket_;
  tick.counters().Add(Counter::kStoreCalls);
  if (tables.configuration_watched_) {
    tick.Emit(KvsWatch::Builder()
                  .ticket(tables.configuration_ticket_)
                  .prefix(std::string(kConfigurationKey))
                  .after(tables.configuration_revision_)
                  .wait(tables.policy_.configuration_watch())
                  .Build());
  } else {
    tick.Emit(KvsGet::Builder()
                  .ticket(tables.configuration_ticket_)
                  .key(std::string(kConfigurationKey))
                  .Build());
  }
}

void HandleConfigurationAnswer(const KvsAnswer& answer, GatewayTables& tables,
                               GatewayTick& tick) {
  if (answer.ticket() != tables.configuration_ticket_) return;
  tables.configuration_ticket_ = 0;
  const auto* read = std::get_if<KvsItems>(&answer.result());
  const auto retry_at =
      tick.now() + kMinRetryDelay +
      Duration(UniformInt(tick.random(), kMinRetryDelay.count()));
  if (read == nullptr) {
    tables.configuration_watched_ = false;
    tables.next_configuration_read_ = retry_at;
    return;
  }
  for (const KvsItem& item : read->items()) {
    const auto* configuration =
        item.record() ? std::get_if<SchedulerConfiguration>(&*item.record())
                      : nullptr;
    if (configuration == nullptr) {
      tick.counters().Add(Counter::kBadInputs);
      continue;
    }
    ApplyConfiguration(*configuration, tables, tick);
  }
  tables.configuration_revision_ =
      std::max(tables.configuration_revision_, read->revision());
  const bool known = tables.configuration_.version() > 0;
  tables.configuration_watched_ = known;
  tables.next_configuration_read_ = known ? tick.now() : retry_at;
}

}  // namespace quetzalline
