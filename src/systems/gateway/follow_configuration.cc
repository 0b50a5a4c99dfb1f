#include "systems/gateway/follow_configuration.h"

#include <algorithm>

#include "systems/cell/cell_keys.h"
#include "systems/gateway/serve_callers.h"

namespace quetzalline {
namespace {

// Pause before a read that failed is repeated: between once and twice this.
constexpr Duration kRetryPause = std::chrono::milliseconds(150);

}  // namespace

void FollowConfiguration(GatewayTables& tables, GatewayTick& tick) {
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

void TakeConfigurationAnswer(const KvsAnswer& answer, GatewayTables& tables,
                             GatewayTick& tick) {
  if (answer.ticket() != tables.configuration_ticket_) return;
  tables.configuration_ticket_ = 0;
  const auto* read = std::get_if<KvsItems>(&answer.result());
  const auto later = tick.now() + kRetryPause +
                     Duration(UniformInt(tick.random(), kRetryPause.count()));
  if (read == nullptr) {
    tables.configuration_watched_ = false;
    tables.next_configuration_read_ = later;
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
  tables.next_configuration_read_ = known ? tick.now() : later;
}

}  // namespace quetzalline
