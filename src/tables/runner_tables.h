#ifndef QUETZALLINE_TABLES_RUNNER_TABLES_H_
#define QUETZALLINE_TABLES_RUNNER_TABLES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/counters.h"
#include "core/run_end.h"
#include "core/table.h"
#include "core/task_key.h"
#include "core/worker_description.h"
#include "messages/interference_sample.h"
#include "messages/run_refused.h"
#include "tables/holder_session.h"
#include "tables/lost_incarnation.h"
#include "tables/queued_command.h"
#include "tables/registration.h"
#include "tables/runner_policy.h"
#include "tables/tracked_run.h"
#include "tables/worker_call.h"
#include "tables/worker_clock.h"

namespace quetzalline {

/// The state of a runner: its worker, its holder and the runs in between.
struct RunnerTables {
  RunnerPolicy policy_;
  Counters counters_;
  Registration registration_;
  std::uint64_t last_ticket_ = 0;

  Instant last_tick_;
  /// What the latest ticks were late by, less what later ones have made up for.
  Duration lateness_{};
  /// Start commands are refused before this time, since they may have waited
  /// while the process was stalled.
  Instant commands_stale_until_;
  HolderSession session_;
  /// Epoch of the latest holder that the store has shown to this process.
  std::int64_t stored_epoch_ = 0;
  /// Time of the last message from the holder.
  Instant holder_heard_at_;
  /// Times at which the latest reports were sent, by report number.
  std::map<std::int64_t, Instant> report_times_;
  std::int64_t last_report_ = 0;
  Instant next_report_;
  /// True if a report is to be sent at once.
  bool report_due_ = false;
  /// True if the next report has to list all runs and ends.
  bool full_report_due_ = false;
  /// True if the next report has to contain the worker's facts.
  bool facts_due_ = false;
  /// True if the worker has announced that it leaves.
  bool worker_left_ = false;

  std::optional<WorkerDescription> facts_;
  std::int64_t facts_sequence_ = 0;
  /// The last incarnation of which an answer showed that another one had
  /// replaced it. Announcements of it may still arrive.
  std::optional<WorkerDescription> replaced_;
  std::optional<WorkerClock> clock_;
  /// Time at which the incarnation of facts_ last answered a call, registered,
  /// or was given new time because this process had been stalled.
  Instant worker_answered_at_;
  /// Time of the last answer that was certainly given by the incarnation of
  /// facts_; unset before.
  Instant worker_heard_at_;
  /// Time of the first call without an answer since then.
  std::optional<Instant> worker_lost_at_;
  /// Times of the additional polls after the starts of suspects.
  std::set<Instant> survival_checks_;
  /// Incarnations that crashed, until the holder has acknowledged it.
  std::vector<LostIncarnation> crashes_;
  /// The incarnation that was given up as unresponsive. It has crashed if
  /// another one is announced after it.
  std::optional<LostIncarnation> unresponsive_;
  /// True if the last report described the worker as unresponsive.
  bool reported_unresponsive_ = false;
  /// End of the worker's lease in milliseconds of the worker's clock, when
  /// everything on it stops; 0 before the first lease.
  std::int64_t lease_end_ms_ = 0;
  /// Latest time at which a call with a lease by the clock of this incarnation
  /// may have been executed; unset before the first.
  Instant lease_called_at_;
  /// Time by which leases by the clocks of earlier incarnations have certainly
  /// expired on the one of facts_; unset if there are none.
  Instant foreign_lease_end_;
  /// Amount by which the fencing token was raised in this session.
  std::int64_t fence_raises_ = 0;
  /// Commands that were not sent yet, in the order of the decisions.
  std::deque<QueuedCommand> queued_commands_;
  std::map<std::uint64_t, WorkerCall> calls_;
  std::uint64_t last_call_ = 0;
  /// True while a status poll is in flight.
  bool poll_in_flight_ = false;
  /// True while a status poll under a new fencing token is in flight.
  bool fence_poll_in_flight_ = false;
  /// Earliest time of the next status poll.
  Instant next_poll_;
  /// Time at which the answer to a status poll was last handled.
  Instant listed_at_;

  Table<TaskKey, TrackedRun> runs_;
  /// Ends that the worker lists and the holder has not acknowledged, by number.
  std::map<std::int64_t, RunEnd> ends_;
  /// True if the latest status poll returned only some of the ends.
  bool more_ends_ = false;
  /// Highest number of an end that was reported to the holder.
  std::int64_t last_reported_end_ = 0;
  /// Highest number of an end that the holder has acknowledged.
  std::int64_t ends_noted_ = 0;
  /// True if the worker's incarnation is known to be that of facts_. After a
  /// lost call the worker may have restarted, and a new incarnation numbers its
  /// ends from the start.
  bool incarnation_confirmed_ = false;
  /// Refused start commands that are to be reported.
  std::vector<RunRefused> refusals_;

  /// CPU rate limit of best-effort tasks, in percent of full speed.
  std::int32_t fill_pace_ = 100;
  /// Earliest time of the next change of the CPU rate limit.
  Instant next_rate_change_;
  /// The latest measurement of neighbouring tasks, until it is reported.
  std::optional<InterferenceSample> neighbours_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RUNNER_TABLES_H_
