#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_BUILD_COMMIT_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_BUILD_COMMIT_H_

#include <cstddef>

#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Maximum number of entries of a commit. The store accepts 32, of which three
/// are reserved: the expectation, the epoch's key and the holder's key.
inline constexpr std::size_t kMaxCommitEntries = 29;

/// Builds a commit of the unstored changes, without rejected records.
CommitBatch BuildCommit(SchedulerTables& tables, Instant now);

/// Builds a commit of rejected records that are due, or an empty one if it has
/// to be shown that the store accepts others.
CommitBatch BuildIsolatedCommit(SchedulerTables& tables, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_BUILD_COMMIT_H_
