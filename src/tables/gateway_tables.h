#ifndef QUETZALLINE_TABLES_GATEWAY_TABLES_H_
#define QUETZALLINE_TABLES_GATEWAY_TABLES_H_

#include <cstdint>
#include <optional>

#include "core/counters.h"
#include "core/scheduler_configuration.h"
#include "core/table.h"
#include "core/time_index.h"
#include "tables/gateway_call.h"
#include "tables/gateway_policy.h"
#include "tables/holder_link.h"
#include "tables/registration.h"

namespace quetzalline {

/// What an entry's gateway knows: the queues, the holders that it hears, and
/// the calls that it has not answered.
struct GatewayTables {
  GatewayPolicy policy_;
  Counters counters_;
  Registration registration_;
  std::uint64_t last_ticket_ = 0;
  SchedulerConfiguration configuration_;
  std::int64_t configuration_revision_ = 0;
  /// The read or watch of the configuration under way; 0 where there is none.
  std::uint64_t configuration_ticket_ = 0;
  bool configuration_watched_ = false;
  Instant next_configuration_read_;
  Table<ConnectionId, HolderLink> holders_;
  Table<std::uint64_t, GatewayCall> calls_;
  TimeIndex<std::uint64_t> expiries_;
  bool stopping_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_GATEWAY_TABLES_H_
