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

/// The state of an entry's gateway: the configured queues, the connections to
/// holders and the unanswered calls.
struct GatewayTables {
  GatewayPolicy policy_;
  Counters counters_;
  Registration registration_;
  std::uint64_t last_ticket_ = 0;
  SchedulerConfiguration configuration_;
  std::int64_t configuration_revision_ = 0;
  /// Ticket of the configuration read or watch in flight; 0 if there is none.
  std::uint64_t configuration_ticket_ = 0;
  bool configuration_watched_ = false;
  Instant next_configuration_read_;
  Table<ConnectionId, HolderLink> holders_;
  Table<std::uint64_t, GatewayCall> calls_;
  TimeIndex<std::uint64_t> expiries_;
  bool stopping_ = false;
  /// Time at which a tick was due even without input; empty if none was.
  std::optional<Instant> next_tick_;
  /// Submissions are refused before this time, since they may have waited while
  /// the process was stalled.
  Instant submissions_stale_until_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_GATEWAY_TABLES_H_
