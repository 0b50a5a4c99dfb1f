#ifndef QUETZALLINE_SYSTEMS_RUNNER_TRACK_FOREIGN_LEASES_H_
#define QUETZALLINE_SYSTEMS_RUNNER_TRACK_FOREIGN_LEASES_H_

#include <cstdint>

#include "core/time.h"
#include "tables/runner_tables.h"
#include "tables/worker_call.h"

namespace quetzalline {

/// A lease ends at a time of the worker's clock, which begins anew when the
/// worker starts again under its id. An incarnation that executes a call which
/// was meant for an earlier one gets a foreign lease: the longest that it
/// accepts, from then on. These functions bound the time of such leases, by
/// whatever way and in whatever order the calls arrive.

/// Returns the end of the lease that a call to the worker carries now, in
/// milliseconds of the worker's clock; 0 if it carries none. An unresponsive
/// worker may have been replaced, so it gets none.
std::int64_t LeaseEndToSend(const RunnerTables& tables, Instant now);

/// Records that a call with a lease was sent, or that it was lost and may have
/// been executed until now.
void RecordLeaseCall(const WorkerCall& call, RunnerTables& tables, Instant now);

/// Handles the end of the known incarnation. The next one may have executed the
/// calls without an answer until now; those that it executes later are void.
void KeepForeignLease(RunnerTables& tables, Instant now);

/// Returns true if a start has got no answer, so that the run may be on another
/// incarnation than the known one.
bool HasUnresolvedRuns(const RunnerTables& tables);

/// Returns the time by which all foreign leases have certainly expired; unset
/// if there can be none.
Instant ForeignLeaseEnd(const RunnerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_TRACK_FOREIGN_LEASES_H_
