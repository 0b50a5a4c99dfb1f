#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_ATTENTION_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_ATTENTION_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Advances the time for which this holder has attended to its inputs. While a
/// tick takes long, or the process is stalled, messages wait unread, so that
/// time is no silence of others. Conclusions from silence are measured by this
/// clock; leases, which expire however busy the holder is, by the real one.
void TrackAttention(SchedulerTables& tables, SchedulerTick& tick);

/// Returns true in a tick in which the systems run that walk all members and
/// workers. What they find comes with time, so it may wait for the next walk.
bool IsWalkDue(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_ATTENTION_H_
