#ifndef QUETZALLINE_TABLES_RUNNER_TABLES_H_
#define QUETZALLINE_TABLES_RUNNER_TABLES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/counters.h"
#include "core/run_end.h"
#include "core/table.h"
#include "core/task_key.h"
#include "core/worker_description.h"
#include "messages/neighbour_sample.h"
#include "messages/run_refused.h"
#include "tables/held_run.h"
#include "tables/holder_session.h"
#include "tables/registration.h"
#include "tables/runner_policy.h"
#include "tables/worker_call.h"
#include "tables/worker_clock.h"

namespace quetzalline {

/// What a runner knows of its worker and of its holder.
struct RunnerTables {
  RunnerPolicy policy_;
  Counters counters_;
  Registration registration_;
  std::uint64_t last_ticket_ = 0;

  Instant last_tick_;
  /// Until then, orders may have waited while the process stood still.
  Instant orders_stale_until_;
  HolderSession session_;
  Instant holder_heard_;
  /// Times at which the latest reports were sent, by number.
  std::map<std::int64_t, Instant> report_times_;
  std::int64_t last_report_ = 0;
  Instant next_report_;
  bool report_due_ = false;
  bool whole_report_due_ = false;
  bool facts_due_ = false;
  bool worker_left_ = false;

  std::optional<WorkerDescription> facts_;
  std::int64_t facts_sequence_ = 0;
  std::optional<WorkerClock> clock_;
  /// When the worker last answered a call, or was first heard of.
  Instant answered_at_;
  /// Whether the holder was last told that the worker is silent.
  bool told_silent_ = false;
  /// When everything on the worker stops, by its clock; 0 before any lease.
  std::int64_t lease_end_ms_ = 0;
  /// How often the fence was raised in this session.
  std::int64_t fence_raises_ = 0;
  std::map<std::uint64_t, WorkerCall> calls_;
  std::uint64_t last_call_ = 0;
  /// Whether a look at the worker, and one under a new fence, is under way.
  bool holding_ = false;
  bool fencing_ = false;
  Instant next_hold_;

  Table<TaskKey, HeldRun> runs_;
  /// Ends that the worker lists and the holder has not noted, by number.
  std::map<std::int64_t, RunEnd> ends_;
  /// Whether the latest look listed only a part of the ends.
  bool more_ends_ = false;
  std::int64_t ends_told_ = 0;
  std::int64_t ends_noted_ = 0;
  /// Whether the worker's life is known to be the one of the facts. After a
  /// lost call it may be another, whose ends count anew.
  bool life_confirmed_ = false;
  std::vector<RunRefused> refusals_;

  /// Share of their speed that tasks that fill work at.
  std::int32_t fill_pace_ = 100;
  Instant next_pace_;
  /// The latest look at neighbours, until it is told.
  std::optional<NeighbourSample> neighbours_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RUNNER_TABLES_H_
